//! The membership duty over real datagrams on loopback.

use std::net;
use std::process;
use std::sync::Arc;
use std::sync::atomic;
use std::thread;
use std::time;

use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::leave;
use dandelionspool::member;
use dandelionspool::mesh;
use dandelionspool::node;
use dandelionspool::quarantine;
use dandelionspool::ring;
use dandelionspool::traffic;
use dandelionspool::version;
use dandelionspool::view;
use rstest::rstest;
use tokio::runtime;
use tokio::sync::watch;

/// A membership duty that runs on a thread of its own.
struct Duty {
    id: host::HostId,
    view: watch::Receiver<Arc<view::View>>,
    stage: watch::Sender<node::Stage>,
    applied: watch::Sender<Arc<mesh::Applied>>,
    mismatches: ring::Receiver<member::VersionMismatch>,
    traffic: Arc<traffic::Traffic>,
    _local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    thread: thread::JoinHandle<Result<(), member::Error>>,
}

/// An address that no other run of the tests uses.
fn address(index: u16) -> net::SocketAddr {
    let [_, _, high, low] = process::id().to_be_bytes();
    net::SocketAddr::from((net::Ipv4Addr::new(127, 13, high, low), 7100 + 10 * index))
}

fn start(index: u16, key: &str) -> Duty {
    let settings = configs::Node {
        mesh: "mesh".into(),
        key: key.into(),
        listen: address(index),
        join: vec![address(index / 10 * 10)],
        ..configs::Node::default()
    };
    let upstream = view::Upstream {
        service: "service".into(),
        class: "class".into(),
        phase: view::Phase::Serving,
        slots: 9,
        connections: 130,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    let local = node::LocalUpstream {
        address: address(index),
        instance: Default::default(),
        born: None,
        upstream,
    };
    let (applied, applied_rx) = watch::channel(Arc::default());
    let (view_tx, view) = watch::channel(Arc::default());
    let (mismatches_tx, mismatches) = ring::bounded(8);
    let (_local, local_rx) = watch::channel(Some(Arc::new(local)));
    let (stage, stage_rx) = watch::channel(node::Stage::Run);
    let traffic = Arc::<traffic::Traffic>::default();
    let wiring = member::shell::Wiring {
        applied: applied_rx,
        view: view_tx,
        mismatches: mismatches_tx,
        local: local_rx,
        quarantine: quarantine::channel().1,
        leaves: leave::channel().1,
        stage: stage_rx,
        traffic: Arc::clone(&traffic),
    };
    let run = || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let context = context::Context::system();
        let directory = member::directory::Fixed::new(&settings.join);
        let duty = member::shell::run(context, Arc::new(settings), directory, wiring);
        tokio::task::LocalSet::new().block_on(&runtime, duty)
    };
    let id = host::HostId::new(address(index));
    Duty { id, view, stage, applied, mismatches, traffic, _local, thread: thread::spawn(run) }
}

/// Polls until `done`, at most for 30 s.
fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let begin = time::Instant::now();
    while !done() {
        assert!(begin.elapsed() < time::Duration::from_secs(30), "{what}: not after 30 s");
        thread::sleep(time::Duration::from_millis(20));
    }
}

fn sees(duty: &Duty, id: host::HostId) -> bool {
    let view = duty.view.borrow();
    view.upstreams("service").any(|h| h.id == id && h.health == view::Health::Alive)
}

fn stop(duty: Duty) {
    duty.stage.send(node::Stage::End).unwrap();
    duty.thread.join().unwrap().unwrap();
}

#[rstest]
fn duties_find_each_other_and_drop_unauthenticated_datagrams() {
    let mut one = start(0, "key");
    let two = start(1, "key");
    let outsider = start(2, "yek");
    wait("hosts see each other", || sees(&one, two.id) && sees(&two, one.id));
    let dropped = &one.traffic.of(traffic::Purpose::Member).dropped;
    wait("unauthenticated datagram dropped", || dropped.load(atomic::Ordering::Relaxed) > 0);
    assert!(!sees(&one, outsider.id) && !sees(&two, outsider.id));

    let version = version::Version::new(7);
    let version_id = version::VersionId { version, digest: version::Digest::of(b"seven") };
    two.applied.send_replace(Arc::new(mesh::Applied { version_id, mesh: Arc::default() }));
    wait("version mismatch found", || {
        one.mismatches.try_recv().is_ok_and(|h| h.host == two.id && h.version == version)
    });

    two.stage.send(node::Stage::Drain).unwrap();
    let draining =
        |h: &view::Host| h.upstream.as_ref().is_some_and(|u| u.phase == view::Phase::Draining);
    wait("drain seen", || one.view.borrow().host(two.id).is_some_and(draining));
    let id = two.id;
    stop(two);
    wait("leave seen", || one.view.borrow().host(id).is_none());
    stop(outsider);
    stop(one);
}

#[rstest]
fn address_in_use_is_returned_as_an_error() {
    let one = start(20, "key");
    wait("started", || one.view.borrow().host(one.id).is_some());
    let two = start(20, "key");
    let result = two.thread.join().unwrap();
    assert!(matches!(result, Err(member::Error::Bind { .. })), "{result:?}");
    stop(one);
}
