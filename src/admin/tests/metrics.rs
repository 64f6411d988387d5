//! Tests of the registry of metrics.

use std::time;

use tokio::sync::mpsc;

use crate::admin::{metrics, status};
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

/// Guards against an overload that operators can't see, and against a gauge that shows one before
/// anything was measured.
#[test]
fn metrics_show_the_overload_protection() {
    let metrics = metrics::Metrics::default();
    let shows = |wanted: &str| assert!(metrics.encode().contains(wanted), "{}", metrics.encode());
    shows("dandelionspool_overload_admitted_share 1.0\n");
    shows("dandelionspool_overload_delay_seconds 0.0\n");
    metrics.overload().set(time::Duration::from_millis(250), 0.125);
    metrics.overload().refused.inc();
    shows("dandelionspool_overload_admitted_share 0.125\n");
    shows("dandelionspool_overload_delay_seconds 0.25\n");
    shows("dandelionspool_overload_refused_total 1\n");
}

/// Guards against a report on the mesh that fails because some nodes run an older build.
#[test]
fn the_status_of_an_older_node_can_be_read() {
    let text = r#"{"delay_ms": 1.5, "admitted_share": 0.5, "refused": 7}"#;
    let overload: status::Overload = serde_json::from_str(text).expect("a status");
    assert_eq!((overload.admitted_share, overload.refused), (0.5, 7));
    let text = r#"{"host": "h", "region": "r", "zone": "z", "incarnation": 1, "ready": true,
        "version": 1, "digest": "d", "applied_unix_ms": null, "log": "Unasked", "local": null,
        "members": {"alive": 1, "suspect": 0, "unreachable": 0}, "upstreams": {}, "traffic": {}}"#;
    let log = serde_json::to_string(&crate::logs::reachability::Reachability::Unasked);
    let text = text.replace("\"Unasked\"", &log.expect("encoded"));
    let status: status::Status = serde_json::from_str(&text).expect("a status");
    assert_eq!(status.overload, None);
}
