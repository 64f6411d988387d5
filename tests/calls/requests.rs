//! Requests that are malformed, too large, late, or from unauthenticated peers.

use std::convert;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::fake;
use crate::fake::Step;
use crate::rig;

/// Sends `head` unchanged and returns what is received until the connection closes, or for 500 ms.
async fn raw(node: &rig::Node, head: &str) -> String {
    let mut stream = TcpStream::connect(node.id.call_addr()).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut text = Vec::new();
    let read = stream.read_to_end(&mut text);
    let _ = tokio::time::timeout(time::Duration::from_millis(500), read).await;
    String::from_utf8_lossy(&text).into_owned()
}

#[rstest]
#[case::no_host("GET /browse HTTP/1.1\r\n\r\n")]
#[case::two_hosts("GET /browse HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n")]
#[case::bad_host("GET /browse HTTP/1.1\r\nhost: a b\r\n\r\n")]
#[case::tunnel("CONNECT shop.test:80 HTTP/1.1\r\nhost: shop.test\r\n\r\n")]
#[case::two_lengths(
    "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd"
)]
#[case::bad_length("POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n")]
#[case::bad_deadline("GET /browse HTTP/1.1\r\nhost: a\r\ndandelionspool-deadline-ms: soon\r\n\r\n")]
#[case::two_keys(
    "POST /orders HTTP/1.1\r\nhost: a\r\nidempotency-key: 1\r\nidempotency-key: 2\r\n\r\n"
)]
#[case::no_protocol("GET /browse\r\n\r\n")]
fn a_malformed_request_reaches_no_upstream(#[case] head: &str) {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let answer = raw(&nodes[0], head).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_request_with_two_framings_is_refused_and_its_connection_closed() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let head = "POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 44\r\n\
                    transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let hidden = "POST /orders HTTP/1.1\r\nhost: a\r\nx-request-id: hidden\r\n\r\n";
        for entry in &nodes {
            let answer = raw(entry, &format!("{head}{hidden}")).await;
            assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
            assert!(answer.contains("connection: close"), "{answer}");
            assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
        }
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn heads_and_paths_are_limited_in_size() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let path = format!("/browse/{}", "x".repeat(9000));
        let answer = rig::call(&nodes[0], rig::request("GET", &path, "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (414, "not-run"));
        let long = "x".repeat(40_000);
        let answer = raw(&nodes[0], &format!("GET /browse HTTP/1.1\r\nhost: a\r\nx: {long}")).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_body_known_to_be_too_large_is_refused_before_anything_runs() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let body = [0; 1001];
        let answer = rig::call(&nodes[0], rig::request("POST", "/browse", "r1"), &body).await;
        assert_eq!((answer.status, answer.outcome()), (413, "not-run"));
        assert!(fake.requests().is_empty());
        let answer = rig::call(&nodes[0], rig::request("POST", "/browse", "r2"), &body[1..]).await;
        assert_eq!((answer.outcome(), fake.requests()[0].body), ("ran", 1000));
    });
}

#[test]
fn a_streamed_body_that_is_too_large_is_unknown_and_never_complete() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let pieces = (0..20).map(|_| {
                Ok::<_, convert::Infallible>(Frame::data(Bytes::from_static(&[0; 10_000])))
            });
            let body = StreamBody::new(futures_util::stream::iter(pieces));
            let request = rig::request("POST", "/orders", "r1").body(body).unwrap();
            let answer = rig::send(entry, request).await.unwrap();
            assert_eq!((answer.status, answer.outcome()), (413, "unknown"));
        }
        assert_eq!(fake.runs("r1"), 0);
    });
}

#[test]
fn a_body_that_the_caller_cuts_off_never_looks_complete() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let mut number = 0;
        for entry in &nodes {
            for framing in
                ["content-length: 1000000\r\n\r\n", "transfer-encoding: chunked\r\n\r\n30000\r\n"]
            {
                let mut stream = TcpStream::connect(entry.id.call_addr()).await.unwrap();
                let head =
                    format!("PUT /uploads HTTP/1.1\r\nhost: a\r\nx-request-id: r1\r\n{framing}");
                stream.write_all(head.as_bytes()).await.unwrap();
                stream.write_all(&[b'x'; 0x30000]).await.unwrap();
                number += 1;
                let came = || fake.requests().last().is_some_and(|s| s.body > 50_000);
                rig::until(|| fake.requests().len() == number && came()).await;
                drop(stream);
                tokio::time::sleep(time::Duration::from_millis(100)).await;
            }
        }
        assert_eq!((fake.requests().len(), fake.runs("r1")), (4, 0));
    });
}

#[test]
fn a_call_without_time_remaining_is_refused_before_it_runs() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let request =
            rig::request("POST", "/orders", "r1").header("dandelionspool-deadline-ms", "0");
        let answer = rig::call(&nodes[0], request, b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "too-late");
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_call_too_deep_in_the_mesh_is_refused() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let request = |depth: &str| {
            rig::request("GET", "/browse", "r1").header("dandelionspool-depth", depth)
        };
        let answer = rig::call(&nodes[0], request("8"), b"").await;
        assert_eq!(
            (answer.outcome(), fake.requests()[0].header("dandelionspool-depth")),
            ("ran", "9".into())
        );
        let answer = rig::call(&nodes[0], request("99"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (508, "not-run"));
    });
}

#[test]
fn hop_by_hop_headers_and_headers_of_the_mesh_are_removed() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        for entry in &nodes {
            let request = rig::request("GET", "/browse", "r1")
                .header("connection", "x-hop")
                .header("x-hop", "1")
                .header("te", "trailers")
                .header("dandelionspool-weight", "9")
                .header("dandelionspool-service", "other")
                .header("x-kept", "1");
            let answer = rig::call(entry, request, b"").await;
            assert_eq!(answer.outcome(), "ran");
        }
        for request in fake.requests() {
            let names = ["x-hop", "te", "dandelionspool-weight", "dandelionspool-service"];
            assert!(names.iter().all(|n| request.header(n).is_empty()), "{}", request.head);
            assert_eq!(request.header("x-kept"), "1");
        }
    });
}

#[test]
fn an_unauthenticated_peer_gets_no_answer_on_the_port_for_nodes() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let stream = TcpStream::connect(nodes[0].id.inner_addr()).await.unwrap();
        let (mut send, conn) =
            http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
        let conn = tokio::spawn(conn);
        let request = http::Request::builder()
            .method("POST")
            .uri("http://shop.test/orders")
            .header("dandelionspool-service", "shop")
            .header("dandelionspool-weight", "1")
            .header("dandelionspool-deadline-ms", "1000")
            .header("dandelionspool-tag", "0000000000000000")
            .body(Empty::<Bytes>::new().boxed())
            .unwrap();
        assert!(send.send_request(request).await.is_err());
        rig::until(|| conn.is_finished()).await;
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn a_node_with_another_key_is_rejected() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let claims = rig::Claims::default();
        let ours = rig::nodes(&[Some(fake.address)], &claims).await;
        let change = |mut settings: dandelionspool::configs::Node| {
            settings.key = "other".into();
            settings
        };
        let theirs = rig::nodes_with(&[None], 4, &claims, change).await;
        let nodes: Vec<rig::Node> = ours.into_iter().chain(theirs).collect();
        rig::join(&nodes).await;
        let answer = rig::call(&nodes[1], rig::request("POST", "/orders", "r1"), b"").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert_eq!(answer.header("dandelionspool-reason"), "unreachable");
        assert!(fake.requests().is_empty());
    });
}

#[test]
fn callers_may_keep_their_connection() {
    rig::run(async {
        let fake = fake::Fake::start(fake::echo).await;
        let nodes = rig::nodes(&[None, Some(fake.address)], &rig::Claims::default()).await;
        let one = "GET /browse HTTP/1.1\r\nhost: a\r\nx-request-id: r1\r\n\r\n";
        let two = "GET /browse HTTP/1.1\r\nhost: a\r\nx-request-id: r2\r\n\r\n";
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        for (request, answer) in [(one, "answer to r1"), (two, "answer to r2")] {
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut text = Vec::new();
            while !String::from_utf8_lossy(&text).contains(answer) {
                assert_ne!(stream.read_buf(&mut text).await.unwrap(), 0);
            }
        }
        // The calls are sequential, so the upstream's connection is reused, too.
        assert_eq!(fake.conns(), 1);
    });
}

#[test]
fn expect_continue_is_answered() {
    rig::run(async {
        let fake = fake::Fake::start(|_| vec![Step::Write(fake::answer("ok"))]).await;
        let nodes = rig::nodes(&[Some(fake.address)], &rig::Claims::default()).await;
        let head =
            "POST /orders HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
        let mut stream = TcpStream::connect(nodes[0].id.call_addr()).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut buffer = [0; 25];
        stream.read_exact(&mut buffer).await.unwrap();
        assert_eq!(&buffer, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(b"abc").await.unwrap();
        stream.read_exact(&mut buffer[..15]).await.unwrap();
        assert_eq!(&buffer[..15], b"HTTP/1.1 200 OK");
        assert!(fake.requests()[0].header("expect").is_empty());
    });
}
