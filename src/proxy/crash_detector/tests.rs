//! Tests of detecting crashes of an upstream.

use std::net;
use std::time;

use rstest::rstest;
use tokio::net::TcpListener;

use crate::proxy::crash_detector;
use crate::quarantine::Fingerprint;

const LIMIT: time::Duration = time::Duration::from_millis(500);

/// The next crash of an upstream at `address`; `None` if none is detected within 200 ms.
async fn next(
    detector: &crash_detector::CrashDetector,
    address: Option<net::SocketAddr>,
) -> Option<Vec<Fingerprint>> {
    next_beside(detector, address, |_| false).await
}

/// The same, while the calls for which `runs` is true go on.
async fn next_beside(
    detector: &crash_detector::CrashDetector,
    address: Option<net::SocketAddr>,
    runs: impl Fn(u64) -> bool,
) -> Option<Vec<Fingerprint>> {
    let moment = time::Duration::from_millis(200);
    tokio::time::timeout(moment, detector.next_crash(runs, || address, LIMIT)).await.ok()
}

async fn listener() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn cut(detector: &crash_detector::CrashDetector, fingerprints: &[u64]) {
    detector.call_broken((0..).zip(fingerprints.iter().copied().map(Fingerprint)));
}

#[tokio::test]
async fn a_crash_is_reported_once_with_all_calls_that_ran_when_the_first_was_broken_off() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    cut(&detector, &[1, 2, 3]);
    // The other calls are broken off after it, each with fewer calls still running.
    cut(&detector, &[2, 3]);
    cut(&detector, &[3]);
    assert_eq!(
        next(&detector, Some(address)).await,
        Some(vec![Fingerprint(1), Fingerprint(2), Fingerprint(3)])
    );
    assert_eq!(next(&detector, Some(address)).await, None, "one crash is reported once");
}

#[tokio::test]
async fn a_call_that_was_answered_before_the_crash_is_not_reported() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    cut(&detector, &[1, 2]);
    detector.call_completed(0);
    assert_eq!(next(&detector, Some(address)).await, Some(vec![Fingerprint(2)]));
}

#[rstest]
#[case::still_there(true)]
#[case::left_in_order(false)]
#[tokio::test]
async fn a_broken_call_is_no_crash_of_an_upstream_that_is_there_or_has_left(#[case] there: bool) {
    let (_listener, address) = listener().await;
    let detector = crash_detector::CrashDetector::default();
    cut(&detector, &[1, 2]);
    assert_eq!(next(&detector, there.then_some(address)).await, None);
}

#[tokio::test]
async fn no_connection_is_opened_while_other_calls_still_run() {
    let (listener, address) = listener().await;
    let detector = crash_detector::CrashDetector::default();
    cut(&detector, &[1, 2]);
    assert_eq!(next_beside(&detector, Some(address), |key| key == 1).await, None);
    let asked = tokio::time::timeout(time::Duration::from_millis(50), listener.accept()).await;
    assert!(asked.is_err(), "no connection was opened");
}

/// On a slow host, the calls that a crash breaks off are noticed one at a time.
#[tokio::test]
async fn calls_that_are_noticed_later_count_as_well() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    cut(&detector, &[1, 2]);
    let looks = std::cell::Cell::new(0);
    let runs = |key| key == 1 && looks.replace(looks.get() + 1) < 2;
    assert_eq!(
        next_beside(&detector, Some(address), runs).await,
        Some(vec![Fingerprint(1), Fingerprint(2)])
    );
}
