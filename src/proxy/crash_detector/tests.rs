//! Tests of finding out that an upstream has ended.

use std::net;
use std::time;

use rstest::rstest;
use tokio::net::TcpListener;

use crate::proxy::crash_detector;
use crate::quarantine::Fingerprint;

const LIMIT: time::Duration = time::Duration::from_millis(500);

/// Waits for the end of an upstream at `address`, for a moment only.
async fn next(
    ends: &crash_detector::Ends,
    address: Option<net::SocketAddr>,
) -> Option<Vec<Fingerprint>> {
    next_beside(ends, address, |_| false).await
}

/// The same while the calls for which `runs` holds run on.
async fn next_beside(
    ends: &crash_detector::Ends,
    address: Option<net::SocketAddr>,
    runs: impl Fn(u64) -> bool,
) -> Option<Vec<Fingerprint>> {
    let moment = time::Duration::from_millis(200);
    tokio::time::timeout(moment, ends.next(runs, || address, LIMIT)).await.ok()
}

async fn listener() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn cut(ends: &crash_detector::Ends, prints: &[u64]) {
    ends.cut((0..).zip(prints.iter().copied().map(Fingerprint)));
}

#[tokio::test]
async fn an_upstream_that_takes_no_connection_any_more_has_ended_under_what_ran_at_first() {
    let (listener, address) = listener().await;
    drop(listener);
    let ends = crash_detector::Ends::default();
    cut(&ends, &[1, 2, 3]);
    // The others follow one after the other, each with fewer beside it.
    cut(&ends, &[2, 3]);
    cut(&ends, &[3]);
    assert_eq!(
        next(&ends, Some(address)).await,
        Some(vec![Fingerprint(1), Fingerprint(2), Fingerprint(3)])
    );
    assert_eq!(next(&ends, Some(address)).await, None, "one end is told once");
}

#[tokio::test]
async fn an_answer_that_was_given_before_the_end_speaks_for_its_request() {
    let (listener, address) = listener().await;
    drop(listener);
    let ends = crash_detector::Ends::default();
    cut(&ends, &[1, 2]);
    ends.whole(0);
    assert_eq!(next(&ends, Some(address)).await, Some(vec![Fingerprint(2)]));
}

#[rstest]
#[case::still_there(true)]
#[case::left_in_order(false)]
#[tokio::test]
async fn a_call_that_is_broken_off_alone_is_no_end(#[case] there: bool) {
    let (_listener, address) = listener().await;
    let ends = crash_detector::Ends::default();
    cut(&ends, &[1, 2]);
    assert_eq!(next(&ends, there.then_some(address)).await, None);
}

#[tokio::test]
async fn an_upstream_at_which_other_calls_run_on_is_not_asked_for_a_connection() {
    let (listener, address) = listener().await;
    let ends = crash_detector::Ends::default();
    cut(&ends, &[1, 2]);
    assert_eq!(next_beside(&ends, Some(address), |key| key == 1).await, None);
    let asked = tokio::time::timeout(time::Duration::from_millis(50), listener.accept()).await;
    assert!(asked.is_err(), "nobody came");
}

/// On a slow host the calls that an end breaks off are found so one after the other.
#[tokio::test]
async fn calls_that_are_found_broken_off_a_little_later_count_as_well() {
    let (listener, address) = listener().await;
    drop(listener);
    let ends = crash_detector::Ends::default();
    cut(&ends, &[1, 2]);
    let looks = std::cell::Cell::new(0);
    let runs = |key| key == 1 && looks.replace(looks.get() + 1) < 2;
    assert_eq!(
        next_beside(&ends, Some(address), runs).await,
        Some(vec![Fingerprint(1), Fingerprint(2)])
    );
}
