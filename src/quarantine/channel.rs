//! What joins the calls of a node to its membership duty.

use std::sync::Arc;

use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use tokio::sync::watch;

use crate::quarantine;
use crate::ring;

/// Room for reports. A full ring drops an answer, which the next one repeats, or an end: upstreams take
/// seconds to come back.
const REPORTS: usize = 64;

/// Counts of what the calls of a node found out.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Ends of the upstream beside it under calls.
    pub crashes: counter::Counter,
    /// Calls refused here.
    pub refused: counter::Counter,
    /// Requests that the mesh holds responsible.
    pub quarantined: gauge::Gauge,
}

/// The side of the calls.
#[derive(Clone, Debug)]
pub struct CallSide {
    /// What they find out.
    pub reports: ring::Sender<quarantine::Report>,
    /// What the mesh knows.
    pub snapshot: watch::Receiver<Arc<quarantine::Snapshot>>,
    /// Counts.
    pub counts: Counts,
}

/// The side of the membership duty.
#[derive(Debug)]
pub struct MemberSide {
    /// What the calls find out.
    pub reports: ring::Receiver<quarantine::Report>,
    /// What the mesh knows.
    pub snapshot: watch::Sender<Arc<quarantine::Snapshot>>,
}

/// Both sides.
pub fn channel() -> (CallSide, MemberSide) {
    let (sender, reports) = ring::bounded(REPORTS);
    let (publish, known) = watch::channel(Arc::default());
    let calls = CallSide { reports: sender, snapshot: known, counts: Counts::default() };
    (calls, MemberSide { reports, snapshot: publish })
}
