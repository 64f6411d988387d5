//! A stand-in for an application's backend. It does what the pages say of a sound backend, or of one
//! with the disruption that its behaviour names.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::client;
use crate::http::{self, Message};
use crate::mesh;
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Requests that may wait for a slot.
const QUEUE: usize = 36;

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub backend: String,
    pub service: String,
    pub id: String,
    pub target: String,
    /// Whether the backend began to work on it.
    pub run: bool,
}

/// What all backends of a run have seen.
#[derive(Clone, Default)]
pub struct Seen {
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Statuses of the answers to the calls that they made themselves; 0 where there was none.
    inner: Arc<Mutex<Vec<u16>>>,
}

impl Seen {
    /// All arrivals, in their order.
    pub fn all(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    pub fn inner_calls(&self) -> Vec<u16> {
        lock(&self.inner).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// A call that a backend makes while it runs a request.
#[derive(Clone, Debug)]
pub struct Inner {
    /// The node on its own machine.
    pub outbound: SocketAddr,
    pub path: &'static str,
    /// How long after the start of the run it is made.
    pub after: Duration,
}

#[derive(Clone, Debug)]
pub struct Behaviour {
    pub work: Duration,
    pub slots: usize,
    /// Whether it ends its work when the connection of the request closes, as most backends do.
    pub drops: bool,
    pub inner: Option<Inner>,
    /// A path that crashes the backend as soon as it runs a request for it.
    pub deadly: Option<&'static str>,
    /// How long it takes to start again after a crash.
    pub down: Duration,
    /// What it names as `Server-Limit` in its answers.
    pub limit: Option<&'static str>,
    /// The version of its software.
    pub version: &'static str,
    /// Begin of the paths for which three of four answers are failures.
    pub fails: Option<&'static str>,
    /// Length of the bodies of its answers: the request's id, repeated. By default a short text.
    pub body: Option<usize>,
    /// Whether its answers have `Connection: close`, and end their connection.
    pub closes: bool,
    /// Every so many answers, one is cut and followed by a copy of the answer before it.
    pub cuts: Option<usize>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(20),
            slots: 9,
            drops: true,
            inner: None,
            deadly: None,
            down: Duration::from_secs(3),
            limit: None,
            version: "v1",
            fails: None,
            body: None,
            closes: false,
            cuts: None,
        }
    }
}

struct State {
    name: String,
    service: String,
    zone: String,
    ip: Ipv4Addr,
    control: SocketAddr,
    address: Mutex<SocketAddr>,
    behaviour: Behaviour,
    seen: Seen,
    record: Arc<Record>,
    /// Number of the incarnation; connections of earlier ones are closed.
    incarnation: AtomicU64,
    born: AtomicU64,
    up: AtomicBool,
    ended: AtomicBool,
    /// Whether it sends no more heartbeats of its own.
    quiet: AtomicBool,
    /// Number of its last heartbeat.
    sequence: AtomicU64,
    /// Number of answers, and the bytes of the newest one.
    answers: Mutex<(usize, Vec<u8>)>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    crashes: AtomicUsize,
}

/// A backend; it ends when [`Backend::end`] is called.
#[derive(Clone)]
pub struct Backend(Arc<State>);

impl Backend {
    pub fn start(
        name: &str,
        (service, zone): (&str, &str),
        (ip, control): (Ipv4Addr, SocketAddr),
        behaviour: Behaviour,
        seen: Seen,
        record: Arc<Record>,
    ) -> Self {
        let backend = Self(Arc::new(State {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            ip,
            control,
            address: Mutex::new((ip, 0).into()),
            behaviour,
            seen,
            record,
            incarnation: AtomicU64::new(0),
            born: AtomicU64::new(0),
            up: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            answers: Mutex::default(),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            connections: Mutex::default(),
            crashes: AtomicUsize::new(0),
        }));
        backend.clone().launch();
        let beating = backend.clone();
        thread::spawn(move || beating.beat());
        backend
    }

    /// The id of the present incarnation.
    pub fn id(&self) -> String {
        format!("{}-{}", self.0.name, self.0.incarnation.load(Ordering::SeqCst))
    }

    pub fn crashes(&self) -> usize {
        self.0.crashes.load(Ordering::SeqCst)
    }

    /// Ends for good, as with a loss of its machine.
    pub fn end(&self) {
        self.0.ended.store(true, Ordering::SeqCst);
        self.fall();
    }

    fn fall(&self) {
        self.0.up.store(false, Ordering::SeqCst);
        let connections = std::mem::take(&mut *lock(&self.0.connections));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn launch(self) {
        let state = &self.0;
        state.incarnation.fetch_add(1, Ordering::SeqCst);
        state.sequence.store(0, Ordering::SeqCst);
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        state.born.store(u64::try_from(born.as_millis()).unwrap_or(0), Ordering::SeqCst);
        let port = lock(&state.address).port();
        let listener = TcpListener::bind((state.ip, port)).expect("the backend's address");
        *lock(&state.address) = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a listener");
        state.running.store(0, Ordering::SeqCst);
        state.waiting.store(0, Ordering::SeqCst);
        state.up.store(true, Ordering::SeqCst);
        let incarnation = state.incarnation.load(Ordering::SeqCst);
        thread::spawn(move || {
            while self.is_current(incarnation) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            lock(&self.0.connections).push(copy);
                        }
                        let backend = self.clone();
                        thread::spawn(move || backend.serve(stream, incarnation));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn is_current(&self, incarnation: u64) -> bool {
        self.0.up.load(Ordering::SeqCst) && self.0.incarnation.load(Ordering::SeqCst) == incarnation
    }

    fn crash(&self) {
        self.0.crashes.fetch_add(1, Ordering::SeqCst);
        self.fall();
        let backend = self.clone();
        thread::spawn(move || {
            thread::sleep(backend.0.behaviour.down);
            if !backend.0.ended.load(Ordering::SeqCst) {
                backend.launch();
            }
        });
    }

    fn beat(&self) {
        while !self.0.ended.load(Ordering::SeqCst) {
            let incarnation = self.0.incarnation.load(Ordering::SeqCst);
            if !self.0.up.load(Ordering::SeqCst) || self.0.quiet.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let acknowledged = self.send_heartbeat();
            let pause = if acknowledged { HEARTBEAT } else { Duration::from_millis(200) };
            let until = Instant::now() + pause;
            while Instant::now() < until && self.is_current(incarnation) {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Sends one heartbeat to the node on its machine; returns whether it was acknowledged.
    pub fn send_heartbeat(&self) -> bool {
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"upstream-slots\":{},\"current-phase\":\"in-service\",\"warmup-ms\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.0.service,
            lock(&self.0.address),
            self.0.zone,
            self.0.behaviour.version,
            self.0.behaviour.slots,
            self.0.born.load(Ordering::SeqCst),
        );
        let request = Message::request("PUT", &format!("/upstream/{}", self.id()))
            .with("Host", "node")
            .with("Content-Type", "application/json")
            .with_body(body);
        self.tell(&request)
    }

    /// Deregisters and sends no more heartbeats of its own; it serves on. Returns whether that was
    /// acknowledged.
    pub fn deregister(&self) -> bool {
        self.0.quiet.store(true, Ordering::SeqCst);
        // A heartbeat that is on its way arrives before.
        thread::sleep(Duration::from_millis(100));
        let path = format!("/upstream/{}", self.id());
        self.tell(&Message::request("DELETE", &path).with("Host", "node"))
    }

    fn tell(&self, request: &Message) -> bool {
        client::exchange(self.0.control, request, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream, incarnation: u64) {
        let Ok(mut out) = stream.try_clone() else { return };
        let Ok(probe) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let Ok(Some(mut request)) = http::read_head(&mut reader) else { return };
            let index = self.arrived(&request);
            if http::read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let Some(answer) = self.run(&request, index, &probe, incarnation) else {
                let _ = out.shutdown(Shutdown::Both);
                return;
            };
            if let Some(spoilt) = self.spoil(&answer) {
                self.0
                    .record
                    .line(&format!("the answer {:?} is cut and filled up", answer.headers));
                let _ = out.write_all(&spoilt);
                thread::sleep(Duration::from_millis(50));
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            if answer.send(&mut out).is_err() {
                return;
            }
            if self.0.behaviour.closes {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// The bytes to send in place of `answer` where it is one of those that are cut.
    fn spoil(&self, answer: &Message) -> Option<Vec<u8>> {
        let every = self.0.behaviour.cuts?;
        let (mut spoilt, body) = (answer.head(), &answer.body);
        let whole = [spoilt.as_slice(), body].concat();
        let mut answers = lock(&self.0.answers);
        answers.0 += 1;
        let before = std::mem::replace(&mut answers.1, whole);
        if before.is_empty() || !answers.0.is_multiple_of(every) {
            return None;
        }
        spoilt.extend_from_slice(&body[..body.len() / 4]);
        spoilt.extend_from_slice(&before);
        Some(spoilt)
    }

    /// Records that a request has reached this backend; returns its number among all.
    fn arrived(&self, request: &Message) -> usize {
        let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let arrival = Arrival {
            at: Instant::now(),
            backend: self.id(),
            service: self.0.service.clone(),
            id: text("attempt-id"),
            target: request.target().to_owned(),
            run: false,
        };
        self.0.record.line_at(
            arrival.at,
            &format!(
                "{} reaches {} ({}): {}",
                arrival.id, arrival.backend, arrival.service, request.start
            ),
        );
        let mut all = lock(&self.0.seen.arrivals);
        all.push(arrival);
        all.len() - 1
    }

    /// Runs a request; `None` if the connection ends without an answer.
    fn run(
        &self,
        request: &Message,
        index: usize,
        probe: &TcpStream,
        incarnation: u64,
    ) -> Option<Message> {
        let id = request.header("attempt-id").unwrap_or_default().to_owned();
        let own = self.id();
        if request.header("expected-instance").is_some_and(|expected| expected != own) {
            return Some(
                Message::answer(421)
                    .with("Instance-Id", &own)
                    .with("Attempt-Id", &id)
                    .with("Not-Executed", "1"),
            );
        }
        let left = request.header("timeout-ms").and_then(|v| v.parse().ok()).unwrap_or(5000);
        let deadline = Instant::now() + Duration::from_millis(left);
        let shed = Message::answer(503).with("Attempt-Id", &id).with("Not-Executed", "1");
        let shed = self.name_limit(shed);
        if !self.take_slot(deadline, incarnation) {
            return Some(shed);
        }
        lock(&self.0.seen.arrivals)[index].run = true;
        self.0.record.line(&format!("{id} runs at {own}"));
        let result = self.work(request, &id, deadline, probe, incarnation);
        if self.is_current(incarnation) {
            self.0.running.fetch_sub(1, Ordering::SeqCst);
        }
        let status = result?;
        self.0.record.line(&format!("{id} has run at {own}: {status}"));
        let mut answer = Message::answer(status)
            .with("Attempt-Id", &id)
            .with("Server-Signature", &format!("{own}.{id}"));
        if self.0.behaviour.closes {
            answer = answer.with("Connection", "close");
        }
        let body = match self.0.behaviour.body {
            Some(length) => id.bytes().cycle().take(length).collect(),
            None => format!("{own} ran {id}").into_bytes(),
        };
        Some(self.name_limit(answer.with_body(body)))
    }

    fn name_limit(&self, answer: Message) -> Message {
        match self.0.behaviour.limit {
            Some(limit) => answer.with("Server-Limit", limit),
            None => answer,
        }
    }

    fn take_slot(&self, deadline: Instant, incarnation: u64) -> bool {
        let slots = self.0.behaviour.slots;
        if self.0.waiting.fetch_add(1, Ordering::SeqCst) > QUEUE {
            self.0.waiting.fetch_sub(1, Ordering::SeqCst);
            return false;
        }
        let taken = loop {
            let free = |running| (running < slots).then_some(running + 1);
            if self.0.running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, free).is_ok() {
                break true;
            }
            if Instant::now() >= deadline || !self.is_current(incarnation) {
                break false;
            }
            thread::sleep(Duration::from_millis(1));
        };
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
        taken
    }

    /// Works on a request; `None` if the work ends without an answer.
    fn work(
        &self,
        request: &Message,
        id: &str,
        deadline: Instant,
        probe: &TcpStream,
        incarnation: u64,
    ) -> Option<u16> {
        let began = Instant::now();
        let behaviour = &self.0.behaviour;
        if behaviour.deadly == Some(request.target()) {
            self.0.record.line(&format!("{id} crashes {}", self.id()));
            self.crash();
            return None;
        }
        let mut inner = behaviour.inner.clone();
        while began.elapsed() < behaviour.work {
            if !self.is_current(incarnation) {
                return None;
            }
            if Instant::now() >= deadline {
                return Some(504);
            }
            if behaviour.drops && is_closed(probe) {
                self.0
                    .record
                    .line(&format!("{id} is dropped at {}: its connection has closed", self.id()));
                return None;
            }
            if let Some(call) = inner.take_if(|call| began.elapsed() >= call.after)
                && !self.call(&call, id, deadline)
            {
                return Some(500);
            }
            thread::sleep(Duration::from_millis(2));
        }
        let fails = behaviour.fails.is_some_and(|prefix| request.target().starts_with(prefix));
        // The first digit of the ids of client attempts is spread evenly.
        Some(if fails && id.as_bytes()[0] < b'c' { 500 } else { 200 })
    }

    /// Makes a call of its own through the node on its machine, whether or not its caller waits.
    fn call(&self, call: &Inner, parent: &str, deadline: Instant) -> bool {
        let id = format!("{parent}-1");
        let left = deadline.saturating_duration_since(Instant::now());
        let request = Message::request("GET", call.path)
            .with("Host", mesh::HOST)
            .with("Attempt-Id", &id)
            .with("Timeout-Ms", &left.as_millis().to_string());
        let status =
            client::exchange(call.outbound, &request, left).map_or(0, |answer| answer.status());
        self.0
            .record
            .line(&format!("{id}, which {} calls for {parent}, is answered {status}", self.id()));
        lock(&self.0.seen.inner).push(status);
        status == 200
    }
}

/// Whether the other end has closed `stream`.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
