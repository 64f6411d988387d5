//! Runs the call paths of several nodes in one process, with views of the mesh made by the test,
//! and sends calls to them.

use std::cell::{Cell, RefCell};
use std::collections;
use std::future;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use bytes::Bytes;
use dandelionspool::claim;
use dandelionspool::clock;
use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::mesh;
use dandelionspool::node;
use dandelionspool::proxy;
use dandelionspool::proxy::shell;
use dandelionspool::proxy::wiring;
use dandelionspool::quarantine;
use dandelionspool::retry;
use dandelionspool::ring;
use dandelionspool::usage;
use dandelionspool::version;
use dandelionspool::view;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;

const PORT: u16 = 7100;
const CONFIG: &str = include_str!("mesh.json");

/// Maximum time for which a test waits for a condition.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

static NEXT: atomic::AtomicU16 = atomic::AtomicU16::new(1);

/// Hosts on one port; those after them get the next ports.
const HOSTS_PER_PORT: u16 = 200;

/// Ports from the base of a host to that of the next one on the same address.
const PORT_STEP: u16 = 10;

/// A host address that no other test of this process, or of another process, uses.
pub fn address() -> net::SocketAddr {
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    let [_, _, c, d] = pid.to_be_bytes();
    let low = u8::try_from(number % HOSTS_PER_PORT).unwrap() + 1;
    let port = PORT + number / HOSTS_PER_PORT * PORT_STEP;
    net::SocketAddr::from(([127, 16 + c % 64, d, low], port))
}

/// Claims in memory, shared by the nodes of a test.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// The first claim of each key.
    pub first: Rc<RefCell<collections::HashMap<claim::Key, claim::Attempt>>>,
    /// Releases, in order.
    pub released: Rc<RefCell<Vec<claim::Attempt>>>,
    /// The error with which every claim fails, if set.
    pub error: Rc<RefCell<Option<claim::Error>>>,
    /// Time that each claim takes.
    pub delay: Rc<Cell<time::Duration>>,
}

impl claim::Claims for Claims {
    async fn claim(
        &self,
        key: claim::Key,
        attempt: claim::Attempt,
        _deadline: clock::Instant,
    ) -> Result<claim::Verdict, claim::Error> {
        tokio::task::yield_now().await;
        if !self.delay.get().is_zero() {
            tokio::time::sleep(self.delay.get()).await;
        }
        if let Some(error) = *self.error.borrow() {
            return Err(error);
        }
        let mut first = self.first.borrow_mut();
        let winner = *first.entry(key).or_insert(attempt);
        Ok(if winner == attempt { claim::Verdict::First } else { claim::Verdict::Taken(winner) })
    }

    fn release(&self, key: claim::Key, attempt: claim::Attempt) {
        self.released.borrow_mut().push(attempt);
        let mut first = self.first.borrow_mut();
        if first.get(&key) == Some(&attempt) {
            first.remove(&key);
        }
    }
}

/// A node's call path under test.
pub struct Node {
    /// The host of the node.
    pub id: host::HostId,
    /// The stage of the node, from running to its end.
    pub stage: watch::Sender<node::Stage>,
    /// The local upstream.
    pub local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    /// Usage counted by the node.
    pub tallies: ring::Receiver<usage::Delta>,
    view: watch::Sender<Arc<view::View>>,
    /// The configuration of the node.
    pub applied: watch::Sender<Arc<mesh::Applied>>,
    /// The membership duty's side of the quarantine: receives reports and publishes snapshots.
    pub quarantine: quarantine::MemberSide,
    /// The calls duty; it ends after a drain.
    pub task: task::JoinHandle<Result<(), proxy::Error>>,
    /// Counts of its decisions on retries.
    pub retries: retry::Counts,
    upstream: Option<view::Upstream>,
    /// Number of the process at its address, from 1.
    incarnation: u64,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An upstream of the service "shop".
pub fn shop(slots: u16) -> view::Upstream {
    view::Upstream {
        service: "shop".into(),
        class: "shop".into(),
        phase: view::Phase::Serving,
        slots,
        connections: 20,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    }
}

/// The configuration of the tests.
pub fn applied(number: u64) -> Arc<mesh::Applied> {
    let mesh = mesh::check::check(CONFIG.as_bytes()).unwrap();
    let digest = version::Digest::of(CONFIG.as_bytes());
    let version_id = version::VersionId { version: version::Version::new(number), digest };
    Arc::new(mesh::Applied { version_id, mesh: Arc::new(mesh) })
}

/// Settings of a node at `listen`.
pub fn settings(listen: net::SocketAddr) -> configs::Node {
    let proxy = configs::proxy::Proxy { linger_ms: 50, ..configs::proxy::Proxy::default() };
    configs::Node {
        mesh: "calls".into(),
        key: "secret".into(),
        listen,
        proxy,
        ..configs::Node::default()
    }
}

/// Starts nodes that know each other, each with an upstream at the given address or none.
pub async fn nodes(upstreams: &[Option<net::SocketAddr>], claims: &Claims) -> Vec<Node> {
    nodes_with(upstreams, 4, claims, |settings| settings).await
}

/// Like [`nodes`], with `slots` at each upstream and settings changed by `change`.
pub async fn nodes_with(
    upstreams: &[Option<net::SocketAddr>],
    slots: u16,
    claims: &Claims,
    change: impl Fn(configs::Node) -> configs::Node,
) -> Vec<Node> {
    let nodes: Vec<Node> = upstreams
        .iter()
        .map(|upstream| start(change(settings(address())), *upstream, slots, claims))
        .collect();
    join(&nodes).await;
    for node in &nodes {
        until(|| std::net::TcpStream::connect(node.id.inner_addr()).is_ok()).await;
    }
    nodes
}

/// Publishes a view of all nodes to each of them, and waits until it is applied.
pub async fn join(nodes: &[Node]) {
    let locality = Arc::new(view::Locality { region: "region".into(), zone: "zone".into() });
    let hosts = nodes.iter().map(|node| view::Host {
        id: node.id,
        locality: Arc::clone(&locality),
        incarnation: node.incarnation,
        health: view::Health::Alive,
        upstream: node.upstream.clone().map(Arc::new),
    });
    let view = Arc::new(view::View::new(hosts.collect()));
    for node in nodes {
        node.view.send_replace(Arc::clone(&view));
    }
    tokio::time::sleep(time::Duration::from_millis(60)).await;
}

/// Names the upstream beside `node`.
pub fn name_upstream(node: &Node, instance: &str) {
    node.local.send_modify(|local| {
        let mut named = local.as_deref().unwrap().clone();
        named.instance = instance.into();
        *local = Some(Arc::new(named));
    });
}

/// Replaces the upstream beside `node` by the next incarnation, named `instance`, at its address.
pub fn replace_upstream(node: &mut Node, instance: &str) {
    node.local.send_modify(|local| {
        let mut next = local.as_deref().unwrap().clone();
        next.instance = instance.into();
        next.upstream.incarnation += 1;
        node.upstream = Some(next.upstream.clone());
        *local = Some(Arc::new(next));
    });
}

/// Makes the upstream beside `node` one of `service`, whose class has the same name.
pub fn set_service(node: &mut Node, service: &'static str) {
    node.local.send_modify(|local| {
        let mut changed = local.as_deref().unwrap().clone();
        changed.upstream.service = service.into();
        changed.upstream.class = service.into();
        node.upstream = Some(changed.upstream.clone());
        *local = Some(Arc::new(changed));
    });
}

/// Ends `node` without a stop and starts it anew at its address, beside the same upstream.
pub async fn restart(
    node: Node,
    upstream: net::SocketAddr,
    instance: &str,
    claims: &Claims,
) -> Node {
    let (address, incarnation) = (node.id.member_addr(), node.incarnation + 1);
    drop(node);
    until(|| std::net::TcpListener::bind(host::HostId::new(address).inner_addr()).is_ok()).await;
    let mut node = start(settings(address), Some(upstream), 4, claims);
    node.incarnation = incarnation;
    name_upstream(&node, instance);
    until(|| std::net::TcpStream::connect(node.id.inner_addr()).is_ok()).await;
    node
}

fn start(
    settings: configs::Node,
    upstream: Option<net::SocketAddr>,
    slots: u16,
    claims: &Claims,
) -> Node {
    let id = host::HostId::new(settings.listen);
    let described = upstream.map(|_| shop(slots));
    let local_upstream = upstream.map(|address| {
        Arc::new(node::LocalUpstream {
            address,
            instance: Default::default(),
            born: None,
            upstream: shop(slots),
        })
    });
    let (stage, stages) = watch::channel(node::Stage::Run);
    let (local, locals) = watch::channel(local_upstream);
    let (view, views) = watch::channel(Arc::default());
    let (applied, versions) = watch::channel(applied(1));
    let (sender, tallies) = ring::bounded(64);
    let (call_side, quarantine) = quarantine::channel();
    let retries = retry::Counts::default();
    let wiring = wiring::Wiring {
        applied: versions,
        view: views,
        local: locals,
        stage: stages,
        tallies: sender,
        claims: claims.clone(),
        dialect: proxy::Dialect::default(),
        quarantine: call_side,
        quotas: Default::default(),
        answers: Default::default(),
        notices: Default::default(),
        picks: Default::default(),
        retries: retries.clone(),
        slots: Default::default(),
        overload: Default::default(),
        rollouts: Default::default(),
    };
    let ctx =
        context::Context { clock: clock::System::new(), seed: u64::from(id.member_addr().port()) };
    let task = task::spawn_local(shell::run(ctx, Arc::new(settings), wiring));
    Node {
        id,
        stage,
        local,
        tallies,
        view,
        applied,
        quarantine,
        task,
        retries,
        upstream: described,
        incarnation: 1,
    }
}

/// Runs a test on one thread.
pub fn run(test: impl future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    task::LocalSet::new().block_on(&runtime, test);
}

/// Waits until `done` is true.
pub async fn until(done: impl Fn() -> bool) {
    let limit = time::Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(time::Instant::now() < limit, "the condition was not met within {WAIT_TIMEOUT:?}");
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

/// An answer as received by a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    /// `None` if the body broke off before its marked end.
    pub body: Option<Bytes>,
}

impl Answer {
    /// The value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    /// The outcome of the call.
    pub fn outcome(&self) -> &str {
        self.header("dandelionspool-outcome")
    }

    /// The body as text; "cut" if it broke off.
    pub fn text(&self) -> &str {
        self.body.as_ref().map_or("cut", |b| std::str::from_utf8(b).unwrap())
    }
}

/// A request for the tests' service.
pub fn request(method: &str, path: &str, id: &str) -> http::request::Builder {
    let builder = http::Request::builder().method(method).uri(path).header("host", "shop.test");
    builder.header("x-request-id", id)
}

/// Calls a node on a new connection.
pub async fn call(node: &Node, request: http::request::Builder, body: &[u8]) -> Answer {
    let request = request.body(Full::new(Bytes::copy_from_slice(body))).unwrap();
    send(node, request).await.unwrap()
}

/// Like [`call`], with any body. Fails if the connection ends without an answer.
pub async fn send<B>(node: &Node, request: http::Request<B>) -> hyper::Result<Answer>
where
    B: hyper::body::Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = TcpStream::connect(node.id.call_addr()).await.unwrap();
    let (mut send, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let conn = task::spawn_local(conn);
    let answer = send.send_request(request).await?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.ok().map(|b| b.to_bytes());
    conn.abort();
    Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
}
