//! Calls to a node whose streams and connections end in any way: only what that node says of the
//! stream of a call, or what proves that nothing was sent, counts as not run.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use dandelionspool::configs;
use dandelionspool::proxy::internode;
use dandelionspool::proxy::links;
use dandelionspool::proxy::proof;
use dandelionspool::proxy::upload;
use dandelionspool::retry;
use dandelionspool::seal;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rstest::rstest;

use crate::fake;
use crate::raw_peer;
use crate::raw_peer::Step;
use crate::raw_peer::When;
use crate::rig;

/// Header by which a node tells what became of a call.
const OUTCOME: &str = "dandelionspool-outcome";

/// Number of meshes that a case is played on, and of orders on each.
const MESHES: usize = 3;
const ORDERS: usize = 6;

/// Time after which nothing that was begun for an order can still be on its way.
const SETTLE: time::Duration = time::Duration::from_millis(300);

/// An order and what became of it.
struct Order {
    answer: rig::Answer,
    /// Calls that the peer received meanwhile.
    streams: usize,
    /// Runs at the upstream of the other node.
    runs: usize,
}

/// Makes orders at an entry node that has a peer with `behaviour` and a second node, whose upstream
/// answers.
async fn orders(behaviour: impl Fn() -> raw_peer::Behaviour) -> Vec<Order> {
    let mut orders = Vec::new();
    for mesh in 0..MESHES {
        let fake = fake::Fake::start(fake::echo).await;
        let upstreams = [None, Some(fake.address), Some(fake.address)];
        let mut nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
        let peer = raw_peer::Peer::replace(nodes.remove(1), behaviour()).await;
        for number in 0..ORDERS {
            let before = peer.seen().len();
            let id = format!("order-{mesh}-{number}");
            let request = rig::request("POST", "/orders", &id);
            let answer = rig::call(&nodes[0], request, id.as_bytes()).await;
            orders.push(Order {
                answer,
                streams: peer.seen().len() - before,
                runs: fake.runs(&id),
            });
        }
        let (seen, runs) = (peer.seen().len(), fake.requests().len());
        tokio::time::sleep(SETTLE).await;
        assert_eq!((peer.seen().len(), fake.requests().len()), (seen, runs), "sent later");
    }
    orders
}

fn write(bytes: Vec<u8>) -> Step {
    Step::Write(bytes)
}

fn refuse(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::reset(stream, raw_peer::REFUSED_STREAM))]
}

fn reset(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::reset(stream, raw_peer::NO_ERROR))]
}

fn cancel(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::reset(stream, raw_peer::CANCEL))]
}

fn close(_: u32) -> Vec<Step> {
    vec![Step::Close]
}

fn reset_connection(_: u32) -> Vec<Step> {
    vec![Step::Reset]
}

/// Ends the connection, and says that the call was not processed.
fn goaway_before(_: u32) -> Vec<Step> {
    vec![write(raw_peer::goaway(1, raw_peer::NO_ERROR)), Step::Close]
}

/// Ends the connection, and says that the call may have been processed.
fn goaway_after(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::goaway(stream, raw_peer::NO_ERROR)), Step::Close]
}

fn no_outcome(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::head(stream, true, 503, &[("retry-after", "1")]))]
}

fn other_outcome(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::head(stream, true, 503, &[(OUTCOME, "not-run ")]))]
}

/// An interim answer is none, whatever it says.
fn interim(stream: u32) -> Vec<Step> {
    let interim = raw_peer::head(stream, false, 103, &[(OUTCOME, "not-run")]);
    vec![write(interim), write(raw_peer::reset(stream, raw_peer::CANCEL))]
}

/// Says "not run" only after its answer.
fn trailing(stream: u32) -> Vec<Step> {
    vec![
        write(raw_peer::head(stream, false, 503, &[])),
        write(raw_peer::data(stream, false, b"x")),
        write(raw_peer::trailers(stream, &[(OUTCOME, "not-run")])),
    ]
}

/// Says both, and so nothing that can be believed.
fn contradictory(stream: u32) -> Vec<Step> {
    let both = [(OUTCOME, "not-run"), (OUTCOME, "ran")];
    vec![write(raw_peer::head(stream, true, 503, &both))]
}

/// An answer that breaks off.
fn cut_answer(stream: u32) -> Vec<Step> {
    vec![
        write(raw_peer::head(stream, false, 200, &[(OUTCOME, "ran")])),
        write(raw_peer::data(stream, false, b"x")),
        write(raw_peer::reset(stream, raw_peer::NO_ERROR)),
    ]
}

/// Guards against an order that is sent again, or promised not to run, after a node has read it and
/// the stream or connection has ended without that node's word.
#[rstest]
#[case::refused_stream(refuse)]
#[case::reset(reset)]
#[case::cancelled(cancel)]
#[case::closed(close)]
#[case::connection_reset(reset_connection)]
#[case::goaway_before(goaway_before)]
#[case::goaway_after(goaway_after)]
#[case::no_outcome(no_outcome)]
#[case::other_outcome(other_outcome)]
#[case::interim(interim)]
#[case::trailing(trailing)]
#[case::contradictory(contradictory)]
#[case::cut_answer(cut_answer)]
fn a_call_whose_stream_ended_without_a_word_may_have_run(
    #[case] steps: fn(u32) -> Vec<Step>,
    #[values(When::Head, When::Whole)] when: When,
) {
    rig::run(async {
        let orders = orders(|| raw_peer::Behaviour::new(when, steps)).await;
        let at_peer = orders.iter().filter(|order| order.streams > 0).count();
        assert!(at_peer > 0, "no order went to the peer");
        for Order { answer, streams, runs } in &orders {
            match streams {
                0 => assert_eq!((answer.outcome(), *runs), ("ran", 1)),
                _ => {
                    assert_eq!((answer.outcome(), *streams, *runs), ("unknown", 1, 0), "{answer:?}")
                }
            }
        }
    });
}

/// Says "not run", and goes on with a body that never ends.
fn not_run_without_end(stream: u32) -> Vec<Step> {
    vec![
        write(raw_peer::head(stream, false, 503, &[(OUTCOME, "not-run"), REASON])),
        write(raw_peer::data(stream, false, b"still")),
    ]
}

/// Says "not run", and then that it ran, in the trailers.
fn not_run_then_ran(stream: u32) -> Vec<Step> {
    vec![
        write(raw_peer::head(stream, false, 503, &[(OUTCOME, "not-run"), REASON])),
        write(raw_peer::trailers(stream, &[(OUTCOME, "ran")])),
    ]
}

/// Says "not run" and ends the connection.
fn not_run_then_close(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::head(stream, true, 503, &[(OUTCOME, "not-run"), REASON])), Step::Close]
}

const REASON: (&str, &str) = ("dandelionspool-reason", "full");

/// The word of a node for a stream counts, whatever follows it: the order goes to the other node
/// once, and to this one no more.
#[rstest]
#[case::without_end(not_run_without_end)]
#[case::then_ran(not_run_then_ran)]
#[case::then_close(not_run_then_close)]
fn a_call_that_its_node_refused_is_sent_once_more(#[case] steps: fn(u32) -> Vec<Step>) {
    rig::run(async {
        let orders = orders(|| raw_peer::Behaviour::new(When::Whole, steps)).await;
        assert!(orders.iter().any(|order| order.streams == 1), "no order went to the peer");
        for Order { answer, streams, runs } in &orders {
            assert!(*streams <= 1);
            assert_eq!((answer.outcome(), *runs), ("ran", 1), "{answer:?}");
        }
    });
}

fn reject_greeting(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::head(stream, true, 403, &[]))]
}

/// Accepts the greeting, and ends the connection before a call can be read.
fn accept_and_close(stream: u32) -> Vec<Step> {
    vec![write(raw_peer::head(stream, true, 200, &[])), Step::Close]
}

/// Accepts the greeting long after any call has given up.
fn accept_late(stream: u32) -> Vec<Step> {
    let late = time::Duration::from_millis(400);
    vec![Step::Wait(late), write(raw_peer::head(stream, true, 200, &[]))]
}

/// Guards against an order that stays on a connection whose greeting was not accepted in time, and
/// runs once it opens.
#[rstest]
#[case::rejected(reject_greeting)]
#[case::reset(refuse)]
#[case::closed(close)]
#[case::late(accept_late)]
fn a_call_is_not_sent_before_its_greeting_is_accepted(#[case] greeting: fn(u32) -> Vec<Step>) {
    rig::run(async {
        let behaviour = || raw_peer::Behaviour::new(When::Head, close).greeting(greeting);
        for Order { answer, streams, runs } in orders(behaviour).await {
            assert_eq!((answer.outcome(), streams, runs), ("ran", 0, 1), "{answer:?}");
        }
    });
}

/// A connection that ends after the greeting: an order may be read by the peer or go elsewhere, and
/// it is not both.
#[test]
fn a_call_on_a_connection_that_ends_after_the_greeting_runs_at_most_once() {
    rig::run(async {
        let behaviour = || raw_peer::Behaviour::new(When::Head, close).greeting(accept_and_close);
        for Order { answer, streams, runs } in orders(behaviour).await {
            assert_eq!(streams, 0, "the peer reads nothing after the greeting");
            let expected = if answer.outcome() == "ran" { 1 } else { 0 };
            assert_eq!(runs, expected, "{answer:?}");
        }
    });
}

/// Guards against a call that is sent on the connection for which it gave up the wait.
#[test]
fn a_connection_that_opens_after_a_call_gave_up_carries_nothing_of_it() {
    rig::run(async {
        let host = dandelionspool::host::HostId::new(rig::address());
        let behaviour = raw_peer::Behaviour::new(When::Head, |stream| {
            vec![write(raw_peer::head(stream, true, 200, &[(OUTCOME, "ran")]))]
        });
        let late = |stream| {
            let wait = Step::Wait(time::Duration::from_millis(120));
            vec![wait, write(raw_peer::head(stream, true, 200, &[]))]
        };
        let peer = raw_peer::Peer::start(host.inner_addr(), behaviour.greeting(late)).await;
        let settings = Arc::new(rig::settings(rig::address()));
        let links = Rc::new(new_links(&settings));
        let limit = Some(time::Duration::from_millis(40));
        let answer = send(&links, host, "late", limit).await;
        let refusal = answer.result.unwrap_err();
        assert_eq!(refusal.outcome(), retry::Outcome::NotRun(retry::Reason::Unreachable));
        assert!(answer.given_up);
        tokio::time::sleep(SETTLE).await;
        assert!(peer.seen().is_empty(), "{:?}", peer.seen());
        // The connection has opened by itself and serves the next call.
        let answer = send(&links, host, "next", limit).await;
        assert!(answer.result.is_ok());
        assert_eq!(peer.seen().len(), 1);
        assert_eq!(peer.seen()[0].conn, 0);
    });
}

fn new_links(settings: &Arc<configs::Node>) -> links::Links {
    let me = dandelionspool::host::HostId::new(settings.listen);
    links::Links::new(me, seal::Seal::new(&settings.mesh, &settings.key), Arc::clone(settings))
}

async fn send(
    links: &links::Links,
    host: dandelionspool::host::HostId,
    body: &'static str,
    limit: Option<time::Duration>,
) -> internode::Answer {
    let request = http::Request::post("http://none.invalid/orders");
    let upload = upload::Upload::Buffered(Some(body.into()));
    let end = tokio::time::Instant::now() + time::Duration::from_secs(2);
    {
        let request = request.body(upload).unwrap();
        let unsent = proof::Unsent::fresh();
        internode::call_within(links, host, request, unsent, (end, limit), |_, _| ()).await
    }
}

/// Says "not run" without having taken a byte of the body, and takes it later.
fn not_run_then_take(stream: u32) -> Vec<Step> {
    let take = 1 << 20;
    vec![
        write(raw_peer::head(stream, true, 503, &[(OUTCOME, "not-run"), REASON])),
        Step::Wait(time::Duration::from_millis(10)),
        write(raw_peer::window(0, take)),
        write(raw_peer::window(stream, take)),
    ]
}

/// Guards against an upload that two attempts read: the one that was refused would take parts of it
/// from the other, and its node would receive them after its last word.
#[test]
fn an_upload_goes_on_with_the_last_attempt_alone() {
    const PIECE_BYTES: usize = 1 << 16;
    const BYTES: usize = 5 * PIECE_BYTES;
    let interval = time::Duration::from_millis(20);
    rig::run(async {
        let mut refused = 0;
        for mesh in 0..MESHES {
            let fake = fake::Fake::start(fake::echo).await;
            let upstreams = [None, Some(fake.address), Some(fake.address)];
            let mut nodes = rig::nodes(&upstreams, &rig::Claims::default()).await;
            let behaviour = raw_peer::Behaviour::new(When::Head, not_run_then_take).window(0);
            let peer = raw_peer::Peer::replace(nodes.remove(1), behaviour).await;
            let id = format!("upload-{mesh}");
            let pieces = futures_util::stream::unfold(0, move |sent| async move {
                tokio::time::sleep(interval).await;
                let piece = Frame::data(Bytes::from_static(&[b'x'; PIECE_BYTES]));
                (sent < BYTES / PIECE_BYTES).then_some((Ok::<_, Infallible>(piece), sent + 1))
            });
            let request = rig::request("PUT", "/uploads", &id)
                .body(StreamBody::new(Box::pin(pieces)))
                .unwrap();
            let answer = rig::send(&nodes[0], request).await.unwrap();
            tokio::time::sleep(SETTLE).await;
            let seen = peer.seen();
            let taken: usize = seen.iter().map(|seen| seen.body.len()).sum();
            refused += seen.len();
            // With the lines between its chunks.
            let received = fake.requests().iter().map(|request| request.body).max();
            assert_eq!((answer.outcome(), fake.runs(&id), taken), ("ran", 1, 0), "{answer:?}");
            assert!(received >= Some(BYTES), "{received:?} bytes of {BYTES}");
        }
        assert!(refused > 0, "no upload went to the peer");
    });
}
