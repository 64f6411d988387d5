//! Nested calls of runs that fail if one of them is lost.

use std::cell::RefCell;
use std::collections;
use std::sync::Arc;
use std::time;

use dandelionspool::mesh;
use dandelionspool::version;
use serde_json::json;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// How long the upstream takes for a nested call with the id `.late`.
const LATE: time::Duration = time::Duration::from_millis(160);

/// How long it takes for a call that makes nested calls, so that these end before.
const RUN: time::Duration = time::Duration::from_millis(400);

/// How long it takes for a call of [`TAUGHT`].
const TAUGHT_RUN: time::Duration = time::Duration::from_millis(100);

/// Runs with a lost nested call after which it is known that such runs fail.
const TAUGHT: usize = 10;

/// Calls of callers, of which five fill the retry budget by one.
const FILLING_CALLS: usize = 5;

/// A configuration with a service whose calls make nested calls to another one.
fn configuration() -> Arc<mesh::Applied> {
    let service = |name: &str, kind: &str| {
        json!({
            "name": name, "team": "sellers", "timeout_ms": 5000, "queue": 4, "retry_percent": 20,
            "objectives": {
                "availability": 0.999, "latency_ms": 200, "latency_share": 0.99, "window_days": 28,
            },
            "kinds": [{"name": kind, "weight": 1, "idempotent": true, "body_bytes": 1000}],
        })
    };
    let upstream = |name: &str| json!({"name": name, "service": name, "slots": 9, "connections": 120, "warmup_ms": 0});
    let route = |path: &str, service: &str, kind: &str| json!({"name": kind, "path": path, "methods": ["GET"], "service": service, "kind": kind});
    let body = json!({
        "format": 1,
        "teams": [{"name": "sellers"}],
        "services": [service("shop", "page"), service("parts", "part")],
        "upstreams": [upstream("shop"), upstream("parts")],
        "routes": [route("/pages", "shop", "page"), route("/parts", "parts", "part")],
    })
    .to_string();
    let mesh = mesh::check::check(body.as_bytes()).unwrap();
    let digest = version::Digest::of(body.as_bytes());
    let version_id = version::VersionId { version: version::Version::new(2), digest };
    Arc::new(mesh::Applied { version_id, mesh: Arc::new(mesh) })
}

/// An upstream whose calls make nested calls; it fails those whose id begins with `taught` with
/// `status`.
async fn shop(status: &'static str) -> fake::Fake {
    fake::Fake::start(move |request| {
        if !request.header("x-request-id").starts_with("taught") {
            return [vec![Step::Wait(RUN)], fake::echo(request)].concat();
        }
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        vec![Step::Wait(TAUGHT_RUN), Step::Write(answer.into())]
    })
    .await
}

/// An upstream that sheds nested calls by their ids: `.lost` each time, `.once` the first time.
async fn parts() -> fake::Fake {
    let tries = RefCell::<collections::HashMap<String, u32>>::default();
    fake::Fake::start(move |request| {
        let id = request.header("x-request-id");
        let name = id.split_once('.').map_or("", |(_, name)| name);
        let mut tries = tries.borrow_mut();
        let number = tries.entry(id.clone()).or_default();
        *number += 1;
        let shed = "HTTP/1.1 503 Service Unavailable\r\ndandelionspool-upstream: shed\r\n\
                    content-length: 0\r\n\r\n";
        match name {
            "lost" => vec![Step::Write(shed.into())],
            // By then the other nested calls of the run have begun.
            "once" if *number == 1 => vec![Step::Wait(LATE / 4), Step::Write(shed.into())],
            "late" => [vec![Step::Wait(LATE)], fake::echo(request)].concat(),
            _ => fake::echo(request),
        }
    })
    .await
}

/// A node with an upstream that makes nested calls, and one with the upstream that they go to.
struct Caller {
    shop: fake::Fake,
    parts: fake::Fake,
    nodes: Vec<rig::Node>,
}

impl Caller {
    /// Nodes of which the first has seen [`TAUGHT`] runs end with `status` after the loss of a
    /// nested call. With the part, three retries are left in the budget of nested calls, of which
    /// nested calls may take one; without it, a single one.
    async fn taught(sibling_repeats: bool, status: &'static str) -> Self {
        let (shop, parts) = (shop(status).await, parts().await);
        let change = |mut settings: dandelionspool::configs::Node| {
            settings.call.sibling_repeats = sibling_repeats;
            settings
        };
        let upstreams = [Some(shop.address), Some(parts.address)];
        let mut nodes = rig::nodes_with(&upstreams, 9, &rig::Claims::default(), change).await;
        rig::set_service(&mut nodes[1], "parts");
        let applied = configuration();
        for node in &nodes {
            node.applied.send_replace(Arc::clone(&applied));
        }
        rig::join(&nodes).await;
        let caller = Self { shop, parts, nodes };
        for number in 0..TAUGHT {
            caller.run(&format!("taught-{number:04}"), &["lost"]).await;
        }
        for number in 0..FILLING_CALLS {
            let request = rig::request("GET", "/parts", &format!("filling-{number}"));
            assert_eq!(rig::call(&caller.nodes[0], request, b"").await.outcome(), "ran");
        }
        caller
    }

    /// A call that makes the calls `nested`, all at once; returns their answers.
    async fn run(&self, id: &str, nested: &[&str]) -> Vec<rig::Answer> {
        let outer = rig::call(&self.nodes[0], rig::request("GET", "/pages", id), b"");
        let inner = async {
            let started = || self.shop.requests().iter().any(|r| r.header("x-request-id") == id);
            rig::until(started).await;
            futures_util::future::join_all(nested.iter().map(|name| self.nested(id, name))).await
        };
        futures_util::join!(outer, inner).1
    }

    async fn nested(&self, id: &str, name: &str) -> rig::Answer {
        let request = rig::request("GET", "/parts", &format!("{id}.{name}"));
        rig::call(&self.nodes[0], request, b"").await
    }

    fn runs(&self, id: &str) -> usize {
        self.parts.runs(id)
    }
}

fn outcomes(answers: &[rig::Answer]) -> Vec<&str> {
    answers.iter().map(rig::Answer::outcome).collect()
}

/// The load that the part answers: nested calls are shed, and a retry that serves one of two lost
/// ones takes the budget from a run that needs only that one.
#[test]
fn retries_go_to_runs_that_they_can_save() {
    rig::run(async {
        for (sibling_repeats, expected) in [(true, "ran"), (false, "not-run")] {
            let caller = Caller::taught(sibling_repeats, "500 Internal Server Error").await;
            caller.run("run-0001", &["once", "lost"]).await;
            let sent = ["once", "lost"].map(|name| caller.runs(&format!("run-0001.{name}")));
            assert!(!sibling_repeats || sent == [1, 1], "{sent:?}");
            let given_up = caller.nodes[0].retries.given_up.get();
            assert_eq!(given_up, if sibling_repeats { 2 } else { 0 });
            let answers = caller.run("run-0002", &["once", "late"]).await;
            assert_eq!(outcomes(&answers), [expected, "ran"]);
        }
    });
}

#[test]
fn a_nested_call_is_retried_after_the_others_have_ended() {
    rig::run(async {
        let caller = Caller::taught(true, "500 Internal Server Error").await;
        let once = async {
            rig::until(|| caller.runs("run-0001.late") > 0).await;
            let began = time::Instant::now();
            let answer = caller.nested("run-0001", "once").await;
            (began.elapsed(), answer)
        };
        let (_, (took, answer)) = tokio::join!(caller.run("run-0001", &["late"]), once);
        assert_eq!(answer.outcome(), "ran");
        // A retry at once would be answered after a quarter of that time.
        assert!(took > LATE * 3 / 4, "{took:?}");
    });
}

#[test]
fn further_nested_calls_of_a_run_that_will_fail_are_refused() {
    rig::run(async {
        let caller = Caller::taught(true, "500 Internal Server Error").await;
        let nested = async {
            rig::until(|| caller.runs("run-0001.lost") > 0).await;
            // The loss is known once its answer has been sent.
            tokio::time::sleep(LATE).await;
            caller.nested("run-0001", "good").await
        };
        let (_, answer) = tokio::join!(caller.run("run-0001", &["lost"]), nested);
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "full");
        assert!(!answer.header("retry-after").is_empty());
        assert_eq!(caller.runs("run-0001.good"), 0);
        assert_eq!(caller.nodes[0].retries.not_sent.get(), 1);
        let answers = caller.run("run-0002", &["good"]).await;
        assert_eq!(outcomes(&answers), ["ran"], "another run has lost nothing");
    });
}

/// Where runs do without a nested call, the others must be sent and retried as without the part.
#[test]
fn siblings_are_ignored_where_runs_survive() {
    rig::run(async {
        let caller = Caller::taught(true, "200 OK").await;
        let nested = async {
            rig::until(|| caller.runs("run-0001.lost") > 0).await;
            tokio::time::sleep(LATE).await;
            caller.nested("run-0001", "good").await
        };
        let (_, answer) = tokio::join!(caller.run("run-0001", &["lost"]), nested);
        assert_eq!(answer.outcome(), "ran");
    });
}
