//! Channel between the calls of a node and its membership duty.

use std::sync::Arc;

use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use tokio::sync::watch;

use crate::quarantine;
use crate::ring;

/// Capacity of the ring of reports. A full ring drops an answer, which the next answer repeats, or
/// a crash; crashes are rare, as an upstream takes seconds to restart.
const REPORT_CAPACITY: usize = 64;

/// Metrics that the calls of a node update.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Crashes of this node's upstream while it ran calls.
    pub crashes: counter::Counter,
    /// Calls that this node refused.
    pub refused: counter::Counter,
    /// Requests that are quarantined in the mesh.
    pub quarantined: gauge::Gauge,
}

/// The end of the channel that the calls use.
#[derive(Clone, Debug)]
pub struct CallSide {
    /// Reports to the membership duty.
    pub reports: ring::Sender<quarantine::Report>,
    /// The latest state of the mesh.
    pub snapshot: watch::Receiver<Arc<quarantine::Snapshot>>,
    /// Metrics of the calls.
    pub counts: Counts,
}

/// The end of the channel that the membership duty uses.
#[derive(Debug)]
pub struct MemberSide {
    /// Reports of the calls.
    pub reports: ring::Receiver<quarantine::Report>,
    /// Publishes the latest state of the mesh to the calls.
    pub snapshot: watch::Sender<Arc<quarantine::Snapshot>>,
}

/// Creates a channel and returns both ends.
pub fn channel() -> (CallSide, MemberSide) {
    let (sender, reports) = ring::bounded(REPORT_CAPACITY);
    let (publisher, snapshot) = watch::channel(Arc::default());
    let calls = CallSide { reports: sender, snapshot, counts: Counts::default() };
    (calls, MemberSide { reports, snapshot: publisher })
}
