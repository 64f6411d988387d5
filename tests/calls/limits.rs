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
fn no_call_reaches_an_upstream_that_has_said_that_it_leaves() {
    rig::run(async {
        let leaving = upstream_that_says("upstream-leaving: 1\r\n").await;
        let free = fake::Fake::start(fake::echo).await;
        let upstreams = [None, Some(leaving.address), Some(free.address)];
        let nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        let answers = call_steadily(&nodes[0], time::Duration::from_secs(1)).await;
        let refused = answers.iter().find(|a| a.outcome() != "ran");
        assert!(refused.is_none(), "the other upstream serves: {refused:?}");
        let got = leaving.requests().len();
        assert_eq!(got, 1, "of {} calls only the first could reach it", answers.len());
    });
}
