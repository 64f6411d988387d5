//! What a picker reports of slow nodes and of lost hosts: events for the log, and counters.

use std::time;

use prometheus_client::metrics::counter;

use crate::clock;
use crate::host;

/// Least time between two events of one sort.
const PERIOD: time::Duration = time::Duration::from_secs(1);

/// Something that the end of an attempt has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Many hosts may have been lost at once.
    HostsLost(HostsLost),
    /// A node has become slow.
    SlowNode(SlowNode),
}

/// Attempts at two hosts of a list got no response, so that many hosts may have been lost at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostsLost {
    /// The two hosts; the first one failed first.
    pub hosts: [host::HostId; 2],
    /// Time between the two failures.
    pub apart: time::Duration,
    /// Upstreams of the list.
    pub upstreams: usize,
    /// Those of them whose nodes have responded since the first failure.
    pub responded: usize,
    /// Events of this sort left out since the last one.
    pub skipped: u64,
}

/// The delay of a node exceeds the base of its list by more than a mean service time of the
/// upstream, so that calls are sent to other zones before they are sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowNode {
    /// Host of the node.
    pub host: host::HostId,
    /// The measurement that made the difference.
    pub measured: time::Duration,
    /// By how much the mean delay exceeds the base of the list.
    pub excess: time::Duration,
    /// The delay that is subtracted from each one of the list: their lower quartile.
    pub base: time::Duration,
    /// Mean service time of the upstream; `None` if unknown.
    pub service: Option<time::Duration>,
    /// Events of this sort left out since the last one.
    pub skipped: u64,
}

/// Counts of slow nodes, of lost hosts and of calls that stayed in their availability zone.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Simultaneous losses of hosts.
    pub losses: counter::Counter,
    /// Calls sent to an upstream whose node had not responded since such a loss.
    pub probes: counter::Counter,
    /// Nodes that have become slow.
    pub slow_nodes: counter::Counter,
    /// Calls that stayed in their zone, as the other one was not known to be emptier.
    pub kept_in_zone: counter::Counter,
}

/// Limits events of one sort to one a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Time of the last event.
    last: Option<clock::Instant>,
    skipped: u64,
}

impl Pace {
    /// The number of events left out since the last one; `None` if this one must be left out.
    pub(super) fn admit(&mut self, now: clock::Instant) -> Option<u64> {
        if self.last.is_some_and(|last| now.since(last) < PERIOD) {
            self.skipped += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.skipped))
    }
}
