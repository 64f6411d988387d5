//! Tests of what is taken from the answers of other nodes.

use std::future;
use std::net;
use std::sync;
use std::thread;
use std::time;

use http_body_util::Empty;
use hyper::server::conn::http2;
use hyper::service;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::task;

use super::Answer;
use crate::configs;
use crate::host;
use crate::proxy::call_spec;
use crate::proxy::headers;
use crate::proxy::links;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::run_times;
use crate::proxy::upload;
use crate::retry;
use crate::seal;

/// The answer of a node to an attempt of 20 ms that says that the call ran for `micros`.
fn answer(micros: Option<u64>) -> Answer {
    let ran = micros.map(|micros| call_spec::RunTime(time::Duration::from_micros(micros)));
    let refusal = refuse::Refusal::unsent(proof::Unsent::fresh(), retry::Reason::Full);
    let mut answer = Answer { ran, ..refusal.into() };
    answer.bound_ran(time::Duration::from_millis(20));
    answer
}

#[rstest]
#[case::none(None, None)]
#[case::shorter(Some(19_000), Some(19_000))]
#[case::longer(Some(21_000), Some(20_000))]
#[case::maximum(Some(u64::MAX), Some(20_000))]
fn a_run_takes_no_longer_than_its_attempt(#[case] sent: Option<u64>, #[case] taken: Option<u64>) {
    let ran = answer(sent).ran.map(|ran| ran.0);
    assert_eq!(ran, taken.map(time::Duration::from_micros));
}

/// Guards against one node whose run times make the mean of a kind so large that the attempts
/// which time out at other nodes show no delay, and urgent calls are late at every upstream.
#[test]
fn one_node_cannot_raise_the_mean_run_time_beyond_its_attempts() {
    let mut run_times = run_times::RunTimes::default();
    for micros in [10_000, u64::MAX] {
        let ran = answer(Some(micros)).ran.expect("a run time");
        run_times.record("order", ran.0);
    }
    let mean = run_times.mean("order").expect("a mean");
    assert!(mean < time::Duration::from_millis(11), "{mean:?}");
}

/// The answer of another node that refuses a call with `outcome` for `reason`.
fn refused(outcome: &str, reason: &str) -> Option<&'static str> {
    let answer = http::Response::builder()
        .header(headers::OUTCOME, outcome)
        .header(headers::REASON, reason)
        .body(());
    let answer = answer.expect("an answer");
    let refusal = super::refusal(&answer, answer.headers().get(headers::OUTCOME));
    refusal.expect("no answer of an upstream").by().map(proof::By::as_str)
}

/// Guards against log lines that blame a node for what its upstream said, or the other way round,
/// and against a "not run" of nobody.
#[rstest]
#[case::node(headers::NOT_RUN, "full", Some("node"))]
#[case::unknown_reason(headers::NOT_RUN, "a reason of a later build", Some("node"))]
#[case::upstream(headers::NOT_RUN, "upstream-shed", Some("upstream"))]
#[case::unknown(headers::UNKNOWN, "cut", None)]
fn a_refusal_of_another_node_tells_who_vouches_for_it(
    #[case] outcome: &str,
    #[case] reason: &str,
    #[case] by: Option<&str>,
) {
    assert_eq!(refused(outcome, reason), by);
}

/// A node on its own thread that answers each request and drops its connections at any time. Returns
/// its host, and the paths of the requests that have arrived.
fn closing_node() -> (host::HostId, sync::Arc<sync::Mutex<Vec<String>>>) {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let host = host::HostId::from_inner_addr(listener.local_addr().expect("an address"));
    let paths = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let arrived = sync::Arc::clone(&paths);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            listener.set_nonblocking(true).expect("a socket");
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            for number in 0.. {
                let (stream, _) = listener.accept().await.expect("a connection");
                let arrived = sync::Arc::clone(&arrived);
                let answer = service::service_fn(move |request: http::Request<_>| {
                    arrived.lock().expect("no panic").push(request.uri().path().to_owned());
                    let _: hyper::body::Incoming = request.into_body();
                    let answer = http::Response::builder().header(headers::OUTCOME, headers::RAN);
                    future::ready(answer.body(Empty::<&[u8]>::new()))
                });
                let builder = http2::Builder::new(links::LocalExecutor);
                let serve = builder.serve_connection(TokioIo::new(stream), answer);
                let life = time::Duration::from_micros(2000 + number % 16 * 150);
                task::spawn_local(tokio::time::timeout(life, serve));
            }
        });
    });
    (host, paths)
}

/// Guards against a second run of a call that the library returns as unsent although it has written
/// it: the connection to another node ends at any time around the call.
#[tokio::test]
async fn a_call_that_is_returned_as_unsent_has_not_arrived() {
    const CALLS: usize = 400;
    task::LocalSet::new()
        .run_until(async {
            let (host, paths) = closing_node();
            let me = host::HostId::new(net::SocketAddr::from(([127, 0, 0, 1], 7100)));
            let settings = sync::Arc::new(configs::Node::default());
            let links = links::Links::new(me, seal::Seal::new("mesh", "key"), settings);
            let mut returned = 0;
            let mut sent = vec![0; CALLS];
            for (call, sent) in sent.iter_mut().enumerate() {
                let uri = format!("http://{}/{call}", super::NO_HOST);
                let request = http::Request::builder().uri(uri);
                let request = request.body(upload::Upload::Buffered(None)).expect("a request");
                let mut request = Box::new(request);
                let mut unsent = proof::Unsent::fresh();
                loop {
                    // The greeting may fail, too: the connection ends at any time.
                    let Ok(mut link) = links.get_within(host, None).await else { continue };
                    for _ in 0..call % 4 {
                        task::yield_now().await;
                    }
                    thread::sleep(time::Duration::from_micros(call as u64 / 4 % 8 * 20));
                    match super::send(&mut link, *request, unsent).await {
                        Err(super::Failed::Unsent(same, token)) => {
                            (request, unsent) = (same, token);
                            returned += 1;
                        }
                        Ok(_) | Err(super::Failed::Lost(_)) => {
                            *sent += 1;
                            break;
                        }
                    }
                }
            }
            println!("{returned} of {CALLS} calls were returned");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            let paths = paths.lock().expect("no panic");
            let mut all = 0;
            for (call, sent) in sent.into_iter().enumerate() {
                let arrived = paths.iter().filter(|path| **path == format!("/{call}")).count();
                all += arrived;
                assert!(arrived <= sent, "call {call} arrived {arrived} times, sent {sent}");
            }
            assert!(all > 0, "none has arrived");
        })
        .await;
}
