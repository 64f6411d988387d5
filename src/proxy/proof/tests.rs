//! Tests of what may be said of a call, and on which proof.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::Ipv4Addr;
use std::path;
use std::rc::Rc;
use std::sync;
use std::thread;
use std::time;

use proptest::prelude::*;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::net;
use tokio::task;

use crate::proxy::pool;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::upload;
use crate::retry;

fn not_run(reason: retry::Reason) -> refuse::Refusal {
    refuse::Refusal::unsent(proof::Unsent::fresh(), reason)
}

fn refusal(outcome: retry::Outcome) -> refuse::Refusal {
    match outcome {
        retry::Outcome::NotRun(reason) => not_run(reason),
        retry::Outcome::Unknown(reason) => refuse::Refusal::unknown(reason),
        retry::Outcome::Ran => panic!("a call that ran is not refused"),
    }
}

fn any_outcome() -> impl Strategy<Value = retry::Outcome> {
    let reason = prop::sample::select(retry::Reason::ALL.to_vec());
    (0..3, reason).prop_map(|(kind, reason)| match kind {
        0 => retry::Outcome::Ran,
        1 => retry::Outcome::NotRun(reason),
        _ => retry::Outcome::Unknown(reason),
    })
}

/// Ends of attempts, none of which was answered.
fn any_failures() -> impl Strategy<Value = Vec<retry::Outcome>> {
    let failure = any_outcome().prop_filter("answered", |o| *o != retry::Outcome::Ran);
    prop::collection::vec(failure, 1..6)
}

/// Guards against a cost on each call: the tokens take no space and need no drop.
#[test]
fn the_tokens_take_no_space() {
    assert_eq!(size_of::<proof::Unsent>(), 0);
    assert!(!std::mem::needs_drop::<proof::Unsent>());
    assert!(!std::mem::needs_drop::<refuse::Refusal>());
}

/// Guards against a check that loses the token of a request that goes on, or a refusal that names
/// another one as its witness.
#[test]
fn a_check_returns_the_token_or_the_refusal() {
    let passed = proof::Unsent::fresh().check(Ok::<_, refuse::Cause>(7));
    let (value, unsent) = passed.expect("no refusal");
    assert_eq!(value, 7);
    let cause = refuse::Cause::new(retry::Reason::TooLarge).status(http::StatusCode::URI_TOO_LONG);
    let refusal = unsent.check(Err::<(), _>(cause)).expect_err("a refusal");
    assert_eq!(refusal.outcome(), retry::Outcome::NotRun(retry::Reason::TooLarge));
    assert_eq!(refusal.status(), http::StatusCode::URI_TOO_LONG);
    assert_eq!(refusal.by(), Some(proof::By::Here));
}

proptest! {
    /// Guards against a refusal that may have run and becomes one that has not, by whatever an
    /// attempt's state machine or the body of the request says later.
    #[test]
    fn a_refusal_is_only_weakened(
        first in any_failures(),
        later in prop::collection::vec(any_outcome(), 0..6),
    ) {
        let mut refusal = refusal(first[0]);
        for outcome in later {
            let (before, was_not_run) = (refusal.outcome(), refusal.is_not_run());
            refusal = refusal.weakened_to(outcome);
            prop_assert!(was_not_run || !refusal.is_not_run());
            match outcome {
                retry::Outcome::Unknown(_) => prop_assert_eq!(refusal.outcome(), outcome),
                _ => prop_assert_eq!(refusal.outcome(), before),
            }
            prop_assert_eq!(refusal.by().is_some(), refusal.is_not_run());
        }
    }

    /// Guards against the "not run" of the last attempt for a call of which an earlier attempt may
    /// have run: its caller would send it again.
    #[test]
    fn a_call_is_not_run_only_if_no_attempt_may_have_run_it(ends in any_failures()) {
        let (mut attempts, _) = proof::Attempts::new(proof::Unsent::fresh());
        let (last, earlier) = ends.split_last().expect("an attempt");
        for outcome in earlier {
            attempts.again(refusal(*outcome));
        }
        let call = attempts.end(refusal(*last), None);
        let unknown = ends.iter().find(|end| matches!(end, retry::Outcome::Unknown(_)));
        prop_assert_eq!(call.outcome(), *unknown.unwrap_or(last));
    }
}

/// Guards against a call that is told the refusal of an attempt without a host, though its last
/// attempt may have run, and against a reason that says less.
#[rstest]
#[case::unknown(retry::Outcome::Unknown(retry::Reason::Cut))]
#[case::not_run(retry::Outcome::NotRun(retry::Reason::Full))]
fn an_attempt_without_a_host_repeats_the_last_refusal(#[case] last: retry::Outcome) {
    let (mut attempts, _) = proof::Attempts::new(proof::Unsent::fresh());
    let no_upstream = retry::Outcome::NotRun(retry::Reason::NoUpstream);
    assert_eq!(attempts.last_or(refusal(no_upstream)).outcome(), no_upstream);
    attempts.again(refusal(last));
    let repeated = attempts.last_or(refusal(no_upstream));
    assert_eq!(repeated.outcome(), last);
    assert_eq!(attempts.end(repeated, None).outcome(), last);
}

/// Guards against the status of a proven refusal on one that was weakened.
#[test]
fn a_weakened_refusal_has_the_status_of_its_new_outcome() {
    let refusal = not_run(retry::Reason::Full);
    assert_eq!(refusal.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal.weakened(retry::Reason::Cut).status(), http::StatusCode::BAD_GATEWAY);
}

/// Guards against a refusal as "not run" of a request that was written to its connection, and against
/// a request that is lost although nothing of it was sent.
#[tokio::test]
async fn sending_gives_the_token_back_only_with_an_unsent_request() {
    task::LocalSet::new()
        .run_until(async {
            let listener = net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let pool = Rc::new(pool::Pool::new(time::Duration::from_secs(10)));
            let request = || {
                let request = http::Request::builder().uri("/").header("host", "a");
                request.body(upload::Upload::Buffered(None)).expect("a request")
            };

            // Closed before the request was sent.
            let mut lease = pool.acquire(address, None).await.expect("a connection");
            drop(listener.accept().await.expect("a connection"));
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            let closed = lease.send(request(), proof::Unsent::fresh()).await;
            let Err(pool::Failed::Unsent(returned, unsent)) = closed else {
                panic!("nothing was sent: {closed:?}");
            };

            // Released before.
            lease.release();
            let released = lease.send(*returned, unsent).await;
            let Err(pool::Failed::Unsent(returned, unsent)) = released else {
                panic!("nothing was sent: {released:?}");
            };

            // Closed once the request has arrived: the token is gone.
            let mut lease = pool.acquire(address, None).await.expect("a connection");
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let close = async {
                let read = stream.read(&mut [0; 16]).await.expect("a part of the request");
                drop(stream);
                read
            };
            let (lost, read) = tokio::join!(lease.send(*returned, unsent), close);
            assert!(read > 0 && matches!(lost, Err(pool::Failed::Lost(_))), "{lost:?}");
        })
        .await;
}

/// An upstream on its own thread that answers each request and closes its connection some time after
/// each answer. Returns its address, and the paths of the requests that it has read.
fn closing_upstream() -> (std::net::SocketAddr, sync::Arc<sync::Mutex<Vec<String>>>) {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let paths = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let read = sync::Arc::clone(&paths);
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming()) {
            let read = sync::Arc::clone(&read);
            thread::spawn(move || {
                let mut stream = stream.expect("a connection");
                let mut buffer = [0; 1024];
                let count = stream.read(&mut buffer).unwrap_or(0);
                let path = |bytes: &[u8]| {
                    let text = String::from_utf8_lossy(bytes).into_owned();
                    text.split(' ').nth(1).map(str::to_owned)
                };
                read.lock().expect("no panic").extend(path(&buffer[..count]));
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
                thread::sleep(time::Duration::from_micros(number % 8 * 40));
                // What arrives until the connection is closed may run, too.
                stream.set_nonblocking(true).expect("a socket");
                let count = stream.read(&mut buffer).unwrap_or(0);
                read.lock().expect("no panic").extend(path(&buffer[..count]));
            });
        }
    });
    (address, paths)
}

/// Guards against a second run of a request that the library returns as unsent although it has
/// written it: connections close at any time around the next request.
#[tokio::test]
async fn a_request_that_is_returned_as_unsent_has_not_arrived() {
    const CALLS: usize = 400;
    task::LocalSet::new()
        .run_until(async {
            let (address, paths) = closing_upstream();
            let pool = Rc::new(pool::Pool::new(time::Duration::from_secs(10)));
            let mut sent = vec![0; CALLS];
            let mut returned = 0;
            for (call, sent) in sent.iter_mut().enumerate() {
                let mut request = Box::new(
                    http::Request::builder()
                        .uri(format!("/{call}"))
                        .header("host", "a")
                        .body(upload::Upload::Buffered(None))
                        .expect("a request"),
                );
                let mut unsent = proof::Unsent::fresh();
                loop {
                    let mut lease = pool.acquire(address, None).await.expect("a connection");
                    for _ in 0..call % 4 {
                        task::yield_now().await;
                    }
                    thread::sleep(time::Duration::from_micros(call as u64 / 4 % 8 * 20));
                    match lease.send(*request, unsent).await {
                        Err(pool::Failed::Unsent(same, token)) => {
                            (request, unsent) = (same, token);
                            returned += 1;
                        }
                        answer => {
                            *sent += 1;
                            if answer.is_ok() {
                                lease.release();
                            }
                            break;
                        }
                    }
                }
            }
            println!("{returned} of {CALLS} requests were returned");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            let paths = paths.lock().expect("no panic");
            let mut all = 0;
            for (call, sent) in sent.into_iter().enumerate() {
                let arrived = paths.iter().filter(|path| **path == format!("/{call}")).count();
                all += arrived;
                assert!(arrived <= sent, "call {call} arrived {arrived} times, sent {sent}");
            }
            assert!(all > CALLS / 4, "{all} have arrived");
        })
        .await;
}

/// Guards against a status that promises "not run" to callers who see nothing else, on a call that
/// may have run.
#[test]
fn a_call_that_may_have_run_has_no_status_of_one_that_was_not_run() {
    let promises = [408, 421, 429, 503];
    for reason in retry::Reason::ALL {
        let status = not_run(reason).weakened(reason).status().as_u16();
        assert!(!promises.contains(&status), "{reason}: {status}");
    }
}

/// The sources without tests that contain `text`: their names, and how often outside comments.
fn sources_with(text: &str) -> Vec<(String, usize)> {
    fn visit(dir: &path::Path, text: &str, found: &mut Vec<(String, usize)>) {
        for entry in fs::read_dir(dir).expect("a directory") {
            let path = entry.expect("an entry").path();
            let name = path.file_name().and_then(|name| name.to_str()).expect("a name").to_owned();
            if path.is_dir() && name != "tests" {
                visit(&path, text, found);
            } else if name.ends_with(".rs") && name != "tests.rs" {
                let source = fs::read_to_string(&path).expect("a source");
                let code = source.lines().filter(|line| !line.trim_start().starts_with("//"));
                let count = code.map(|line| line.matches(text).count()).sum();
                found.extend((count > 0).then_some((name, count)));
            }
        }
    }
    let mut found = Vec::new();
    visit(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), text, &mut found);
    found.sort();
    found
}

/// Guards against a token that is made for a request that has been sent, to refuse it as not run. A
/// further place needs a request of which nothing can have been sent.
#[rstest]
#[case::requests(
    "Unsent::fresh()",
    // A connection that reads no further request, a caller's request, that for a held answer, one
    // that is refused before it is served, and that of another node.
    &[("caller.rs", 1), ("entry.rs", 1), ("internode.rs", 1), ("overload.rs", 1), ("peer.rs", 1)],
)]
#[case::words_of_others(
    "NotRun(())",
    // Each declares its word in one line, and gives it in one other.
    &[("answer.rs", 2), ("internode.rs", 2)],
)]
fn proofs_are_made_in_few_places(#[case] text: &str, #[case] wanted: &[(&str, usize)]) {
    let found = sources_with(text);
    let found: Vec<_> = found.iter().map(|(name, count)| (name.as_str(), *count)).collect();
    assert_eq!(found, wanted);
}
