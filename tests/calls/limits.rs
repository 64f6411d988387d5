//! Upstreams that name a limit on their calls, or say that they leave, in their answers.

use std::time;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// Time between two calls of a test.
const CALL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A span over which calls are counted.
const SPAN: time::Duration = time::Duration::from_secs(4);

/// A complete answer to `request` with the lines `headers` in its head.
fn answer_with(request: &fake::Request, headers: &str) -> Vec<Step> {
    let text = format!("answer to {}", request.header("x-request-id"));
    let length = text.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n{headers}\r\n{text}");
    vec![Step::Write(answer.into_bytes())]
}

/// An upstream whose every answer has the lines `headers` in its head.
async fn upstream_that_says(headers: &'static str) -> fake::Fake {
    fake::Fake::start(move |request| answer_with(request, headers)).await
}

/// Calls `node` at regular intervals for `length`, and returns the outcome of each call.
async fn call_steadily(node: &rig::Node, length: time::Duration) -> Vec<rig::Answer> {
    let began = time::Instant::now();
    let mut answers = Vec::new();
    while began.elapsed() < length {
        let id = format!("call-{}", answers.len());
        answers.push(rig::call(node, rig::request("GET", "/browse", &id), b"").await);
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    answers
}

#[test]
fn an_upstream_gets_no_more_calls_than_the_limit_that_it_names() {
    rig::run(async {
        let limited = upstream_that_says("upstream-limit: 5\r\n").await;
        let free = fake::Fake::start(fake::echo).await;
        let upstreams = [None, Some(limited.address), Some(free.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        let answers = call_steadily(&nodes[0], SPAN).await;
        let refused: Vec<_> = answers.iter().filter(|a| a.outcome() != "ran").collect();
        assert_eq!(refused.len(), 0, "there is room elsewhere, the first: {:?}", refused.first());
        // One and a half times what the limit allows in the span, and five calls.
        let most = 35;
        let got = limited.requests().len();
        assert!(got <= most, "{got} of {} calls, at most {most} allowed", answers.len());
    });
}

#[test]
fn where_all_upstreams_are_at_their_limits_a_call_is_refused_at_once() {
    rig::run(async {
        let first = upstream_that_says("upstream-limit: 1\r\n").await;
        let second = upstream_that_says("upstream-limit: 1\r\n").await;
        let upstreams = [None, Some(first.address), Some(second.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        call_steadily(&nodes[0], time::Duration::from_millis(500)).await;
        let runs = || first.requests().len() + second.requests().len();
        let before = runs();
        let began = time::Instant::now();
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "late"), b"").await;
        assert!(began.elapsed() < time::Duration::from_millis(200), "{:?}", began.elapsed());
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "limited");
        assert_eq!(runs(), before);
        let after: u64 = answer.header("retry-after").parse().unwrap();
        tokio::time::sleep(time::Duration::from_secs(after)).await;
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "again"), b"").await;
        assert_eq!(answer.outcome(), "ran");
    });
}

#[test]
fn a_node_that_starts_anew_keeps_its_upstream_within_the_limit() {
    rig::run(async {
        let limited = upstream_that_says("upstream-limit: 1\r\n").await;
        let mut nodes = rig::nodes(&[None, Some(limited.address)], &rig::Claims::default()).await;
        rig::name_upstream(&nodes[1], "i-1");
        call_steadily(&nodes[0], time::Duration::from_millis(200)).await;
        let before = limited.requests().len();
        let owner = nodes.pop().unwrap();
        nodes.push(rig::restart(owner, limited.address, "i-1", &rig::Claims::default()).await);
        rig::join(&nodes).await;
        // By then the entry node takes the limit for no longer used up.
        tokio::time::sleep(time::Duration::from_millis(1200)).await;
        // Calls also come before the upstream has announced itself to the new process.
        let upstream = nodes[1].local.send_replace(None);
        rig::call(&nodes[0], rig::request("GET", "/browse", "early"), b"").await;
        nodes[1].local.send_replace(upstream);
        rig::join(&nodes).await;
        let calls = (0..4).map(|n| {
            let request = rig::request("GET", "/browse", &format!("after-{n}"));
            rig::call(&nodes[0], request, b"")
        });
        let answers = futures_util::future::join_all(calls).await;
        let ran = answers.iter().filter(|answer| answer.outcome() == "ran").count();
        assert_eq!(limited.requests().len() - before, ran);
        assert!(ran <= 1, "{ran} of 4 calls at once, with a limit of one a second");
    });
}

/// Two upstreams of which one leaves: each runs a call for a while, so that both get calls.
async fn leaving_and_other() -> (fake::Fake, fake::Fake) {
    let run = |headers: &'static str| {
        move |request: &fake::Request| {
            let wait = vec![Step::Wait(time::Duration::from_millis(20))];
            [wait, answer_with(request, headers)].concat()
        }
    };
    (fake::Fake::start(run("upstream-leaving: 1\r\n")).await, fake::Fake::start(run("")).await)
}

/// Makes `count` calls at once and returns how many were not answered by an upstream.
async fn call_at_once(node: &rig::Node, count: usize, name: &str) -> usize {
    let calls = (0..count).map(|number| {
        rig::call(node, rig::request("GET", "/browse", &format!("{name}-{number}")), b"")
    });
    let answers = futures_util::future::join_all(calls).await;
    answers.iter().filter(|answer| answer.outcome() != "ran").count()
}

#[test]
fn no_call_reaches_an_upstream_that_has_said_that_it_leaves() {
    rig::run(async {
        let (leaving, other) = leaving_and_other().await;
        let upstreams = [None, Some(leaving.address), Some(other.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        assert_eq!(call_at_once(&nodes[0], 4, "first").await, 0, "calls that run end well");
        let before = leaving.requests().len();
        assert!(before > 0);
        for round in 0..20 {
            assert_eq!(call_at_once(&nodes[0], 4, &format!("round-{round}")).await, 0);
        }
        assert_eq!(leaving.requests().len(), before);
    });
}

/// Guards against hearing what an upstream says of itself only in answers of calls that ran.
#[test]
fn an_upstream_that_leaves_in_a_rejection_gets_no_new_call() {
    rig::run(async {
        let script = |request: &fake::Request| {
            let id = request.header("x-request-id");
            let head =
                "HTTP/1.1 503 Busy\r\ndandelionspool-upstream: shed\r\nupstream-leaving: 1\r\n";
            vec![Step::Write(
                format!("{head}x-request-id: {id}\r\ncontent-length: 0\r\n\r\n").into_bytes(),
            )]
        };
        let leaving = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[None, Some(leaving.address)], &rig::Claims::default()).await;
        for id in ["first", "second"] {
            let answer = rig::call(&nodes[0], rig::request("POST", "/orders", id), b"").await;
            assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        }
        assert_eq!(leaving.requests().len(), 1);
    });
}

#[test]
fn the_last_upstream_of_a_service_gets_no_call_once_it_leaves() {
    rig::run(async {
        let (leaving, _) = leaving_and_other().await;
        let nodes = rig::nodes(&[None, Some(leaving.address)], &rig::Claims::default()).await;
        assert_eq!(call_at_once(&nodes[0], 2, "first").await, 0);
        let before = leaving.requests().len();
        let answer = rig::call(&nodes[0], rig::request("GET", "/browse", "late"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(leaving.requests().len(), before);
    });
}

#[test]
fn a_node_that_starts_anew_sends_no_call_to_an_upstream_that_leaves() {
    rig::run(async {
        let (leaving, _) = leaving_and_other().await;
        let mut nodes = rig::nodes(&[None, Some(leaving.address)], &rig::Claims::default()).await;
        rig::name_upstream(&nodes[1], "i-1");
        assert_eq!(call_at_once(&nodes[0], 1, "first").await, 0);
        let owner = nodes.pop().unwrap();
        nodes.push(rig::restart(owner, leaving.address, "i-1", &rig::Claims::default()).await);
        rig::join(&nodes).await;
        assert_eq!(call_at_once(&nodes[0], 4, "after").await, 4);
        assert_eq!(leaving.requests().len(), 1);
        // Its successor under another name gets calls.
        rig::replace_upstream(&mut nodes[1], "i-2");
        rig::join(&nodes).await;
        assert_eq!(call_at_once(&nodes[0], 1, "next").await, 0);
    });
}
