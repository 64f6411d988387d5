//! Tests of the upstream stand-in over real sockets and of its pure parts.

use std::net;
use std::sync::{Arc, Mutex};
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use rstest::rstest;

use crate::clock;
use crate::proxy::headers;
use crate::standin::accept;
use crate::standin::http;
use crate::standin::upstream;
use crate::standin::upstream::answer;
use crate::standin::upstream::faults;
use crate::standin::upstream::state;

const TIMEOUT: time::Duration = time::Duration::from_secs(10);

fn options() -> upstream::Options {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    upstream::Options::new(address, "shop")
        .mean(time::Duration::from_millis(2))
        .grace(time::Duration::from_millis(50))
}

async fn start(options: upstream::Options) -> upstream::Handle {
    let server = upstream::Server::bind(options).await.unwrap();
    let handle = server.handle();
    tokio::spawn(server.serve(std::future::pending()));
    handle
}

fn post(path: &str, id: &str, body: &'static [u8]) -> ::http::Request<Full<Bytes>> {
    ::http::Request::post(path)
        .header(headers::REQUEST_ID, id)
        .header(headers::IDEMPOTENCY_KEY, "key-1")
        .body(Full::new(Bytes::from_static(body)))
        .unwrap()
}

#[rstest]
#[case::small("/buy", 256)]
#[case::empty("/buy?bytes=0", 0)]
#[case::many_parts("/buy?bytes=100000", 100_000)]
#[tokio::test]
async fn a_response_is_complete_and_its_run_is_recorded(#[case] path: &str, #[case] bytes: u64) {
    let handle = start(options()).await;
    let answer = http::send(handle.address(), post(path, "r-1", b"order"), TIMEOUT).await.unwrap();
    let head = answer::check(answer.body(), "r-1", b"order").unwrap();
    assert_eq!(head.bytes, bytes);
    let record = handle.record();
    let run = &record.runs["r-1"];
    assert_eq!((run.starts, run.ends, run.cancels), (1, 1, 0));
    assert_eq!(record.keys["key-1"], 1);
}

#[tokio::test]
async fn a_response_broken_off_is_an_error_of_the_client() {
    let handle = start(options()).await;
    handle.control(&faults::Change { cut: Some(1.0), ..Default::default() });
    let answer = http::send(handle.address(), post("/buy", "r-1", b""), TIMEOUT).await;
    assert!(matches!(answer, Err(http::Error::Exchange(..))), "{answer:?}");
    assert_eq!(handle.record().runs["r-1"].starts, 1);
}

#[tokio::test]
async fn a_shed_call_is_marked_by_a_header_and_not_recorded_as_run() {
    let handle = start(options().slots(0)).await;
    let answer = http::send(handle.address(), post("/buy", "r-1", b""), TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), ::http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()[upstream::HEADER], upstream::SHED);
    assert!(handle.record().runs.is_empty());
    assert_eq!(handle.record().sheds, 1);
}

#[tokio::test]
async fn a_caller_who_disconnects_frees_the_slot() {
    let handle = start(options().slots(1)).await;
    let slow = post("/buy?ms=60000", "r-1", b"");
    let abandoned = http::send(handle.address(), slow, time::Duration::from_millis(200)).await;
    assert!(matches!(abandoned, Err(http::Error::Timeout(_))));
    for _ in 0..500 {
        if handle.record().runs["r-1"].cancels == 1 {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert_eq!(handle.record().runs["r-1"].cancels, 1);
    let answer = http::send(handle.address(), post("/buy", "r-2", b""), TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), ::http::StatusCode::OK);
}

#[tokio::test]
async fn a_run_is_cancelled_at_its_deadline() {
    let handle = start(options()).await;
    let mut request = post("/buy?ms=60000", "r-1", b"");
    request.headers_mut().insert(headers::DEADLINE, ::http::HeaderValue::from_static("30"));
    let answer = http::send(handle.address(), request, TIMEOUT).await.unwrap();
    assert_eq!(answer.status(), ::http::StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(handle.record().runs["r-1"].cancels, 1);
}

#[tokio::test]
async fn control_responds_while_the_upstream_hangs() {
    let handle = start(options()).await;
    let body = serde_json::json!({ "dead": "hang", "slow_ms": 7 });
    let method = ::http::Method::POST;
    let control = handle.control_address();
    let changed = http::json(control, method, "/control", &body, TIMEOUT).await.unwrap();
    assert_eq!(changed.status(), ::http::StatusCode::OK);
    assert_eq!(handle.faults().dead, faults::Dead::Hang);
    let short = time::Duration::from_millis(100);
    let hung = http::send(handle.address(), post("/buy", "r-1", b""), short).await;
    assert!(matches!(hung, Err(http::Error::Timeout(_))));
    let runs = http::get(control, "/runs", TIMEOUT).await.unwrap();
    let record: upstream::record::Record = serde_json::from_slice(runs.body()).unwrap();
    assert!(record.runs.is_empty());
}

#[tokio::test]
async fn an_invalid_control_request_changes_nothing() {
    let handle = start(options()).await;
    let body = serde_json::json!({ "slow": 7 });
    let method = ::http::Method::POST;
    let answer = http::json(handle.control_address(), method, "/control", &body, TIMEOUT).await;
    assert_eq!(answer.unwrap().status(), ::http::StatusCode::BAD_REQUEST);
    assert_eq!(handle.faults(), faults::Faults::default());
}

#[rstest]
#[case::truncated(b"short" as &[u8], answer::Fault::Corrupt)]
#[case::wrong_hash(&[b'x'; 200], answer::Fault::Corrupt)]
fn a_corrupt_body_is_detected(#[case] body: &[u8], #[case] fault: answer::Fault) {
    assert_eq!(answer::check(body, "r-1", b""), Err(fault));
}

#[rstest]
#[case::serves(None, None, 0, false)]
#[case::in_grace(Some(100), None, 0, false)]
#[case::after_grace(Some(10), None, 0, true)]
#[case::full(None, None, 9, true)]
#[case::late(None, Some(0), 0, true)]
fn a_call_that_can_not_run_is_shed(
    #[case] drained: Option<u64>,
    #[case] remaining: Option<u64>,
    #[case] running: u32,
    #[case] shed: bool,
) {
    let drain = drained.map(clock::Instant::from_millis);
    let state = state::State { drain, running, ..Default::default() };
    let now = clock::Instant::from_millis(120);
    let remaining = remaining.map(time::Duration::from_millis);
    let verdict = state.decide(&options(), "/buy", &"r-1".into(), remaining, now);
    assert_eq!(verdict == state::Verdict::Shed, shed);
}

#[rstest]
#[case::at_start(0, 4.0)]
#[case::half_way(500, 2.5)]
#[case::warm(1000, 1.0)]
fn a_cold_upstream_is_slower(#[case] now: u64, #[case] factor: f64) {
    let cold = options().cold(time::Duration::from_secs(1));
    let now = clock::Instant::from_millis(now);
    let decide = |options: &upstream::Options| {
        state::State::default().decide(options, "/buy", &"r-1".into(), None, now)
    };
    let (state::Verdict::Run(cold), state::Verdict::Run(warm)) =
        (decide(&cold), decide(&options()))
    else {
        panic!("not run");
    };
    assert!((cold.as_secs_f64() / warm.as_secs_f64() - factor).abs() < 0.001);
}

/// Bytes that `handle` sends on one connection for the requests `ids`, each sent once the answer to
/// the one before has come.
async fn converse(handle: &upstream::Handle, ids: &[&str]) -> String {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    const PAUSE: time::Duration = time::Duration::from_millis(100);
    let mut stream = tokio::net::TcpStream::connect(handle.address()).await.unwrap();
    let mut received = Vec::new();
    for id in ids {
        let head = format!("POST /buy?bytes=0 HTTP/1.1\r\n{}: {id}\r\n", headers::REQUEST_ID);
        let request = format!("{head}content-length: 20000\r\n\r\n{}", "x".repeat(20_000));
        stream.write_all(request.as_bytes()).await.unwrap();
        while let Ok(read) = tokio::time::timeout(PAUSE, stream.read_buf(&mut received)).await {
            assert_ne!(read.unwrap(), 0, "the upstream closed the connection");
        }
    }
    String::from_utf8(received).unwrap()
}

/// Ids that the answers in `received` echo, in order.
fn echoes(received: &str) -> Vec<&str> {
    let lines = received.lines().filter_map(|line| line.split_once(": "));
    lines.filter(|(name, _)| *name == headers::REQUEST_ID).map(|(_, id)| id).collect()
}

/// A copy of a rejection is only found to belong to another request if each answer echoes its id.
#[rstest]
#[case::rejections(upstream::repeat::Of::Rejections, 1.0, &["a", "a", "b", "b", "c"], 2)]
#[case::successes(upstream::repeat::Of::Successes, 0.0, &["a", "a", "b", "b", "c"], 2)]
#[case::other_answers(upstream::repeat::Of::Successes, 1.0, &["a", "b", "c"], 0)]
#[tokio::test]
async fn a_late_copy_comes_before_the_answer_to_the_next_request(
    #[case] of: upstream::repeat::Of,
    #[case] reject: f64,
    #[case] expected: &[&str],
    #[case] copies: u64,
) {
    let handle = start(options()).await;
    let (reject, repeat, repeat_of) = (Some(reject), Some(1.0), Some(of));
    handle.control(&faults::Change { reject, repeat, repeat_of, ..Default::default() });
    let received = converse(&handle, &["a", "b", "c"]).await;
    assert_eq!(echoes(&received), expected);
    let record = handle.record();
    assert_eq!(record.repeats, copies);
    assert_eq!(record.starts, if reject == Some(1.0) { 0 } else { 3 });
}

/// With a rejection that depends on the id alone, a call that comes again would never run.
#[test]
fn a_call_that_comes_again_is_rejected_anew() {
    let faults = faults::Faults { reject: 0.5, ..Default::default() };
    let decide = |arrivals| {
        let state = state::State { faults, arrivals, ..Default::default() };
        let now = clock::Instant::from_millis(0);
        state.decide(&options(), "/buy", &"r-1".into(), None, now) == state::Verdict::Shed
    };
    let shed = (0..1000).filter(|arrivals| decide(*arrivals)).count();
    assert!((400..600).contains(&shed), "{shed} of 1000");
}

/// An admin port that accepts everything. Returns its address and the requests that it gets, each as
/// its method and body.
async fn admin() -> (net::SocketAddr, Arc<Mutex<Vec<(::http::Method, serde_json::Value)>>>) {
    use http_body_util::BodyExt as _;
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&requests);
    let answer = move |request: ::http::Request<hyper::body::Incoming>| {
        let log = Arc::clone(&log);
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.unwrap().to_bytes();
            log.lock().unwrap().push((parts.method, serde_json::from_slice(&body).unwrap()));
            Ok(::http::Response::new(Full::new(Bytes::new())))
        }
    };
    let (stop, closing) = tokio::sync::watch::channel(false);
    tokio::spawn(async move {
        accept::serve(listener, closing, || Some(()), answer).await;
        drop(stop);
    });
    (address, requests)
}

/// A late heartbeat has to look like those from before the withdrawal, and no other one may follow.
#[tokio::test]
async fn an_upstream_that_has_withdrawn_announces_itself_only_late() {
    let (admin, requests) = admin().await;
    let handle = start(options().admin(admin)).await;
    let control = async |change: serde_json::Value| {
        let method = ::http::Method::POST;
        let to = handle.control_address();
        let answer = http::json(to, method, "/control", &change, TIMEOUT).await.unwrap();
        assert_eq!(answer.status(), ::http::StatusCode::OK);
    };
    control(serde_json::json!({ "late_heartbeat": true })).await;
    while requests.lock().unwrap().is_empty() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    assert_eq!(handle.record().withdrawn_unix_ms, None);
    control(serde_json::json!({ "withdraw": true })).await;
    assert!(handle.record().withdrawn_unix_ms.is_some());
    control(serde_json::json!({ "late_heartbeat": true })).await;
    // Longer than the pause between two heartbeats.
    tokio::time::sleep(time::Duration::from_millis(2200)).await;
    let requests = requests.lock().unwrap();
    let methods: Vec<_> = requests.iter().map(|(method, _)| method.as_str()).collect();
    assert_eq!(methods, ["PUT", "DELETE", "PUT"]);
    assert_eq!(requests[0].1, requests[2].1);
    assert_eq!(requests[0].1["born"], requests[1].1["born"]);
}
