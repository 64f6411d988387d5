//! Pipelining: a caller sends requests before it has received the answers to earlier ones.

use std::time;

use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// Run time at the upstream of a request whose id starts with `slow`.
const SLOW: time::Duration = time::Duration::from_millis(300);

fn get(id: &str, more: &str) -> String {
    format!("GET /browse HTTP/1.1\r\nhost: shop.test\r\nx-request-id: {id}\r\n{more}\r\n")
}

/// Answers at once, or after [`SLOW`] if the request's id starts with `slow`.
fn script(request: &fake::Request) -> Vec<Step> {
    let mut steps = fake::echo(request);
    if request.header("x-request-id").starts_with("slow") {
        steps.insert(0, Step::Wait(SLOW));
    }
    steps
}

async fn started() -> (fake::Fake, Vec<rig::Node>) {
    let fake = fake::Fake::start(script).await;
    let nodes = rig::nodes(&[Some(fake.address), None], &rig::Claims::default()).await;
    (fake, nodes)
}

/// Sends `bytes` on a new connection and reads until `end` was received.
async fn send(node: &rig::Node, bytes: &str, end: &str) -> String {
    let mut stream = TcpStream::connect(node.id.call_addr()).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    read(&mut stream, end).await
}

async fn read(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let limit = tokio::time::Instant::now() + rig::WAIT_TIMEOUT;
    while !String::from_utf8_lossy(&text).contains(end) {
        let more = tokio::time::timeout_at(limit, stream.read_buf(&mut text)).await;
        if more.expect("answers in time").unwrap_or(0) == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// The ids of the answers in `text`, in order.
fn ids(text: &str) -> Vec<&str> {
    let lines = text.lines().filter_map(|l| l.split_once(": "));
    lines.filter(|(name, _)| *name == "x-request-id").map(|(_, id)| id).collect()
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    rig::run(async {
        let (_fake, nodes) = started().await;
        let wanted = ["slow-1", "slow-2", "quick", "slow-3"];
        for node in &nodes {
            let requests: String = wanted.iter().map(|id| get(id, "")).collect();
            let start = time::Instant::now();
            let text = send(node, &requests, "answer to slow-3").await;
            assert_eq!(ids(&text), wanted, "{text}");
            assert!(
                start.elapsed() < SLOW * 2,
                "the requests ran sequentially: {:?}",
                start.elapsed()
            );
        }
    });
}

#[test]
fn a_request_after_one_that_closes_the_connection_is_ignored() {
    rig::run(async {
        let (fake, nodes) = started().await;
        let requests = [get("one", ""), get("slow-last", "connection: close\r\n"), get("no", "")];
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        stream.write_all(requests.concat().as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert_eq!(ids(&text), ["one", "slow-last"], "{text}");
        assert_eq!(fake.runs("no"), 0);
    });
}

/// Guards against running a request behind one that the HTTP library refuses: the answer to that one
/// closes the connection, so that callers may send what was behind it again.
#[rstest]
#[case::no_authority("GET http:// HTTP/1.1\r\nhost: shop.test\r\n\r\n".to_owned(), " 400 ")]
#[case::long_path(format!("GET /{} HTTP/1.1\r\nhost: shop.test\r\n\r\n", "a".repeat(70_000)), " 414 ")]
fn a_request_behind_a_refused_one_is_not_taken(#[case] refused: String, #[case] status: &str) {
    rig::run(async {
        let fake = fake::Fake::start(script).await;
        let large = |mut settings: dandelionspool::configs::Node| {
            settings.proxy.head_bytes = 100_000;
            settings
        };
        let upstreams = [Some(fake.address), None];
        let nodes = rig::nodes_with(&upstreams, 4, &rig::Claims::default(), large).await;
        let order = "POST /orders HTTP/1.1\r\nhost: shop.test\r\nx-request-id: order\r\n\r\n";
        for before in [String::new(), get("slow-first", "")] {
            let requests = [&*before, &*refused, order].concat();
            let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
            stream.write_all(requests.as_bytes()).await.unwrap();
            let text = read(&mut stream, "connection: close").await;
            assert!(text.contains(status), "{text}");
            assert_eq!(ids(&text).len(), usize::from(!before.is_empty()), "{text}");
            tokio::time::sleep(SLOW).await;
            assert_eq!(fake.runs("order"), 0);
        }
    });
}

/// Guards against dropping a running call, without an answer, as the head behind it takes too long.
#[test]
fn a_call_is_answered_though_the_next_head_does_not_end() {
    rig::run(async {
        let fake = fake::Fake::start(script).await;
        let impatient = |mut settings: dandelionspool::configs::Node| {
            settings.proxy.head_ms = 100;
            settings
        };
        let upstreams = [Some(fake.address), None];
        let nodes = rig::nodes_with(&upstreams, 4, &rig::Claims::default(), impatient).await;
        let requests = [&*get("slow", ""), "POST /ord"].concat();
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        stream.write_all(requests.as_bytes()).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert!(text.ends_with("answer to slow"), "{text}");
    });
}

#[test]
fn a_broken_answer_ends_the_connection_and_does_not_look_complete() {
    rig::run(async {
        let cut = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "cut" => {
                let head = "HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n";
                vec![Step::Write([head, &"a".repeat(100_000)].concat().into()), Step::Close]
            }
            _ => script(request),
        };
        let fake = fake::Fake::start(cut).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let text =
            send(&nodes[0], &[get("cut", ""), get("behind", "")].concat(), "answer to behind")
                .await;
        assert!(text.len() < 200_000, "{}", text.len());
        assert!(!text.contains("behind"));
    });
}

#[test]
fn the_requests_of_a_caller_that_disconnects_are_cancelled() {
    rig::run(async {
        let await_close = |request: &fake::Request| match request.header("x-request-id").as_str() {
            "left-1" | "left-2" => vec![Step::AwaitClose],
            _ => script(request),
        };
        let fake = fake::Fake::start(await_close).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        let requests = [get("left-1", ""), get("left-2", "")].concat();
        stream.write_all(requests.as_bytes()).await.unwrap();
        rig::until(|| fake.requests().len() == 2).await;
        drop(stream);
        rig::until(|| fake.requests().iter().all(|request| request.closed)).await;
    });
}

#[test]
fn a_refused_upload_is_answered_before_its_body_has_arrived() {
    rig::run(async {
        let fake = fake::Fake::start(script).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        let head = "POST /nowhere HTTP/1.1\r\nhost: shop.test\r\ncontent-length: 500000\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let text = read(&mut stream, "no-route").await;
        assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
        stream.write_all(&vec![b'a'; 500_000]).await.unwrap();
        stream.write_all(get("next", "").as_bytes()).await.unwrap();
        let text = read(&mut stream, "answer to next").await;
        assert!(ids(&text).contains(&"next"), "the connection stays usable: {text}");
    });
}
