//! Cost of a call without a node, through one node, and through two: calls per second, latency, and
//! processor time of the threads involved.
//!
//! `cargo bench --bench call_path -- [calls per second] [seconds] [direct|one|two]`: with a rate,
//! calls are sent at that rate, however slow the answers are (open loop); without one, or with 0,
//! each of 32 callers sends its next call when the last one is answered (closed loop).

use std::env;
use std::net;
use std::path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc;
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
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

const CONFIG: &str = include_str!("../tests/calls/mesh.json");
const CALLERS: usize = 32;
const SLOTS: u16 = 64;
const ANSWER: &[u8] = &[b'x'; 1024];

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

/// A thread whose processor time can be read from other threads; holds the path of its statistics.
struct MeasuredThread(path::PathBuf);

impl MeasuredThread {
    /// Runs the future that `make` returns on a new thread until the process ends.
    fn spawn<F: Future<Output = ()>>(
        name: &str,
        make: impl FnOnce() -> F + Send + 'static,
    ) -> Self {
        let (sender, receiver) = mpsc::channel();
        let builder = thread::Builder::new().name(name.to_owned());
        let spawned = builder.spawn(move || {
            let link = std::fs::read_link("/proc/thread-self").unwrap();
            sender.send(path::Path::new("/proc").join(link).join("schedstat")).unwrap();
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().unwrap();
            task::LocalSet::new().block_on(&runtime, make());
        });
        spawned.unwrap();
        Self(receiver.recv().unwrap())
    }

    fn cpu_time(&self) -> time::Duration {
        let text = std::fs::read_to_string(&self.0).unwrap();
        let nanos = text.split_whitespace().next().unwrap().parse().unwrap();
        time::Duration::from_nanos(nanos)
    }
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

fn start_node(
    name: &str,
    id: host::HostId,
    local: Option<net::SocketAddr>,
    view: Arc<view::View>,
) -> MeasuredThread {
    let mesh = Arc::new(mesh::check::check(CONFIG.as_bytes()).unwrap());
    let version_id = version::VersionId { version: version::Version::new(1), ..Default::default() };
    let settings = configs::Node {
        mesh: "bench".into(),
        key: "secret".into(),
        listen: id.member_addr(),
        ..configs::Node::default()
    };
    MeasuredThread::spawn(name, move || async move {
        let local = local.map(|address| {
            Arc::new(node::LocalUpstream {
                address,
                instance: Default::default(),
                born: None,
                upstream: shop(),
            })
        });
        let wiring = wiring::Wiring {
            applied: watch::channel(Arc::new(mesh::Applied { version_id, mesh })).1,
            view: watch::channel(view).1,
            local: watch::channel(local).1,
            stage: watch::channel(node::Stage::Run).1,
            tallies: ring::bounded(4).0,
            claims: NoClaims,
            dialect: dandelionspool::proxy::Dialect::default(),
            quarantine: quarantine::channel().0,
            quotas: Default::default(),
            answers: Default::default(),
            notices: Default::default(),
            picks: Default::default(),
            retries: Default::default(),
            slots: Default::default(),
            overload: Default::default(),
            rollouts: Default::default(),
        };
        let (_stage_sender, stage) = watch::channel(node::Stage::Run);
        let wiring = wiring::Wiring { stage, ..wiring };
        shell::run(context::Context::system(), Arc::new(settings), wiring).await.unwrap();
    })
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

async fn connect(address: net::SocketAddr) -> client::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = client::handshake(TokioIo::new(stream)).await.unwrap();
    task::spawn_local(connection);
    sender
}

async fn call(sender: &mut client::SendRequest<Full<Bytes>>) {
    let request = http::Request::builder().uri("/browse/books?page=1").header("host", "shop.test");
    sender.ready().await.unwrap();
    let answer = sender.send_request(request.body(Full::default()).unwrap()).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.into_body().collect().await.unwrap().to_bytes().len(), ANSWER.len());
}

/// Latencies in tenths of a microsecond.
type Latencies = Rc<std::cell::RefCell<hdrhistogram::Histogram<u64>>>;

/// Sends each call when the last one is answered.
async fn closed_loop(address: net::SocketAddr, until: time::Instant, latencies: Latencies) {
    let mut sender = connect(address).await;
    while time::Instant::now() < until {
        let start = time::Instant::now();
        call(&mut sender).await;
        latencies.borrow_mut().record(tenth_micros(start)).unwrap();
    }
}

/// Sends calls at one caller's share of the rate. The latency of a call that the one before delayed
/// counts from the time at which it was due.
async fn open_loop(
    address: net::SocketAddr,
    rate: f64,
    until: time::Instant,
    latencies: Latencies,
) {
    let mut sender = connect(address).await;
    let pause = time::Duration::from_secs_f64(CALLERS as f64 / rate);
    let mut due = time::Instant::now() + pause.mul_f64(rand::random());
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        // The timer may fire up to a millisecond late, which is not part of the latency.
        let start = if time::Instant::now() < due + pause { time::Instant::now() } else { due };
        call(&mut sender).await;
        latencies.borrow_mut().record(tenth_micros(start)).unwrap();
        due += pause.mul_f64(0.5 + rand::random::<f64>());
    }
}

fn tenth_micros(start: time::Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos() / 100).unwrap().max(1)
}

fn measure(
    name: &str,
    address: net::SocketAddr,
    rate: f64,
    seconds: u64,
    threads: &[(&str, &MeasuredThread)],
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let latencies = Rc::new(std::cell::RefCell::new(hdrhistogram::Histogram::new(3).unwrap()));
    let before: Vec<time::Duration> = threads.iter().map(|(_, t)| t.cpu_time()).collect();
    let start = time::Instant::now();
    let until = start + time::Duration::from_secs(seconds);
    task::LocalSet::new().block_on(&runtime, async {
        let callers = (0..CALLERS).map(|_| {
            let latencies = Rc::clone(&latencies);
            task::spawn_local(async move {
                if rate > 0.0 {
                    open_loop(address, rate, until, latencies).await;
                } else {
                    closed_loop(address, until, latencies).await;
                }
            })
        });
        futures_util::future::join_all(callers).await;
    });
    let latencies = latencies.borrow();
    let calls = latencies.len();
    let at = |q: f64| latencies.value_at_quantile(q) as f64 / 10.0;
    let calls_per_s = calls as f64 / start.elapsed().as_secs_f64();
    print!(
        "{name:8} {calls:7} calls {calls_per_s:8.0} a second  p50 {:6.1} us  p99 {:7.1} us",
        at(0.5),
        at(0.99)
    );
    for ((thread, t), before) in threads.iter().zip(before) {
        let cpu = (t.cpu_time() - before).as_nanos() as f64 / calls as f64 / 1000.0;
        print!("  {thread} {cpu:5.1} us/call");
    }
    println!();
}

/// Name of a path of calls, the address to call, and the threads whose processor time counts.
type CallPath<'a> = (&'a str, net::SocketAddr, &'a [(&'a str, &'a MeasuredThread)]);

fn main() {
    let args: Vec<String> = env::args().skip(1).filter(|a| a != "--bench").collect();
    let number = |index: usize| args.get(index).and_then(|a| a.parse::<f64>().ok());
    let rate = number(0).unwrap_or(0.0);
    let seconds = number(1).unwrap_or(3.0) as u64;
    let selected = |path: &str| args.get(2).is_none_or(|p| p == path);
    let listener = net::TcpListener::bind("127.16.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let target = listener.local_addr().unwrap();
    let upstream_thread = MeasuredThread::spawn("upstream", move || upstream(listener));
    let id = |last: u8| host::HostId::new(net::SocketAddr::from(([127, 16, 0, last], 7100)));
    let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
    let host = |last: u8, upstream: Option<view::Upstream>| view::Host {
        id: id(last),
        locality: Arc::clone(&locality),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: upstream.map(Arc::new),
    };
    let view = Arc::new(view::View::new(vec![host(2, None), host(3, Some(shop()))]));
    let entry = start_node("entry", id(2), None, Arc::clone(&view));
    let owner = start_node("owner", id(3), Some(target), view);
    thread::sleep(time::Duration::from_millis(300));
    let paths: [CallPath<'_>; 3] = [
        ("direct", target, &[("upstream", &upstream_thread)]),
        ("one", id(3).call_addr(), &[("node", &owner)]),
        ("two", id(2).call_addr(), &[("entry", &entry), ("owner", &owner)]),
    ];
    for _ in 0..2 {
        for (path, address, threads) in paths.iter().filter(|(path, ..)| selected(path)) {
            measure(path, *address, rate, seconds, threads);
        }
    }
}
