//! Tests of the registry of metrics.

use tokio::sync::mpsc;

use crate::admin::metrics;
use crate::ring;

/// A duty that waits for the last counts of another one waits for the end of its ring: held open
/// by the metrics, each planned stop took a second and a half longer.
#[test]
fn metrics_keep_no_ring_open() {
    let metrics = metrics::Metrics::default();
    let (sender, mut receiver) = ring::bounded::<u8>(1);
    metrics.ring("test", &sender);
    sender.offer(1).expect("there is room");
    sender.offer(2).expect_err("it is full");
    drop(sender);
    assert_eq!(receiver.try_recv(), Ok(1));
    assert_eq!(receiver.try_recv(), Err(mpsc::error::TryRecvError::Disconnected));
    assert!(metrics.encode().contains("ring_test_refused_total 1"), "{}", metrics.encode());
}
