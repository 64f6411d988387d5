//! Calls through a node whose thread is occupied: which ones are refused early, and how.

#![allow(dead_code)]

#[path = "calls/fake.rs"]
mod fake;
#[path = "calls/rig.rs"]
mod rig;

use std::time;

use dandelionspool::configs;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task;

/// Time for which the thread is occupied between two looks at its sockets.
const OCCUPIED: time::Duration = time::Duration::from_millis(15);

/// Threshold of the standing delay.
const DELAY_MS: u64 = 5;

/// Time after which the share of admitted calls has reached its minimum.
const SETTLE: time::Duration = time::Duration::from_millis(1500);

/// The id of the request that keeps a call in flight.
const SLOW_ID: &str = "slow-call-0";

/// Run time at the upstream of that request.
const SLOW: time::Duration = time::Duration::from_secs(8);

/// Number of requests of which at least half are refused.
const REQUESTS: usize = 24;

fn script(request: &fake::Request) -> Vec<fake::Step> {
    let mut steps = fake::echo(request);
    if request.header("x-request-id") == SLOW_ID {
        steps.insert(0, fake::Step::Wait(SLOW));
    }
    steps
}

/// Nodes, the first of which has an upstream, on a thread that is occupied.
struct Occupied {
    fake: fake::Fake,
    nodes: Vec<rig::Node>,
    /// Keeps the thread occupied until the end of the test.
    _work: task::JoinHandle<()>,
    /// Keeps a call in flight.
    _call: TcpStream,
}

async fn occupied(delay_ms: u64, upstreams: usize) -> Occupied {
    let fake = fake::Fake::start(script).await;
    let mut addresses = vec![None; upstreams.max(1)];
    addresses[0] = Some(fake.address);
    let change =
        |settings| configs::Node { overload: configs::overload::Overload { delay_ms }, ..settings };
    let nodes = rig::nodes_with(&addresses, 4, &rig::Claims::default(), change).await;
    let mut call = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
    call.write_all(get(SLOW_ID, "").as_bytes()).await.unwrap();
    let work = task::spawn_local(async {
        loop {
            std::thread::sleep(OCCUPIED);
            task::yield_now().await;
        }
    });
    tokio::time::sleep(SETTLE).await;
    Occupied { fake, nodes, _work: work, _call: call }
}

fn get(id: &str, more: &str) -> String {
    format!("GET /browse HTTP/1.1\r\nhost: shop.test\r\nx-request-id: {id}\r\n{more}\r\n")
}

/// A connection of a caller.
struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    async fn connect(node: &rig::Node) -> Self {
        let stream = TcpStream::connect(node.id.call_addr()).await.unwrap();
        Self { stream, received: Vec::new() }
    }

    /// Sends `request` and returns the head and the body of the answer; empty if the connection
    /// ends without one.
    async fn call(&mut self, request: &str) -> String {
        self.stream.write_all(request.as_bytes()).await.unwrap();
        self.answer().await
    }

    async fn answer(&mut self) -> String {
        loop {
            if let Some(length) = length(&String::from_utf8_lossy(&self.received)) {
                let rest = self.received.split_off(length);
                let answer = std::mem::replace(&mut self.received, rest);
                return String::from_utf8(answer).unwrap();
            }
            let read = self.stream.read_buf(&mut self.received);
            let read = tokio::time::timeout(rig::WAIT_TIMEOUT, read).await.expect("an answer");
            if read.unwrap_or(0) == 0 {
                return String::new();
            }
        }
    }
}

/// Length of the first answer in `text`, if it is complete.
fn length(text: &str) -> Option<usize> {
    let head = text.find("\r\n\r\n")? + 4;
    let body = text[..head].to_lowercase();
    let body = body.split_once("content-length: ").and_then(|(_, rest)| rest.split_once('\r'));
    let length = head + body.map_or(0, |(length, _)| length.parse().unwrap());
    (text.len() >= length).then_some(length)
}

fn is_refused(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503 ")
        && answer.to_lowercase().contains("dandelionspool-reason: overloaded\r\n")
}

/// Guards against calls that wait in an occupied node until their callers have given up, against
/// refusals without the headers of a refusal, and against a connection that ends with one.
#[rstest]
fn an_overloaded_node_refuses_calls_on_their_connection() {
    rig::run(async {
        let Occupied { fake, nodes, .. } = &occupied(DELAY_MS, 1).await;
        let mut caller = Caller::connect(&nodes[0]).await;
        let mut refused = Vec::new();
        for number in 0..REQUESTS {
            let id = format!("call-{number}");
            let answer = caller.call(&get(&id, "")).await;
            assert!(answer.contains(&format!("x-request-id: {id}\r\n")), "{answer}");
            if is_refused(&answer) {
                refused.push((id, answer));
            }
        }
        assert!(refused.len() > REQUESTS / 2, "{} refused", refused.len());
        for (id, answer) in &refused {
            assert!(answer.contains("dandelionspool-outcome: not-run\r\n"), "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
            assert!(!answer.contains("connection: close"), "{answer}");
            assert!(answer.ends_with("\r\n\r\noverloaded"), "{answer}");
            let ran = fake.requests().iter().any(|r| r.header("x-request-id") == *id);
            assert!(!ran, "{id} reached the upstream");
        }
    });
}

/// Guards against a switch that is off and refuses calls all the same.
#[rstest]
fn nothing_is_refused_while_the_switch_is_off() {
    rig::run(async {
        let Occupied { nodes, .. } = &occupied(0, 1).await;
        let mut caller = Caller::connect(&nodes[0]).await;
        for number in 0..10 {
            let answer = caller.call(&get(&format!("call-{number}"), "")).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
    });
}

/// Guards against the loss of a running call because the node beside its upstream refuses a nested
/// one, and against refusals that hide the reason why a request can't be served at all.
#[rstest]
fn nested_calls_and_requests_without_a_route_are_not_refused_early() {
    rig::run(async {
        let Occupied { nodes, .. } = &occupied(DELAY_MS, 1).await;
        let mut caller = Caller::connect(&nodes[0]).await;
        for number in 0..REQUESTS / 2 {
            let answer = caller.call(&get(&format!("{SLOW_ID}-{number}"), "")).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        }
        for number in 0..REQUESTS / 2 {
            let unknown = get(&format!("call-{number}"), "").replace("/browse", "/nowhere");
            let answer = caller.call(&unknown).await;
            assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
        }
    });
}

/// Guards against a connection that goes on to read a body that nobody needs, against one that ends
/// although the body is there, and against a body that is taken for the next request.
#[rstest]
#[case::body_not_there("content-length: 9\r\n", "", true)]
#[case::part_of_the_body("content-length: 9\r\n", "GET /", true)]
#[case::whole_body("content-length: 9\r\n", "GET / HTT", false)]
#[case::chunks("transfer-encoding: chunked\r\n", "5\r\nGET /\r\n0\r\n\r\n", true)]
#[case::caller_closes("connection: close\r\n", "", true)]
fn a_refusal_ends_the_connection_if_a_body_is_yet_to_arrive(
    #[case] field: &str,
    #[case] body: &str,
    #[case] closes: bool,
) {
    rig::run(async {
        let Occupied { nodes, .. } = &occupied(DELAY_MS, 1).await;
        let mut refused = 0;
        for number in 0..REQUESTS {
            let mut caller = Caller::connect(&nodes[0]).await;
            let request = get(&format!("call-{number}"), field) + body;
            let answer = caller.call(&request).await;
            if !is_refused(&answer) {
                continue;
            }
            refused += 1;
            assert_eq!(answer.contains("connection: close\r\n"), closes, "{answer}");
            if refused == 3 {
                let next = caller.stream.write_all(get("next", "").as_bytes()).await;
                let answer = if next.is_ok() { caller.answer().await } else { String::new() };
                assert_eq!(answer.contains("x-request-id: next\r\n"), !closes, "{answer}");
                return;
            }
        }
        panic!("only {refused} refused");
    });
}

/// Guards against answers that overtake each other: refusals wait for the answers to the requests
/// before them.
#[rstest]
fn refusals_keep_the_order_of_pipelined_requests() {
    rig::run(async {
        let Occupied { nodes, .. } = &occupied(DELAY_MS, 1).await;
        let mut caller = Caller::connect(&nodes[0]).await;
        let requests: String = (0..REQUESTS).map(|n| get(&format!("call-{n}"), "")).collect();
        caller.stream.write_all(requests.as_bytes()).await.unwrap();
        let mut refused = 0;
        for number in 0..REQUESTS {
            let answer = caller.answer().await;
            assert!(answer.contains(&format!("x-request-id: call-{number}\r\n")), "{answer}");
            refused += usize::from(is_refused(&answer));
        }
        assert!(refused > REQUESTS / 2, "{refused} refused");
        assert!(refused < REQUESTS, "no call was admitted");
    });
}

/// Guards against an owner node that takes the time budget of a call for unspent although the call
/// has waited in the node, and against nodes that refuse calls of others.
#[rstest]
fn the_time_budget_of_another_nodes_call_is_reduced_by_the_delay() {
    let remaining = |delay_ms| {
        let least = std::cell::Cell::new(u64::MAX);
        rig::run(async {
            let Occupied { fake, nodes, .. } = &occupied(delay_ms, 2).await;
            let mut caller = Caller::connect(&nodes[1]).await;
            let request = get("timed-call", "dandelionspool-deadline-ms: 6000\r\n");
            let mut answer = caller.call(&request).await;
            while is_refused(&answer) {
                answer = caller.call(&request).await;
            }
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
            let requests = fake.requests();
            let timed = requests.iter().find(|r| r.header("x-request-id") == "timed-call");
            least.set(timed.unwrap().header("dandelionspool-deadline-ms").parse().unwrap());
        });
        least.get()
    };
    let (with, without) = (remaining(DELAY_MS), remaining(0));
    assert!(with + 20 <= without, "{with} ms are left with the part, {without} ms without");
}
