//! Planned stops of nodes and upstreams, and configuration changes while calls are in flight.

use std::sync::Arc;
use std::time;

use dandelionspool::configs;
use dandelionspool::mesh;
use dandelionspool::node;
use dandelionspool::usage;
use dandelionspool::view;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net;

use crate::fake;
use crate::fake::Step;
use crate::rig;

fn slow_echo(request: &fake::Request) -> Vec<Step> {
    match request.header("x-request-id").as_str() {
        "quick" => fake::echo(request),
        // Longer than open connections may take to close.
        "long" => {
            [vec![Step::Wait(time::Duration::from_millis(2800))], fake::echo(request)].concat()
        }
        _ => [vec![Step::Wait(time::Duration::from_millis(300))], fake::echo(request)].concat(),
    }
}

/// Sets the stage of all nodes.
fn stop(nodes: &[rig::Node], stage: node::Stage) {
    for node in nodes {
        node.stage.send_replace(stage);
    }
}

#[test]
fn a_planned_stop_cuts_no_call_and_answers_the_others() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let mut nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        // The entry node and the owner node both stop while a call is in flight.
        let call = rig::call(&nodes[0], rig::request("POST", "/orders", "long"), b"");
        let halt = async {
            rig::until(|| fake.runs("long") == 1).await;
            stop(&nodes, node::Stage::Drain);
            let late = rig::call(&nodes[0], rig::request("POST", "/orders", "r2"), b"").await;
            assert_eq!((late.status, late.outcome()), (503, "not-run"));
            assert_eq!(late.header("dandelionspool-reason"), "draining");
            assert_eq!(late.header("connection"), "close");
            assert_eq!(late.header("retry-after"), "1");
        };
        let (answer, ()) = tokio::join!(call, halt);
        assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to long"));
        for node in &mut nodes {
            let ended = tokio::time::timeout(rig::WAIT_TIMEOUT, &mut node.task).await;
            ended.unwrap().unwrap().unwrap();
        }
        assert_eq!(fake.requests().len(), 1);
    });
}

#[test]
fn a_request_that_arrives_just_after_the_last_call_ends_is_still_answered() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let call = rig::call(&nodes[0], rig::request("POST", "/orders", "long"), b"");
        let mut stream = None;
        let halt = async {
            rig::until(|| fake.runs("long") == 1).await;
            stop(&nodes[..1], node::Stage::Drain);
            stream = Some(net::TcpStream::connect(nodes[0].id.call_addr()).await.unwrap());
        };
        let (finished, ()) = tokio::join!(call, halt);
        assert_eq!(finished.outcome(), "ran");
        // No call is in flight any more, so the node closes its port.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        let mut stream = stream.unwrap();
        stream.write_all(b"GET /lists HTTP/1.1\r\nhost: a.example\r\n\r\n").await.unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
        assert!(answer.contains("dandelionspool-outcome: not-run"), "{answer:?}");
    });
}

/// The stop takes 800 ms in total. The upstream never answers, and the caller would wait for 5 s.
#[rstest]
#[case::the_stop_begins_first(0, 20)]
#[case::the_call_comes_first(50, 0)]
fn a_call_is_answered_before_a_stop_ends(#[case] stop_after: u64, #[case] call_after: u64) {
    rig::run(async {
        let fake = fake::Fake::start(|_: &fake::Request| vec![Step::AwaitClose]).await;
        let stop = configs::stop::Stop { serve_ms: 300, drain_ms: 500, ..Default::default() };
        let change = |settings| configs::Node { stop: stop.clone(), ..settings };
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 4, &claims, change).await;
        let began = time::Instant::now();
        let halt = async {
            tokio::time::sleep(time::Duration::from_millis(stop_after)).await;
            nodes[0].stage.send_replace(node::Stage::Leave);
        };
        let call = async {
            tokio::time::sleep(time::Duration::from_millis(call_after)).await;
            rig::call(&nodes[0], rig::request("POST", "/orders", "r1"), b"").await
        };
        let ((), answer) = tokio::join!(halt, call);
        assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
        assert!(began.elapsed() < time::Duration::from_millis(850), "{:?}", began.elapsed());
    });
}

#[test]
fn a_draining_entry_takes_no_new_call_although_its_upstreams_would() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let call = rig::call(&nodes[0], rig::request("POST", "/orders", "r1"), b"");
        let halt = async {
            rig::until(|| fake.runs("r1") == 1).await;
            stop(&nodes[..1], node::Stage::Drain);
            rig::call(&nodes[0], rig::request("POST", "/orders", "r2"), b"").await
        };
        let (finished, late) = tokio::join!(call, halt);
        assert_eq!((finished.outcome(), late.outcome()), ("ran", "not-run"));
        assert_eq!((late.header("dandelionspool-reason"), fake.requests().len()), ("draining", 1));
    });
}

#[test]
fn a_draining_owner_refuses_new_work_while_other_nodes_still_pick_it() {
    rig::run(async {
        let leaving = fake::Fake::start(fake::echo).await;
        let staying = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let upstreams = [None, Some(leaving.address), Some(staying.address)];
        let nodes = rig::nodes(&upstreams, &claims).await;
        rig::call(&nodes[0], rig::request("POST", "/orders", "r"), b"").await;
        let before = leaving.requests().len();
        // Only the owner node has been notified by the upstream.
        let mut upstream = rig::shop(4);
        upstream.phase = view::Phase::Draining;
        let local = node::LocalUpstream {
            address: leaving.address,
            instance: Default::default(),
            born: None,
            upstream,
        };
        nodes[1].local.send_replace(Some(Arc::new(local)));
        for number in 0..40 {
            let id = format!("r{number}");
            let answer = rig::call(&nodes[0], rig::request("POST", "/orders", &id), b"").await;
            let reason = answer.header("dandelionspool-reason");
            assert_eq!((answer.outcome(), staying.runs(&id)), ("ran", 1), "{id}: {reason}");
        }
        assert_eq!(leaving.requests().len(), before);
    });
}

/// Guards against calls that are refused although one upstream still serves: if each call tried the
/// leaving upstream first, it would use up the retry budget.
#[test]
fn calls_are_served_while_one_upstream_is_slow_and_the_other_one_leaves() {
    rig::run(async {
        let leaving = fake::Fake::start(fake::echo).await;
        let staying = fake::Fake::start(fake::echo).await;
        let upstreams = [None, Some(leaving.address), Some(staying.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        rig::call(&nodes[0], rig::request("POST", "/orders", "r"), b"").await;
        let upstream = view::Upstream { phase: view::Phase::Draining, ..rig::shop(4) };
        let (address, instance) = (leaving.address, Default::default());
        nodes[1].local.send_replace(Some(Arc::new(node::LocalUpstream {
            address,
            instance,
            born: None,
            upstream,
        })));
        // Blocks the runtime for most of half a second, so that the first call to the other
        // upstream is slow.
        tokio::task::spawn_local(async {
            for _ in 0..8 {
                std::thread::sleep(time::Duration::from_millis(60));
                tokio::task::yield_now().await;
            }
        });
        for number in 0..40 {
            let id = format!("r{number}");
            let answer = rig::call(&nodes[0], rig::request("POST", "/orders", &id), b"").await;
            let reason = answer.header("dandelionspool-reason");
            assert_eq!((answer.outcome(), staying.runs(&id)), ("ran", 1), "{id}: {reason}");
        }
    });
}

#[rstest]
#[case::gone(None)]
#[case::of_another_service(Some(view::Upstream { service: "other".into(), ..rig::shop(4) }))]
#[case::of_another_class(Some(view::Upstream { class: "other".into(), ..rig::shop(4) }))]
fn a_call_for_an_upstream_that_has_changed_is_refused_at_the_owner_node(
    #[case] upstream: Option<view::Upstream>,
) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let local = upstream.map(|u| {
            Arc::new(node::LocalUpstream {
                address: fake.address,
                instance: Default::default(),
                born: None,
                upstream: u,
            })
        });
        nodes[1].local.send_replace(local);
        let answer = rig::call(&nodes[0], rig::request("POST", "/orders", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "draining");
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_long_answer_in_flight_is_finished_before_the_stop() {
    rig::run(async {
        let script = |_: &fake::Request| {
            let mut steps =
                vec![Step::Write(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n".into())];
            for _ in 0..10 {
                steps.push(Step::Write(vec![b'x'; 100_000]));
                steps.push(Step::Wait(time::Duration::from_millis(30)));
            }
            steps
        };
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let call = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"");
        let halt = async {
            rig::until(|| fake.requests().len() == 1).await;
            tokio::time::sleep(time::Duration::from_millis(60)).await;
            stop(&nodes, node::Stage::Drain);
        };
        let (answer, ()) = tokio::join!(call, halt);
        assert_eq!(answer.text().len(), 1_000_000);
    });
}

#[test]
fn calls_succeed_while_configurations_change() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let calls = (0..4).map(|number| {
            rig::call(&nodes[0], rig::request("POST", "/orders", &format!("r{number}")), b"")
        });
        let change = async {
            for number in 2..20 {
                nodes.iter().for_each(|n| drop(n.applied.send_replace(rig::applied(number))));
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                let quick = rig::request("GET", "/browse", "quick");
                let answer = rig::call(&nodes[0], quick, b"").await;
                assert!(matches!(answer.outcome(), "ran" | "not-run"), "{answer:?}");
            }
        };
        let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), change);
        assert!(answers.iter().all(|a| a.outcome() == "ran"), "{answers:?}");
    });
}

#[test]
fn a_node_without_a_configuration_answers_not_ready() {
    rig::run(async {
        let nodes = rig::nodes(&[None], &rig::Claims::default()).await;
        nodes[0].applied.send_replace(Arc::<mesh::Applied>::default());
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "not-ready");
    });
}

#[test]
fn each_call_is_counted_once_at_its_entry() {
    rig::run(async {
        let script = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "cut" => vec![Step::Close],
            "broken" => vec![Step::Write(b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n".into())],
            _ => fake::echo(request),
        };
        let fake = fake::Fake::start(script).await;
        let mut nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for id in ["r1", "r2", "cut", "broken"] {
            rig::call(&nodes[0], rig::request("POST", "/orders", id), b"").await;
        }
        let late =
            rig::request("POST", "/orders", "late").header("dandelionspool-deadline-ms", "0");
        rig::call(&nodes[0], late, b"").await;
        rig::call(&nodes[0], rig::request("GET", "/nowhere", "lost"), b"").await;
        let mut totals = usage::Totals::default();
        stop(&nodes, node::Stage::End);
        while let Some(delta) = nodes[0].tallies.recv().await {
            for (label, counts) in &delta.rows {
                assert_eq!(
                    (label.organisation.as_str(), label.kind.as_str()),
                    ("sellers", "order")
                );
                assert_eq!(label.weight, 20);
                totals.add(counts);
            }
        }
        assert_eq!(totals.calls, [2, 1, 1, 1, 0], "served, failed, refused, unknown, left");
        assert!(nodes[1].tallies.recv().await.is_none(), "only the entry counts");
    });
}

/// An upstream that restarts while the network is cut never answers what its previous process was
/// sent, and the node receives no reset of the connections.
#[test]
fn calls_of_a_previous_incarnation_free_their_slots_at_once() {
    rig::run(async {
        let silent = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "lost" => vec![Step::AwaitClose],
            _ => fake::echo(request),
        };
        let fake = fake::Fake::start(silent).await;
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 1, &claims, |s| s).await;
        let began = time::Instant::now();
        let lost = rig::request("POST", "/orders", "lost");
        let lost = lost.header("dandelionspool-deadline-ms", "4000");
        let again = async {
            rig::until(|| fake.runs("lost") == 1).await;
            let upstream = view::Upstream { incarnation: 1, ..rig::shop(1) };
            let address = fake.address;
            let local =
                node::LocalUpstream { address, instance: Default::default(), born: None, upstream };
            nodes[1].local.send_replace(Some(Arc::new(local)));
            rig::call(&nodes[0], rig::request("POST", "/orders", "next"), b"").await
        };
        let (lost, next) = tokio::join!(rig::call(&nodes[0], lost, b""), again);
        assert_eq!((lost.status, lost.outcome()), (502, "unknown"));
        assert_eq!((next.outcome(), next.text()), ("ran", "answer to next"));
        assert!(began.elapsed() < time::Duration::from_secs(3), "{:?}", began.elapsed());
    });
}

/// An upstream that leaves finishes its calls while its successor has already announced itself.
#[test]
fn calls_of_an_instance_that_leaves_go_on_beside_its_successor() {
    rig::run(async {
        let fake = fake::Fake::start(slow_echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let next = async {
            rig::until(|| fake.runs("other") == 1).await;
            let upstream = view::Upstream { incarnation: 1, ..rig::shop(4) };
            let local = node::LocalUpstream {
                address: fake.address,
                instance: "next".into(),
                born: None,
                upstream,
            };
            nodes[1].local.send_replace(Some(Arc::new(local)));
        };
        let call = rig::call(&nodes[0], rig::request("POST", "/orders", "other"), b"");
        let (answer, ()) = tokio::join!(call, next);
        assert_eq!((answer.outcome(), answer.text()), ("ran", "answer to other"));
    });
}

/// Guards against calls that are passed on in a planned stop although their answers can't be
/// delivered any more, among them calls that must not run twice.
#[test]
fn a_call_that_a_stop_would_cut_is_refused_before_it_runs() {
    rig::run(async {
        let work = [vec![Step::Wait(time::Duration::from_millis(700))]];
        let script = move |request: &fake::Request| [work.concat(), fake::echo(request)].concat();
        let fake = fake::Fake::start(script).await;
        let stop = configs::stop::Stop { kill_s: 3.0, serve_ms: 2000, ..Default::default() };
        let change = |settings| configs::Node { stop: stop.clone(), ..settings };
        let claims = rig::Claims::default();
        let nodes = rig::nodes_with(&[None, Some(fake.address)], 4, &claims, change).await;
        let first = rig::call(&nodes[0], rig::request("POST", "/orders", "usual"), b"").await;
        assert_eq!(first.outcome(), "ran");
        nodes[0].stage.send_replace(node::Stage::Leave);
        let early = rig::call(&nodes[0], rig::request("POST", "/orders", "early"), b"").await;
        assert_eq!(early.outcome(), "ran", "there is time for it");
        tokio::time::sleep(time::Duration::from_millis(800)).await;
        let late = rig::call(&nodes[0], rig::request("POST", "/orders", "late"), b"").await;
        assert_eq!((late.status, late.outcome()), (503, "not-run"));
        assert_eq!(late.header("dandelionspool-reason"), "draining");
        let short = rig::request("POST", "/orders", "short");
        let short = short.header("dandelionspool-deadline-ms", "900");
        let short = rig::call(&nodes[0], short, b"").await;
        assert_eq!(short.outcome(), "ran", "its caller waits no longer than the stop takes");
        assert_eq!((fake.runs("late"), fake.runs("short")), (0, 1));
    });
}
