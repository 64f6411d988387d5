//! Tests of the registry of metrics.

use tokio::sync::mpsc;

use crate::admin::metrics;
use crate::ring;

/// Guards against metrics that keep the sender of a ring alive. The admin duty waits for the end of
/// the ring from the call path, so each planned stop would take 1.5 seconds longer.
#[test]
fn metrics_do_not_keep_a_ring_open() {
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
