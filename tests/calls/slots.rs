//! Slots, cancellation and deadlines.

use std::cell::Cell;
use std::convert::Infallible;
use std::sync::Arc;
use std::time;

use dandelionspool::configs;
use dandelionspool::mesh;
use hyper::body::Frame;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpStream;

use crate::fake;
use crate::fake::Step;
use crate::rig;

const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Never answers a request whose id starts with "hang".
fn hang(request: &fake::Request) -> Vec<Step> {
    if request.header("x-request-id").starts_with("hang") {
        vec![Step::AwaitClose]
    } else {
        fake::echo(request)
    }
}

#[test]
fn a_caller_who_leaves_frees_the_slot_at_the_upstream() {
    rig::run(async {
        let fake = fake::Fake::start(hang).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 1, &claims, |s| s).await;
        for (round, entry) in nodes.iter().enumerate() {
            let id = format!("hang{round}");
            let stream = TcpStream::connect(entry.id.call_addr()).await.unwrap();
            let (mut send, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
            let conn = tokio::task::spawn_local(conn);
            let body = http_body_util::Empty::<bytes::Bytes>::new();
            let request = rig::request("POST", "/orders", &id).body(body).unwrap();
            let pending = tokio::task::spawn_local(send.send_request(request));
            rig::until(|| fake.runs(&id) == 1).await;
            conn.abort();
            pending.abort();
            rig::until(|| fake.requests().last().is_some_and(|s| s.closed)).await;
            let next = rig::request("POST", "/orders", "next");
            let next = next.header("dandelionspool-deadline-ms", "2000");
            let answer = rig::call(entry, next, b"").await;
            assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to next"));
        }
    });
}

#[test]
fn a_deadline_frees_the_slot_and_a_call_that_only_waited_is_not_run() {
    rig::run(async {
        let fake = fake::Fake::start(hang).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 1, &claims, |s| s).await;
        let order = |id: &str, millis: &str| {
            rig::request("POST", "/orders", id).header("dandelionspool-deadline-ms", millis)
        };
        let (ran, waited) = tokio::join!(rig::call(&nodes[0], order("hang", "3000"), b""), async {
            rig::until(|| fake.runs("hang") == 1).await;
            rig::call(&nodes[0], order("waits", "2000"), b"").await
        });
        assert_eq!((ran.status, ran.outcome()), (504, "unknown"));
        assert_eq!((waited.status, waited.outcome()), (503, "not-run"));
        assert_eq!(waited.header("dandelionspool-reason"), "too-late");
        assert_eq!(fake.runs("waits"), 0);
        let answer = rig::call(&nodes[0], order("next", "1000"), b"").await;
        assert_eq!(answer.outcome(), "ran");
    });
}

#[test]
fn no_more_calls_run_than_there_are_slots_and_the_rest_is_refused_at_once() {
    rig::run(async {
        let script = |request: &fake::Request| {
            [vec![Step::Wait(time::Duration::from_millis(300))], fake::echo(request)].concat()
        };
        let fake = fake::Fake::start(script).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 2, &claims, |s| s).await;
        // Two calls run, four wait, which is the service's queue limit, and the others are refused.
        let calls = (0..10).map(|number| {
            let request = rig::request("POST", "/orders", &format!("r{number}"));
            rig::call(&nodes[0], request, b"")
        });
        let answers = futures_util::future::join_all(calls).await;
        let count = |outcome: &str| answers.iter().filter(|a| a.outcome() == outcome).count();
        assert_eq!((count("ran"), count("not-run")), (6, 4));
        for answer in answers.iter().filter(|a| a.outcome() == "not-run") {
            assert_eq!((answer.status, answer.header("dandelionspool-reason")), (503, "full"));
            assert!(!answer.header("retry-after").is_empty());
        }
        assert_eq!((fake.requests().len(), fake.conns()), (6, 2));
    });
}

#[test]
fn a_heavier_kind_goes_first() {
    rig::run(async {
        let script = |request: &fake::Request| {
            [vec![Step::Wait(time::Duration::from_millis(50))], fake::echo(request)].concat()
        };
        let fake = fake::Fake::start(script).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 1, &claims, |s| s).await;
        let browse =
            |id: &'static str| rig::call(&nodes[0], rig::request("GET", "/browse", id), b"");
        let order = async {
            rig::until(|| fake.requests().len() == 1).await;
            tokio::time::sleep(time::Duration::from_millis(10)).await;
            rig::call(&nodes[0], rig::request("POST", "/orders", "order"), b"").await
        };
        tokio::join!(browse("a"), browse("b"), browse("c"), order);
        assert_eq!(fake.requests()[1].header("x-request-id"), "order");
    });
}

#[test]
fn a_call_to_an_upstream_that_is_not_there_is_proven_not_to_have_run() {
    rig::run(async {
        let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let nodes = rig::nodes(&[None, Some(dead)], &rig::Claims::default()).await;
        let answer = rig::call(&nodes[0], rig::request("POST", "/orders", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "unreachable");
    });
}

#[test]
fn a_dead_upstream_costs_idempotent_callers_no_error() {
    rig::run(async {
        let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[None, Some(dead), Some(fake.address)], &claims).await;
        for number in 0..50 {
            let id = format!("r{number}");
            let answer = rig::call(&nodes[0], rig::request("GET", "/browse", &id), b"").await;
            assert_eq!((answer.outcome(), fake.runs(&id)), ("ran", 1));
        }
    });
}

#[test]
fn a_dead_node_costs_idempotent_callers_no_error() {
    rig::run(async {
        let fake = fake::Fake::start(hang).await;
        let other = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes(&[None, Some(fake.address), Some(other.address)], &claims).await;
        // Enough calls to open a connection to both nodes.
        for number in 0..8 {
            rig::call(&nodes[0], rig::request("GET", "/browse", &format!("r{number}")), b"").await;
        }
        let calls = (0..4).map(|number| {
            rig::call(&nodes[0], rig::request("GET", "/browse", &format!("hang{number}")), b"")
        });
        let kill = async {
            rig::until(|| fake.requests().iter().any(|s| s.head.contains("hang"))).await;
            tokio::time::sleep(time::Duration::from_millis(20)).await;
            nodes[1].stage.send_replace(dandelionspool::node::Stage::End);
        };
        let answers = futures_util::future::join_all(calls);
        let (answers, ()) = tokio::join!(tokio::time::timeout(TEST_TIMEOUT, answers), kill);
        for answer in answers.unwrap() {
            assert_eq!((answer.status, answer.outcome()), (200, "ran"));
        }
    });
}

/// Both slots are taken, one of them by the parent of the nested call. Another call arrives before
/// the nested one, which must get the next free slot nevertheless.
#[test]
fn a_nested_call_runs_before_other_calls_that_wait() {
    rig::run(async {
        let script = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "parent-0001" => {
                [vec![Step::Wait(time::Duration::from_millis(500))], fake::echo(request)].concat()
            }
            "before-0001" => {
                [vec![Step::Wait(time::Duration::from_millis(150))], fake::echo(request)].concat()
            }
            _ => fake::echo(request),
        };
        let fake = fake::Fake::start(script).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[Some(fake.address), None], 2, &claims, |s| s).await;
        let call = |node: usize, id: &str| {
            let request = rig::request("POST", "/orders", id);
            rig::call(&nodes[node], request.header("dandelionspool-deadline-ms", "3000"), b"")
        };
        let later = async {
            rig::until(|| fake.runs("parent-0001") == 1 && fake.runs("before-0001") == 1).await;
            let nested = async {
                tokio::time::sleep(time::Duration::from_millis(30)).await;
                call(0, "parent-0001.1").await
            };
            tokio::join!(call(1, "caller-0001"), nested)
        };
        let (_, _, (caller, nested)) =
            tokio::join!(call(0, "parent-0001"), call(0, "before-0001"), later);
        assert_eq!((caller.outcome(), nested.outcome()), ("ran", "ran"));
        let order: Vec<String> =
            fake.requests().iter().skip(2).map(|request| request.header("x-request-id")).collect();
        assert_eq!(order, ["parent-0001.1", "caller-0001"]);
    });
}

/// Both upstreams drop calls whose id starts with `lost`. These calls use up the burst of the retry
/// budget first. Then 50 calls are served, which earn ten retries at 20 % each. Nested calls must
/// not earn any: otherwise a service could be retried far beyond the share that its callers allow.
#[rstest]
#[case::other_calls("caller", 8..=11)]
#[case::nested_calls("parent-0001.", 0..=0)]
fn nested_calls_earn_no_retries(
    #[case] served: &'static str,
    #[case] wanted: std::ops::RangeInclusive<usize>,
) {
    rig::run(async {
        let script = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "parent-0001" => vec![Step::Wait(time::Duration::from_secs(4)), Step::Close],
            id if id.starts_with("lost") => vec![Step::Close],
            _ => fake::echo(request),
        };
        let (one, two) = (fake::Fake::start(script).await, fake::Fake::start(script).await);
        let claims = rig::Claims::default();
        let upstreams = [Some(one.address), Some(two.address)];
        let nodes = rig::nodes_with(&upstreams, 9, &claims, |s| s).await;
        let call = async |id: String| {
            let request = rig::request("POST", "/browse", &id);
            rig::call(&nodes[0], request.header("dandelionspool-deadline-ms", "3000"), b"").await
        };
        let attempts = || {
            let requests = [one.requests(), two.requests()].concat();
            requests.iter().filter(|s| s.header("x-request-id").starts_with("lost")).count()
        };
        let send_lost = async |name: &str| {
            let before = attempts();
            for number in 0..30 {
                call(format!("lost-{name}-{number}")).await;
            }
            attempts() - before - 30
        };
        let parent = async {
            // One at each upstream, so that the entry node's own upstream runs one of them.
            tokio::join!(call("parent-0001".to_owned()), call("parent-0001".to_owned()))
        };
        let counted = async {
            rig::until(|| one.runs("parent-0001") >= 1).await;
            send_lost("burst").await;
            for number in 0..50 {
                assert_eq!(call(format!("{served}{number:04}")).await.outcome(), "ran");
            }
            send_lost("after").await
        };
        let retries = tokio::select! {
            retries = counted => retries,
            _ = parent => panic!("the calls take too long"),
        };
        assert!(wanted.contains(&retries), "{retries} retries");
    });
}

/// A body of 60 kB takes 480 ms of a link of 1 Mbit/s, and the caller gives up after 300 ms. Guards
/// against a switch that does not reach the owner node.
#[rstest]
#[case::read_anyway(false, "ran", 1)]
#[case::refused(true, "not-run", 0)]
fn a_body_that_the_link_can_not_carry_in_time_is_refused_if_switched_on(
    #[case] body_room: bool,
    #[case] outcome: &str,
    #[case] runs: usize,
) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let settings = |mut settings: configs::Node| {
            settings.call.body_room = body_room;
            settings.proxy.link_mbps = 1.0;
            settings
        };
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 4, &claims, settings).await;
        let request = rig::request("POST", "/orders", "body");
        let request = request.header("dandelionspool-deadline-ms", "300");
        let answer = rig::call(&nodes[0], request, &[0; 60_000]).await;
        assert_eq!((answer.outcome(), fake.runs("body")), (outcome, runs), "{answer:?}");
    });
}

/// A body of 120 kB takes 960 ms of a link of 1 Mbit/s. Its sender announces it and stalls. Guards
/// against a node that refuses the bodies of others until that call's deadline.
#[test]
fn a_body_that_is_announced_and_never_sent_refuses_no_other() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        // The entry node forwards a body that it doesn't keep before it has received it.
        let kept = Cell::new(1000);
        let settings = |mut settings: configs::Node| {
            settings.proxy.keep_bytes = kept.replace(200_000);
            settings.call.body_room = true;
            settings.proxy.link_mbps = 1.0;
            settings
        };
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 4, &claims, settings).await;
        let frames = futures_util::stream::pending::<Result<Frame<bytes::Bytes>, Infallible>>();
        let request = rig::request("PUT", "/uploads", "stalled")
            .header("dandelionspool-deadline-ms", "10000")
            .header("content-length", "120000")
            .body(http_body_util::StreamBody::new(frames))
            .unwrap();
        let second = async {
            tokio::time::sleep(time::Duration::from_millis(500)).await;
            let request = rig::request("POST", "/orders", "body");
            rig::call(&nodes[0], request.header("dandelionspool-deadline-ms", "700"), &[0; 20_000])
                .await
        };
        let answer = tokio::select! {
            answer = second => answer,
            _ = rig::send(&nodes[0], request) => panic!("its body is never sent"),
        };
        assert_eq!((answer.outcome(), fake.runs("body")), ("ran", 1), "{answer:?}");
    });
}

/// A configuration in which orders are less urgent than what is browsed.
fn with_priorities() -> Arc<mesh::Applied> {
    let body = json!({
        "format": 5,
        "organisations": [{"name": "sellers"}],
        "services": [{
            "name": "shop", "organisation": "sellers",
            "kinds": [
                {"name": "browse", "idempotent": true, "priority": 0},
                {"name": "order", "priority": 1},
            ],
        }],
        "upstreams": [{"name": "shop", "service": "shop", "slots": 9, "warmup_ms": 0}],
        "routes": [
            {"name": "browse", "path": "/browse", "service": "shop", "kind": "browse", "public": true},
            {"name": "order", "path": "/orders", "service": "shop", "kind": "order", "public": true},
        ],
    });
    let mesh = Arc::new(mesh::check::check(body.to_string().as_bytes()).unwrap());
    Arc::new(mesh::Applied { mesh, ..(*rig::applied(2)).clone() })
}

/// Two of three slots are taken by calls that hang. Guards against a switch or an urgency that does
/// not reach the gate of the owner node: the last slot is then taken by a call that hangs, too.
#[rstest]
#[case::nothing_is_reserved(false)]
#[case::a_slot_is_reserved(true)]
fn a_slot_is_kept_for_an_urgent_call_if_switched_on(#[case] urgent_room: bool) {
    rig::run(async {
        let script = |request: &fake::Request| {
            let pause = Step::Wait(time::Duration::from_millis(50));
            [vec![pause], hang(request)].concat()
        };
        let fake = fake::Fake::start(script).await;
        let claims = rig::Claims::default();
        let settings = |mut settings: configs::Node| {
            settings.call.urgent_room = urgent_room;
            settings
        };
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 3, &claims, settings).await;
        nodes.iter().for_each(|node| drop(node.applied.send_replace(with_priorities())));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        let urgent = |id: &str| {
            rig::request("GET", "/browse", id).header("dandelionspool-deadline-ms", "600")
        };
        let order = |id: &str| {
            rig::request("POST", "/orders", id).header("dandelionspool-deadline-ms", "5000")
        };
        let first = rig::call(&nodes[0], urgent("first"), b"").await;
        assert_eq!(first.outcome(), "ran", "{}", first.header("dandelionspool-reason"));
        let orders = async {
            tokio::join!(
                rig::call(&nodes[0], order("hang-1"), b""),
                rig::call(&nodes[0], order("hang-2"), b""),
                rig::call(&nodes[0], order("hang-3"), b""),
            )
        };
        let next = async {
            rig::until(|| fake.runs("hang-1") + fake.runs("hang-2") + fake.runs("hang-3") >= 2)
                .await;
            tokio::time::sleep(time::Duration::from_millis(100)).await;
            rig::call(&nodes[0], urgent("next"), b"").await
        };
        let answer = tokio::select! {
            answer = next => answer,
            _ = orders => panic!("the orders hang"),
        };
        assert_eq!(answer.outcome(), if urgent_room { "ran" } else { "not-run" });
    });
}
