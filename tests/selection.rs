//! Selection of an upstream by an entry node, from what owner nodes report: the time for which they
//! held a call, also from slow, older and hostile nodes, and run times of urgent calls.

#[path = "calls/fake.rs"]
#[allow(dead_code, reason = "shared with the tests of calls")]
mod fake;
#[path = "calls/rig.rs"]
#[allow(dead_code, reason = "shared with the tests of calls")]
mod rig;

use std::cell::Cell;
use std::convert;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use dandelionspool::admit;
use dandelionspool::clock::Clock as _;
use dandelionspool::configs;
use dandelionspool::context;
use dandelionspool::host;
use dandelionspool::proxy::call_spec;
use dandelionspool::proxy::headers;
use dandelionspool::proxy::internode;
use dandelionspool::proxy::links;
use dandelionspool::proxy::proof;
use dandelionspool::proxy::upload;
use dandelionspool::seal;
use http_body_util::Full;
use hyper::server::conn::http2;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::task;

/// Time for which the upstream holds a call.
const RUN: time::Duration = time::Duration::from_millis(40);

fn with_switch(node_delay: bool) -> impl Fn(configs::Node) -> configs::Node {
    move |mut settings| {
        settings.call.node_delay = node_delay;
        settings
    }
}

/// Answers after [`RUN`].
fn slow_echo(request: &fake::Request) -> Vec<fake::Step> {
    let mut steps = vec![fake::Step::Wait(RUN)];
    steps.extend(fake::echo(request));
    steps
}

/// Makes a call of `service` to the owner node on `host`, as another node would.
async fn call_owner(host: host::HostId, service: &str) -> internode::Answer {
    let ctx = context::Context::system();
    let me = host::HostId::new(rig::address());
    let settings = rig::settings(me.member_addr());
    let seal = seal::Seal::new(&settings.mesh, &settings.key);
    let links = links::Links::new(me, seal, Arc::new(settings));
    let deadline = ctx.clock.now() + time::Duration::from_secs(5);
    let spec = call_spec::CallSpec {
        service,
        class: None,
        kind: "browse",
        weight: 1,
        organisation: None,
        nested: false,
        returning: false,
        target: deadline,
        deadline,
    };
    let request = http::Request::builder().uri("/browse").header("x-request-id", "r1");
    let mut request = request.body(upload::Upload::Buffered(None)).unwrap();
    internode::wrap(&mut request, None, &spec, ctx.clock.now()).unwrap();
    let end = tokio::time::Instant::now() + time::Duration::from_secs(5);
    internode::call(&links, host, request, proof::Unsent::fresh(), end).await
}

/// Guards against measurements that count waits and run times as a delay of the node, and against
/// refusals without a measurement.
#[test]
fn an_owner_node_sends_the_time_for_which_it_held_a_call() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let upstreams = [Some(fake.address)];
        let nodes =
            rig::nodes_with(&upstreams, 4, &rig::Claims::default(), with_switch(true)).await;
        let began = time::Instant::now();
        let answer = call_owner(nodes[0].id, "shop").await;
        let (held, took) = (answer.held.unwrap(), began.elapsed());
        assert!(held >= RUN && held <= took, "{held:?} of {took:?}");
        assert!(!answer.result.unwrap().headers().contains_key(headers::HELD_US));
        let refused = call_owner(nodes[0].id, "other").await;
        assert!(refused.result.is_err());
        assert!(refused.held.unwrap() < RUN);
    });
}

#[test]
fn with_the_switch_off_an_owner_node_sends_no_time() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let answer = call_owner(nodes[0].id, "shop").await;
        assert!(answer.result.is_ok());
        assert_eq!(answer.held, None);
        assert_eq!(call_owner(nodes[0].id, "other").await.held, None);
    });
}

/// Guards against a header between nodes that reaches callers, whatever the settings of the nodes.
#[rstest]
#[case::both_on(true, true)]
#[case::entry_on(true, false)]
#[case::owner_on(false, true)]
fn the_caller_gets_no_time(#[case] entry: bool, #[case] owner: bool) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let mut nodes = rig::nodes_with(&[None], 4, &claims, with_switch(entry)).await;
        let upstreams = [Some(fake.address)];
        nodes.extend(rig::nodes_with(&upstreams, 4, &claims, with_switch(owner)).await);
        rig::join(&nodes).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert_eq!(answer.header(headers::HELD_US), "");
    });
}

/// A stand-in for an owner node.
struct Owner {
    /// Calls that it has answered.
    calls: Rc<Cell<u32>>,
    task: task::JoinHandle<()>,
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Owner {
    /// Takes the place of `node`. Calls are answered after `delay`, as `answer` makes it.
    async fn replace(
        node: &rig::Node,
        delay: time::Duration,
        answer: impl Fn() -> http::Response<Full<Bytes>> + 'static,
    ) -> Self {
        node.task.abort();
        let address = node.id.inner_addr();
        rig::until(|| node.task.is_finished()).await;
        let listener = TcpListener::bind(address).await.unwrap();
        let calls = Rc::<Cell<u32>>::default();
        let (count, answer) = (Rc::clone(&calls), Rc::new(answer));
        let task = task::spawn_local(async move {
            let mut open = task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (count, answer) = (Rc::clone(&count), Rc::clone(&answer));
                let service = hyper::service::service_fn(
                    move |request: http::Request<hyper::body::Incoming>| {
                        let (count, answer) = (Rc::clone(&count), Rc::clone(&answer));
                        async move {
                            let response = if request.headers().contains_key(headers::SERVICE) {
                                count.set(count.get() + 1);
                                tokio::time::sleep(delay).await;
                                answer()
                            } else {
                                http::Response::new(Full::new(Bytes::new()))
                            };
                            Ok::<_, convert::Infallible>(response)
                        }
                    },
                );
                let server = http2::Builder::new(links::LocalExecutor);
                let conn = server.serve_connection(TokioIo::new(stream), service);
                open.spawn_local(async move {
                    let _ = conn.await;
                });
            }
        });
        Self { calls, task }
    }
}

/// The answer of an owner node to a call that ran for `ran_us`, with the header `held`.
fn answer(held: Option<&str>, load: admit::Load, ran_us: u64) -> http::Response<Full<Bytes>> {
    let mut builder = http::Response::builder()
        .header(headers::OUTCOME, headers::RAN)
        .header(headers::RAN_US, ran_us)
        .header(headers::LOAD, load.to_string());
    if let Some(held) = held {
        builder = builder.header(headers::HELD_US, held);
    }
    builder.body(Full::new(Bytes::from_static(b"whole"))).unwrap()
}

/// How many of 40 calls, one after another, an entry node sends to each of two owner nodes, of which
/// the first delays each call by 30 ms and sends the header `held`.
async fn shares(node_delay: bool, held: Option<&'static str>) -> [u32; 2] {
    let upstreams = [None, Some(rig::address()), Some(rig::address())];
    let claims = rig::Claims::default();
    let nodes = rig::nodes_with(&upstreams, 4, &claims, with_switch(node_delay)).await;
    let load = admit::Load { running: 0, waiting: 0, slots: 4, service_us: 1000 };
    let delay = time::Duration::from_millis(30);
    let slow = Owner::replace(&nodes[1], delay, move || answer(held, load, 1000)).await;
    let fast =
        Owner::replace(&nodes[2], time::Duration::ZERO, move || answer(Some("0"), load, 1000))
            .await;
    call_often(&nodes[0], 40).await;
    [slow.calls.get(), fast.calls.get()]
}

/// Makes calls, one after another.
async fn call_often(entry: &rig::Node, calls: u32) {
    for number in 0..calls {
        let request = rig::request("GET", "/browse", &format!("r{number}"));
        let answer = rig::call(entry, request, b"").await;
        assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        assert_eq!(answer.text(), "whole");
    }
}

/// Guards against calls to a node that is slow while its upstream reports free slots.
#[test]
fn an_entry_node_avoids_a_node_that_is_slow() {
    rig::run(async {
        let [slow, fast] = shares(true, Some("1000")).await;
        assert!(slow <= 8 && fast >= 32, "{slow} and {fast}");
    });
}

/// Guards against a node without a measurement that gets all calls, or none: one of the previous
/// build, or one whose header is no number.
#[rstest]
#[case::switch_off(false, Some("1000"))]
#[case::previous_build(true, None)]
#[case::not_a_number(true, Some("soon"))]
#[case::negative(true, Some("-1"))]
#[case::beyond_the_type(true, Some("18446744073709551616"))]
fn a_missing_or_wrong_header_leaves_the_shares_as_they_are(
    #[case] node_delay: bool,
    #[case] held: Option<&'static str>,
) {
    rig::run(async {
        let [slow, fast] = shares(node_delay, held).await;
        assert!((10..=30).contains(&slow) && slow + fast == 40, "{slow} and {fast}");
    });
}

/// Guards against a time above that of the attempt that breaks the measurement: it counts as the
/// time of the attempt.
#[test]
fn a_time_that_is_too_long_harms_no_call() {
    rig::run(async {
        let [slow, fast] = shares(true, Some("18446744073709551615")).await;
        println!("{slow} calls to the node with the time, {fast} to the other");
        assert_eq!(slow + fast, 40);
    });
}

/// Run times at the upstreams of [`shares_by_run_time`]. Their nodes answer after that time, since a
/// run counts as no longer than its attempt.
const SLOW_RUN: time::Duration = time::Duration::from_millis(120);
const FAST_RUN: time::Duration = time::Duration::from_millis(20);

/// How many of 40 calls of kinds of `priority`, which should be answered within 100 ms, an entry
/// node sends to each of two owner nodes: the first has no calls and runs them for [`SLOW_RUN`], the
/// second has six calls waiting and runs them for [`FAST_RUN`].
async fn shares_by_run_time(urgent_room: bool, priority: u8) -> [u32; 2] {
    let upstreams = [None, Some(rig::address()), Some(rig::address())];
    let change = |mut settings: configs::Node| {
        settings.call.urgent_room = urgent_room;
        settings
    };
    let nodes = rig::nodes_with(&upstreams, 4, &rig::Claims::default(), change).await;
    let mut applied = (*rig::applied(2)).clone();
    let mut mesh = (*applied.mesh).clone();
    for kind in &mut mesh.kinds {
        kind.priority = priority;
        kind.latency = Some(time::Duration::from_millis(100));
    }
    applied.mesh = Arc::new(mesh);
    nodes[0].applied.send_replace(Arc::new(applied));
    tokio::time::sleep(time::Duration::from_millis(60)).await;
    let idle = admit::Load { running: 0, waiting: 0, slots: 4, service_us: 20_000 };
    let load = Rc::new(Cell::new(idle));
    let current = Rc::clone(&load);
    let ran_us = |run: time::Duration| u64::try_from(run.as_micros()).unwrap();
    let slow = move || answer(None, idle, ran_us(SLOW_RUN));
    let slow = Owner::replace(&nodes[1], SLOW_RUN, slow).await;
    let fast = move || answer(None, current.get(), ran_us(FAST_RUN));
    let fast = Owner::replace(&nodes[2], FAST_RUN, fast).await;
    // Several calls at a time use both upstreams, so that their run times are known.
    for _ in 0..10 {
        tokio::join!(
            call_often(&nodes[0], 2),
            call_often(&nodes[0], 2),
            call_often(&nodes[0], 2),
            call_often(&nodes[0], 2),
            call_often(&nodes[0], 2),
            call_often(&nodes[0], 2),
        );
    }
    load.set(admit::Load { running: 4, waiting: 6, ..idle });
    let before = [slow.calls.get(), fast.calls.get()];
    call_often(&nodes[0], 40).await;
    [slow.calls.get() - before[0], fast.calls.get() - before[1]]
}

/// Guards against urgent calls that take a free slot where they can only be late, and against a
/// change for any other call.
#[rstest]
#[case::urgent(true, 0, false)]
#[case::not_urgent(true, 1, true)]
#[case::switch_off(false, 0, true)]
fn urgent_calls_go_where_they_are_answered_in_time(
    #[case] urgent_room: bool,
    #[case] priority: u8,
    #[case] to_slow: bool,
) {
    rig::run(async {
        let [slow, fast] = shares_by_run_time(urgent_room, priority).await;
        println!("{slow} to the slow upstream, {fast} to the fast one");
        assert_eq!(slow > fast, to_slow, "{slow} and {fast}");
        assert!(slow.max(fast) >= 30, "{slow} and {fast}");
    });
}
