//! What a call costs: calls a second and processor time of a node's thread, and time added, for
//! the direct way, through one node, and through two.
//!
//! `cargo bench --bench call_path -- [calls a second] [seconds] [way]`: with a rate, calls are
//! sent at that rate, however slow the answers are (open loop); without one, or with 0, 32
//! callers send one call after the other.

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

/// A thread whose processor time can be read from another.
struct Duty(path::PathBuf);

impl Duty {
    /// Runs the future made by `make` on a thread of its own for the rest of the process.
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

    fn cpu(&self) -> time::Duration {
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
) -> Duty {
    let mesh = Arc::new(mesh::check::check(CONFIG.as_bytes()).unwrap());
    let stamp = version::VersionId { version: version::Version::new(1), ..Default::default() };
    let settings = configs::Node {
        mesh: "bench".into(),
        key: "secret".into(),
        listen: id.member_addr(),
        ..configs::Node::default()
    };
    Duty::spawn(name, move || async move {
        let local = local.map(|address| {
            Arc::new(node::LocalUpstream {
                address,
                instance: Default::default(),
                upstream: shop(),
            })
        });
        let wiring = wiring::Wiring {
            applied: watch::channel(Arc::new(mesh::Applied { version_id: stamp, mesh })).1,
            view: watch::channel(view).1,
            local: watch::channel(local).1,
            stage: watch::channel(node::Stage::Run).1,
            tallies: ring::bounded(4).0,
            claims: NoClaims,
            dialect: dandelionspool::proxy::Dialect::default(),
            quarantine: quarantine::channel().0,
            rollouts: Default::default(),
        };
        let (_keep, stage) = watch::channel(node::Stage::Run);
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
    let (send, conn) = client::handshake(TokioIo::new(stream)).await.unwrap();
    task::spawn_local(conn);
    send
}

async fn call(send: &mut client::SendRequest<Full<Bytes>>) {
    let request = http::Request::builder().uri("/browse/books?page=1").header("host", "shop.test");
    send.ready().await.unwrap();
    let answer = send.send_request(request.body(Full::default()).unwrap()).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.into_body().collect().await.unwrap().to_bytes().len(), ANSWER.len());
}

type Times = Rc<std::cell::RefCell<hdrhistogram::Histogram<u64>>>;

async fn closed(address: net::SocketAddr, until: time::Instant, times: Times) {
    let mut send = connect(address).await;
    while time::Instant::now() < until {
        let start = time::Instant::now();
        call(&mut send).await;
        times.borrow_mut().record(micros(start)).unwrap();
    }
}

/// Each caller sends at its share of the rate; a call's time starts when it was due.
async fn open(address: net::SocketAddr, rate: f64, until: time::Instant, times: Times) {
    let mut send = connect(address).await;
    let pause = time::Duration::from_secs_f64(CALLERS as f64 / rate);
    let mut due = time::Instant::now() + pause.mul_f64(rand::random());
    while due < until {
        tokio::time::sleep_until(due.into()).await;
        // The timer's granularity is a millisecond: it is not the call's time.
        let start = if time::Instant::now() < due + pause { time::Instant::now() } else { due };
        call(&mut send).await;
        times.borrow_mut().record(micros(start)).unwrap();
        due += pause.mul_f64(0.5 + rand::random::<f64>());
    }
}

fn micros(start: time::Instant) -> u64 {
    u64::try_from(start.elapsed().as_nanos() / 100).unwrap().max(1)
}

fn measure(
    name: &str,
    address: net::SocketAddr,
    rate: f64,
    seconds: u64,
    duties: &[(&str, &Duty)],
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let times = Rc::new(std::cell::RefCell::new(hdrhistogram::Histogram::new(3).unwrap()));
    let before: Vec<time::Duration> = duties.iter().map(|(_, d)| d.cpu()).collect();
    let start = time::Instant::now();
    let until = start + time::Duration::from_secs(seconds);
    task::LocalSet::new().block_on(&runtime, async {
        let callers = (0..CALLERS).map(|_| {
            let times = Rc::clone(&times);
            task::spawn_local(async move {
                if rate > 0.0 {
                    open(address, rate, until, times).await;
                } else {
                    closed(address, until, times).await;
                }
            })
        });
        futures_util::future::join_all(callers).await;
    });
    let times = times.borrow();
    let calls = times.len();
    let at = |q: f64| times.value_at_quantile(q) as f64 / 10.0;
    let a_second = calls as f64 / start.elapsed().as_secs_f64();
    print!(
        "{name:8} {calls:7} calls {a_second:8.0} a second  p50 {:6.1} us  p99 {:7.1} us",
        at(0.5),
        at(0.99)
    );
    for ((duty, d), before) in duties.iter().zip(before) {
        let cpu = (d.cpu() - before).as_nanos() as f64 / calls as f64 / 1000.0;
        print!("  {duty} {cpu:5.1} us/call");
    }
    println!();
}

/// A name, an address to call, and the threads whose time counts.
type Way<'a> = (&'a str, net::SocketAddr, &'a [(&'a str, &'a Duty)]);

fn main() {
    let args: Vec<String> = env::args().skip(1).filter(|a| a != "--bench").collect();
    let number = |index: usize| args.get(index).and_then(|a| a.parse::<f64>().ok());
    let rate = number(0).unwrap_or(0.0);
    let seconds = number(1).unwrap_or(3.0) as u64;
    let wanted = |way: &str| args.get(2).is_none_or(|w| w == way);
    let listener = net::TcpListener::bind("127.16.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let target = listener.local_addr().unwrap();
    let run = Duty::spawn("upstream", move || upstream(listener));
    let id = |last: u8| host::HostId::new(net::SocketAddr::from(([127, 16, 0, last], 7100)));
    let place = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
    let host = |last: u8, upstream: Option<view::Upstream>| view::Host {
        id: id(last),
        locality: Arc::clone(&place),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: upstream.map(Arc::new),
    };
    let view = Arc::new(view::View::new(vec![host(2, None), host(3, Some(shop()))]));
    let entry = start_node("entry", id(2), None, Arc::clone(&view));
    let owner = start_node("owner", id(3), Some(target), view);
    thread::sleep(time::Duration::from_millis(300));
    let ways: [Way<'_>; 3] = [
        ("direct", target, &[("upstream", &run)]),
        ("one", id(3).call_addr(), &[("node", &owner)]),
        ("two", id(2).call_addr(), &[("entry", &entry), ("owner", &owner)]),
    ];
    for _ in 0..2 {
        for (way, address, duties) in ways.iter().filter(|(way, ..)| wanted(way)) {
            measure(way, *address, rate, seconds, duties);
        }
    }
}
