//! Tests of detecting crashes of an upstream.

use std::net;
use std::time;

use rstest::rstest;
use tokio::net::TcpListener;

use crate::proxy::crash_detector;
use crate::quarantine::Fingerprint;

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The next crash of an upstream at `address`; `None` if none is detected within 200 ms.
async fn next_crash(
    detector: &crash_detector::CrashDetector,
    address: Option<net::SocketAddr>,
) -> Option<Vec<Fingerprint>> {
    next_crash_while(detector, address, |_| false).await
}

/// Like [`next_crash`], while the calls for which `is_running` is true go on.
async fn next_crash_while(
    detector: &crash_detector::CrashDetector,
    address: Option<net::SocketAddr>,
    is_running: impl Fn(u64) -> bool,
) -> Option<Vec<Fingerprint>> {
    let wait = time::Duration::from_millis(200);
    tokio::time::timeout(wait, detector.next_crash(is_running, || address, CONNECT_TIMEOUT))
        .await
        .ok()
}

async fn listener() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn call_broken(detector: &crash_detector::CrashDetector, fingerprints: &[u64]) {
    detector.call_broken((0..).zip(fingerprints.iter().copied().map(Fingerprint)));
}

#[tokio::test]
async fn a_crash_is_reported_once_with_all_calls_that_ran_when_the_first_was_broken_off() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    call_broken(&detector, &[1, 2, 3]);
    // The other calls are broken off after it, each with fewer calls still running.
    call_broken(&detector, &[2, 3]);
    call_broken(&detector, &[3]);
    assert_eq!(
        next_crash(&detector, Some(address)).await,
        Some(vec![Fingerprint(1), Fingerprint(2), Fingerprint(3)])
    );
    assert_eq!(next_crash(&detector, Some(address)).await, None, "one crash is reported once");
}

#[tokio::test]
async fn a_call_that_was_answered_before_the_crash_is_not_reported() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    call_broken(&detector, &[1, 2]);
    detector.call_completed(0);
    assert_eq!(next_crash(&detector, Some(address)).await, Some(vec![Fingerprint(2)]));
}

#[rstest]
#[case::still_listening(true)]
#[case::stopped_as_planned(false)]
#[tokio::test]
async fn a_broken_call_is_no_crash_of_an_upstream_that_is_there_or_has_left(#[case] there: bool) {
    let (_listener, address) = listener().await;
    let detector = crash_detector::CrashDetector::default();
    call_broken(&detector, &[1, 2]);
    assert_eq!(next_crash(&detector, there.then_some(address)).await, None);
}

#[tokio::test]
async fn no_connection_is_opened_while_other_calls_still_run() {
    let (listener, address) = listener().await;
    let detector = crash_detector::CrashDetector::default();
    call_broken(&detector, &[1, 2]);
    assert_eq!(next_crash_while(&detector, Some(address), |key| key == 1).await, None);
    let accepted = tokio::time::timeout(time::Duration::from_millis(50), listener.accept()).await;
    assert!(accepted.is_err(), "expected no connection");
}

/// On a slow host, the calls that a crash breaks off are noticed one at a time.
#[tokio::test]
async fn calls_that_are_noticed_later_count_as_well() {
    let (listener, address) = listener().await;
    drop(listener);
    let detector = crash_detector::CrashDetector::default();
    call_broken(&detector, &[1, 2]);
    let checks = std::cell::Cell::new(0);
    let is_running = |key| key == 1 && checks.replace(checks.get() + 1) < 2;
    assert_eq!(
        next_crash_while(&detector, Some(address), is_running).await,
        Some(vec![Fingerprint(1), Fingerprint(2)])
    );
}
