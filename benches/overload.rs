//! Goodput of a node that gets more calls than its CPU can serve, and the processor time of a
//! served and of a refused call.
//!
//! `cargo bench --bench overload -- [delay_ms] [seconds]`: first measures the capacity of the node
//! in a closed loop, then sends calls at 1, 2, 4 and 8 times that rate, however slow the answers
//! are (open loop), with the protection off and with `delay_ms` (20). A call counts as served if
//! its answer arrives within 250 ms.

use std::cell::Cell;
use std::env;
use std::net;
use std::path;
use std::rc::Rc;
use std::sync::mpsc;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time;

use bytes::Bytes;
use dandelionspool::claim;
use dandelionspool::clock;
use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::mesh;
use dandelionspool::node;
use dandelionspool::proxy::shell;
use dandelionspool::proxy::wiring;
use dandelionspool::quarantine;
use dandelionspool::ring;
use dandelionspool::version;
use dandelionspool::view;
use http_body_util::Full;
use hyper::server::conn::http1 as server;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

const CONFIG: &str = include_str!("../tests/calls/mesh.json");
const SLOTS: u16 = 512;
const ANSWER: &[u8] = &[b'x'; 1024];

/// Connections of callers; they bound the calls in flight.
const CONNECTIONS: usize = 6000;

/// Threads of callers, so that the node is the part that is overloaded.
const CALLER_THREADS: usize = 4;

/// Callers in the closed loop that measures the capacity.
const CLOSED_CALLERS: usize = 64;

/// Time within which an answer has to arrive.
const TARGET: time::Duration = time::Duration::from_millis(250);

const REQUEST: &[u8] = b"GET /browse/books?page=1 HTTP/1.1\r\nhost: shop.test\r\n\
    dandelionspool-deadline-ms: 1000\r\naccept: */*\r\nuser-agent: bench/1\r\n\r\n";

#[derive(Clone)]
struct NoClaims;

impl claim::Claims for NoClaims {
    async fn claim(
        &self,
        _key: claim::Key,
        _attempt: claim::Attempt,
        _deadline: clock::Instant,
    ) -> Result<claim::Verdict, claim::Error> {
        Ok(claim::Verdict::First)
    }

    fn release(&self, _key: claim::Key, _attempt: claim::Attempt) {}
}

/// Runs the future that `make` returns on a new thread until the process ends. Returns the path of
/// the thread's statistics.
fn spawn<F: Future<Output = ()>>(make: impl FnOnce() -> F + Send + 'static) -> path::PathBuf {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let link = std::fs::read_link("/proc/thread-self").unwrap();
        sender.send(path::Path::new("/proc").join(link).join("schedstat")).unwrap();
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().unwrap();
        task::LocalSet::new().block_on(&runtime, make());
    });
    receiver.recv().unwrap()
}

fn cpu_time(schedstat: &path::Path) -> time::Duration {
    let text = std::fs::read_to_string(schedstat).unwrap();
    let nanos = text.split_whitespace().next().unwrap().parse().unwrap();
    time::Duration::from_nanos(nanos)
}

async fn upstream(listener: net::TcpListener) {
    let listener = TcpListener::from_std(listener).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        task::spawn_local(server::Builder::new().serve_connection(
            TokioIo::new(stream),
            hyper::service::service_fn(|request| async {
                let _body = http::Request::<hyper::body::Incoming>::into_body(request);
                let answer = http::Response::new(Full::new(Bytes::from_static(ANSWER)));
                Ok::<_, std::convert::Infallible>(answer)
            }),
        ));
    }
}

fn shop() -> view::Upstream {
    view::Upstream {
        service: "shop".into(),
        class: "shop".into(),
        phase: view::Phase::Serving,
        slots: SLOTS,
        connections: SLOTS,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    }
}

/// The configuration of the tests, with enough slots that the gate refuses nothing.
fn configuration() -> String {
    let wide = CONFIG.replace("\"slots\": 9,", &format!("\"slots\": {SLOTS},"));
    wide.replace("\"connections\": 120,", &format!("\"connections\": {SLOTS},"))
}

fn start_node(id: host::HostId, upstream: net::SocketAddr, delay_ms: u64) -> path::PathBuf {
    let mesh = Arc::new(mesh::check::check(configuration().as_bytes()).unwrap());
    let version_id = version::VersionId { version: version::Version::new(1), ..Default::default() };
    let settings = configs::Node {
        mesh: "bench".into(),
        key: "secret".into(),
        listen: id.member_addr(),
        overload: configs::overload::Overload { delay_ms },
        ..configs::Node::default()
    };
    let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
    let host = view::Host {
        id,
        locality,
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(Arc::new(shop())),
    };
    let view = Arc::new(view::View::new(vec![host]));
    spawn(move || async move {
        let local = Arc::new(node::LocalUpstream {
            address: upstream,
            instance: Default::default(),
            born: None,
            upstream: shop(),
        });
        let (_stage_sender, stage) = watch::channel(node::Stage::Run);
        let wiring = wiring::Wiring {
            applied: watch::channel(Arc::new(mesh::Applied { version_id, mesh })).1,
            view: watch::channel(view).1,
            local: watch::channel(Some(local)).1,
            stage,
            tallies: ring::bounded(4).0,
            claims: NoClaims,
            dialect: dandelionspool::proxy::Dialect::default(),
            quarantine: quarantine::channel().0,
            quotas: Default::default(),
            answers: Default::default(),
            notices: Default::default(),
            overload: Default::default(),
            picks: Default::default(),
            retries: Default::default(),
            slots: Default::default(),
            rollouts: Default::default(),
        };
        shell::run(context::Context::system(), Arc::new(settings), wiring).await.unwrap();
    })
}

/// What became of the calls of a run.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u64,
    /// Not sent, as all connections were in use.
    unsent: u64,
    served: u64,
    late: u64,
    /// Refused by the overload protection.
    refused: u64,
    /// Refused by the gate, as slots and queue are full.
    full: u64,
}

impl std::ops::Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            sent: self.sent + other.sent,
            unsent: self.unsent + other.unsent,
            served: self.served + other.served,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            full: self.full + other.full,
        }
    }
}

/// In place of a status: refused by the overload protection.
const REFUSED: u16 = 1;

/// A connection of a caller.
struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    async fn open(address: net::SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        Self { stream, buffer: Vec::with_capacity(4096) }
    }

    /// Sends a call and returns the status of its answer, or [`REFUSED`]; 0 if the connection has
    /// ended.
    async fn call(&mut self) -> u16 {
        if self.stream.write_all(REQUEST).await.is_err() {
            return 0;
        }
        self.buffer.clear();
        loop {
            let read = self.stream.read_buf(&mut self.buffer).await;
            if read.unwrap_or(0) == 0 {
                return 0;
            }
            let mut fields = [httparse::EMPTY_HEADER; 32];
            let mut answer = httparse::Response::new(&mut fields);
            let Ok(httparse::Status::Complete(head)) = answer.parse(&self.buffer) else { continue };
            let code = answer.code.unwrap();
            let length =
                answer.headers.iter().find(|f| f.name.eq_ignore_ascii_case("content-length"));
            let length =
                length.map_or(0, |f| std::str::from_utf8(f.value).unwrap().parse().unwrap());
            if self.buffer.len() >= head + length {
                let refused = &self.buffer[head..] == b"overloaded";
                return if refused { REFUSED } else { code };
            }
        }
    }
}

type Shared = Rc<Cell<Counts>>;

fn record(counts: &Shared, code: u16, due: time::Instant) {
    let mut now = counts.get();
    now.sent += 1;
    match code {
        200 if due.elapsed() <= TARGET => now.served += 1,
        REFUSED => now.refused += 1,
        503 => now.full += 1,
        _ => now.late += 1,
    }
    counts.set(now);
}

/// Sends calls at `rate` on `connections` for `length`; a rate of 0 sends each call when the last
/// one is answered.
async fn send(
    address: net::SocketAddr,
    connections: usize,
    rate: f64,
    length: time::Duration,
    opened: &Barrier,
) -> Counts {
    let counts = Shared::default();
    let until = time::Instant::now() + length;
    if rate <= 0.0 {
        opened.wait();
        let callers = (0..connections).map(|_| async {
            let mut connection = Connection::open(address).await;
            while time::Instant::now() < until {
                let due = time::Instant::now();
                let code = connection.call().await;
                record(&counts, code, due);
            }
        });
        futures_util::future::join_all(callers).await;
        return counts.get();
    }
    let idle = Rc::new(std::cell::RefCell::new(Vec::new()));
    for _ in 0..connections {
        let connection = Connection::open(address).await;
        idle.borrow_mut().push(connection);
    }
    opened.wait();
    let until = time::Instant::now() + length;
    let step = time::Duration::from_secs_f64(1.0 / rate);
    let mut due = time::Instant::now();
    let mut calls = task::JoinSet::new();
    while due < until {
        // The timers' granularity of 1 ms sends a few calls at once.
        tokio::time::sleep_until(due.into()).await;
        while due <= time::Instant::now() && due < until {
            let Some(mut connection) = idle.borrow_mut().pop() else {
                let now = counts.get();
                counts.set(Counts { unsent: now.unsent + 1, ..now });
                due += step;
                continue;
            };
            let (counts, idle, sent) = (Rc::clone(&counts), Rc::clone(&idle), due);
            calls.spawn_local(async move {
                let code = connection.call().await;
                record(&counts, code, sent);
                if code == 0 {
                    connection = Connection::open(address).await;
                }
                idle.borrow_mut().push(connection);
            });
            due += step;
        }
        while calls.try_join_next().is_some() {}
    }
    let _ = tokio::time::timeout(time::Duration::from_secs(2), calls.join_all()).await;
    counts.get()
}

/// Sends calls from several threads; `rate` and `connections` are those of all together. Returns
/// also the processor time of the thread with `schedstat` while calls were sent, without that for
/// the opening of connections.
fn load(
    address: net::SocketAddr,
    connections: usize,
    rate: f64,
    length: time::Duration,
    schedstat: &path::Path,
) -> (Counts, f64) {
    let opened = Arc::new(Barrier::new(CALLER_THREADS + 1));
    let one = |opened: Arc<Barrier>| {
        move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().unwrap();
            let share = rate / CALLER_THREADS as f64;
            let sending = send(address, connections / CALLER_THREADS, share, length, &opened);
            task::LocalSet::new().block_on(&runtime, sending)
        }
    };
    let threads = (0..CALLER_THREADS).map(|_| thread::spawn(one(Arc::clone(&opened))));
    let threads: Vec<_> = threads.collect();
    opened.wait();
    let before = cpu_time(schedstat);
    thread::sleep(length);
    let cpu = (cpu_time(schedstat) - before).as_secs_f64();
    let counts = threads.into_iter().map(|t| t.join().unwrap());
    (counts.fold(Counts::default(), std::ops::Add::add), cpu)
}

fn main() {
    let args: Vec<String> = env::args().skip(1).filter(|a| a != "--bench").collect();
    let number = |index: usize| args.get(index).and_then(|a| a.parse::<u64>().ok());
    let delay_ms = number(0).unwrap_or(20);
    let length = time::Duration::from_secs(number(1).unwrap_or(5));
    let listener = net::TcpListener::bind("127.16.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let target = listener.local_addr().unwrap();
    spawn(move || upstream(listener));
    let id = |last: u8| host::HostId::new(net::SocketAddr::from(([127, 16, 0, last], 7100)));
    let nodes = [(id(2), 0), (id(3), delay_ms)];
    let nodes = nodes.map(|(id, delay_ms)| (id, delay_ms, start_node(id, target, delay_ms)));
    thread::sleep(time::Duration::from_millis(300));
    let (first, _, stat) = &nodes[0];
    let (counts, cpu) = load(first.call_addr(), CLOSED_CALLERS, 0.0, length, stat);
    let served = cpu / counts.served as f64;
    let capacity = counts.served as f64 / length.as_secs_f64();
    println!("capacity {capacity:.0} calls/s, {:.1} us CPU a served call", served * 1e6);
    for times in [1.0, 2.0, 4.0, 8.0] {
        for (id, delay_ms, stat) in &nodes {
            let (counts, cpu) = load(id.call_addr(), CONNECTIONS, capacity * times, length, stat);
            let goodput = counts.served as f64 / length.as_secs_f64();
            let Counts { sent, unsent, late, refused, full, .. } = counts;
            let answered = (counts.served + late).max(1) as f64;
            // Refusals by the gate are few; they count as served.
            let rest = cpu - (answered + full as f64) * served;
            let refusal = rest.max(0.0) / refused.max(1) as f64;
            println!(
                "{times}x  delay_ms {delay_ms:2}  served {goodput:6.0}/s ({:.2} of capacity)  \
                 sent {sent}  not sent {unsent}  late {late}  full {full}  refused {refused}  \
                 {:.1} us CPU a call served or late  {:.1} us a refused one",
                goodput / capacity,
                cpu / answered * 1e6,
                refusal * 1e6,
            );
        }
    }
}
