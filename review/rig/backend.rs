//! A backend beside a node: serves requests, and sends its heartbeats to the node.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, encode};
use crate::node::Place;
use crate::record::{Random, Record, lock};

/// Pause between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// How long an idle connection stays open.
const IDLE: Duration = Duration::from_secs(10);

/// What a backend does beside its sound work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Share of the requests that it rejects without running them, as if it were full.
    pub shed: f64,
    /// Share of its answers that it sends once more, late: when the next request has come in on
    /// the connection.
    pub extra: f64,
}

/// A request that a backend has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub backend: String,
    pub id: String,
    pub method: String,
}

/// The requests that all backends have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A backend. Clones are the same one.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub place: Place,
    slots: usize,
    work: Duration,
    record: Arc<Record>,
    runs: Runs,
    running: Arc<AtomicUsize>,
    trouble: Arc<Mutex<Trouble>>,
    beats: Arc<AtomicBool>,
    sequence: Arc<AtomicUsize>,
    seed: u64,
}

impl Backend {
    pub fn start(
        id: &str,
        place: &Place,
        work: Duration,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind(place.app()).expect("the port of the backend");
        let backend = Self {
            id: id.to_owned(),
            place: place.clone(),
            slots: 9,
            work,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            running: Arc::default(),
            trouble: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            sequence: Arc::default(),
            seed: crate::record::seed(),
        };
        let serving = backend.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let backend = serving.clone();
                thread::spawn(move || backend.serve(stream, number as u64));
            }
        });
        let beating = backend.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::Relaxed) {
                let sequence = beating.next_sequence();
                beating.beat(sequence, "in-service");
                thread::sleep(HEARTBEAT);
            }
        });
        backend
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        *lock(&self.trouble) = trouble;
    }

    /// Sends no further heartbeats.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::Relaxed);
    }

    /// The sequence number of the next heartbeat.
    pub fn next_sequence(&self) -> usize {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends a heartbeat, and returns the status of its answer; 0 without one.
    pub fn beat(&self, sequence: usize, state: &str) -> u16 {
        let Place { service, zone, .. } = &self.place;
        let (address, slots) = (self.place.app(), self.slots);
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"upstream-slots\":{slots},\"current-phase\":\"{state}\",\
             \"warmup-ms\":0,\"sequence\":{sequence}}}"
        );
        self.control(&format!("PUT /upstream/{} HTTP/1.1", self.id), body.as_bytes())
    }

    /// Says that it leaves, and returns the status of the answer; 0 without one.
    pub fn leave(&self) -> u16 {
        self.control(&format!("DELETE /upstream/{} HTTP/1.1", self.id), b"")
    }

    fn control(&self, first: &str, body: &[u8]) -> u16 {
        let limit = Duration::from_secs(1);
        let Ok(mut conn) = Conn::connect(&self.place.control(), limit) else { return 0 };
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let sent = conn.write(first, &headers, body);
        sent.and_then(|()| conn.read(limit)).map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut random = Random::new(self.seed ^ number << 32);
        let mut conn = Conn::new(stream);
        let mut late: Option<Vec<u8>> = None;
        while let Ok(request) = conn.read(IDLE) {
            if let Some(extra) = late.take() {
                self.record.write(&format!("{} sends the answer before once more", self.id));
                if std::io::Write::write_all(&mut conn.stream, &extra).is_err() {
                    return;
                }
            }
            let (answer, ends) = self.answer(&request, &mut random);
            if std::io::Write::write_all(&mut conn.stream, &answer).is_err() || ends {
                return;
            }
            if random.share() < lock(&self.trouble).extra {
                late = Some(answer);
            }
        }
    }

    /// The answer to `request`, and whether the connection ends after it.
    fn answer(&self, request: &Message, random: &mut Random) -> (Vec<u8>, bool) {
        let (method, target) = request.target();
        let Some(id) = request.header("attempt-id") else {
            let headers = [("Not-Executed", "1")];
            return (encode("HTTP/1.1 400 Bad Request", &headers, b""), false);
        };
        let echo = ("Attempt-Id", id);
        if request.header("expected-instance").is_some_and(|instance| instance != self.id) {
            let headers = [echo, ("Instance-Id", &self.id), ("Not-Executed", "1")];
            return (encode("HTTP/1.1 421 Misdirected Request", &headers, b""), false);
        }
        let busy = self.running.fetch_add(1, Ordering::SeqCst) >= self.slots;
        if busy || random.share() < lock(&self.trouble).shed {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.write(&format!("{} rejects {id} and doesn't run it", self.id));
            let headers = [echo, ("Server-Signature", "s"), ("Not-Executed", "1")];
            return (encode("HTTP/1.1 503 Service Unavailable", &headers, b""), false);
        }
        let at = self.record.write(&format!("{} runs {method} {target} {id}", self.id));
        lock(&self.runs).push(Run {
            at,
            backend: self.id.clone(),
            id: id.to_owned(),
            method: method.to_owned(),
        });
        let began = Instant::now();
        while began.elapsed() < self.work {
            thread::sleep(Duration::from_millis(2));
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("done {id}");
        let headers = [echo, ("Server-Signature", "s")];
        (encode("HTTP/1.1 200 OK", &headers, body.as_bytes()), false)
    }
}
