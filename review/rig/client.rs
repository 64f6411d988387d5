//! Clients that call the nodes on kept connections.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::record::{Random, Record, lock};

/// How long a client waits for an answer.
const PATIENCE_MS: u64 = 1500;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Duration,
    pub id: String,
    pub method: &'static str,
    pub path: String,
    /// The status of the answer; 0 without one.
    pub status: u16,
}

/// The paths of requests that may run more than once.
pub type Paths = Arc<Mutex<Vec<String>>>;

/// What became of all requests.
pub type Log = Arc<Mutex<Vec<Sent>>>;

/// Clients, each with one connection and one request at a time.
pub struct Clients {
    pub log: Log,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients that send to the `nodes` in turn. `orders` is the share of the
    /// requests that may run only once; the others are for `paths`, which the case may change.
    pub fn start(
        nodes: &[String],
        count: usize,
        orders: f64,
        paths: &Paths,
        pause: Duration,
        record: &Arc<Record>,
        seed: u64,
    ) -> Self {
        let log = Log::default();
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count).map(|number| {
            let node = nodes[number % nodes.len()].clone();
            let (log, stop, record) = (Arc::clone(&log), Arc::clone(&stop), Arc::clone(record));
            let paths = Arc::clone(paths);
            let mut random = Random::new(seed ^ (number as u64 + 1) << 40);
            thread::spawn(move || {
                let mut conn = None;
                while !stop.load(Ordering::Relaxed) {
                    let order = random.share() < orders;
                    let path =
                        if order { "/buy/present".to_owned() } else { pick(&paths, &mut random) };
                    let sent = call(&node, &mut conn, order, path, &record, &mut random);
                    lock(&log).push(sent);
                    thread::sleep(pause);
                }
            })
        });
        Self { threads: threads.collect(), log, stop }
    }

    /// Ends the clients after their last answers, and returns what became of the requests.
    pub fn end(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        lock(&self.log).clone()
    }
}

/// A new id for a request.
pub fn new_id(random: &mut Random) -> String {
    format!("{:016x}", random.next())
}

fn pick(paths: &Paths, random: &mut Random) -> String {
    let paths = lock(paths);
    paths[random.next() as usize % paths.len()].clone()
}

fn call(
    node: &str,
    kept: &mut Option<Conn>,
    order: bool,
    path: String,
    record: &Record,
    random: &mut Random,
) -> Sent {
    let id = new_id(random);
    let (method, body): (_, &[u8]) = if order { ("POST", b"one present") } else { ("GET", b"") };
    let at = record.write(&format!("client sends {method} {path} {id} to {node}"));
    let status = exchange(node, kept, method, &path, &id, body);
    if status.is_none() {
        *kept = None;
    }
    let status = status.unwrap_or(0);
    record.write(&format!("client gets {status} for {id}"));
    Sent { at, id, method, path, status }
}

fn exchange(
    node: &str,
    kept: &mut Option<Conn>,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> Option<u16> {
    if kept.is_none() {
        *kept = Conn::connect(node, Duration::from_secs(1)).ok();
    }
    let conn = kept.as_mut()?;
    let patience = PATIENCE_MS.to_string();
    let headers = [("Host", "shop.example"), ("Attempt-Id", id), ("Timeout-Ms", &patience)];
    conn.write(&format!("{method} {path} HTTP/1.1"), &headers, body).ok()?;
    let answer: Message = conn.read(Duration::from_millis(PATIENCE_MS)).ok()?;
    if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        *kept = None;
    }
    Some(answer.status())
}
