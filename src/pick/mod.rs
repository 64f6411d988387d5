//! Choice of the upstream that runs a call.
//!
//! An entry node knows three things about an upstream: its state in the membership, the node's own
//! outstanding calls to it, and the load that it reported with its answers. Entry nodes share
//! nothing else.

mod delay;
mod event;
mod loss;
mod outlier;
mod overflow;
mod peer;
mod picker;
mod policy;
mod pool;
mod table;
#[cfg(test)]
mod tests;
mod urgency;

use std::time;

use crate::admit;
use crate::clock;
use crate::host;
use crate::mesh;
use crate::notice;
use crate::retry;
use crate::rollout;

pub use self::event::{Counts, Event, HostsLost, SlowNode};
pub use self::peer::Peer;
pub use self::picker::Picker;
pub use self::policy::{Cheapest, LeastOutstanding, PowerOfTwo, RemainingCapacity, RoundRobin};
pub use self::pool::{Policy, Pool};
pub use self::urgency::Urgency;

/// Key of a [`Peer`] in the arena of its picker. A key outlives rebuilds; it becomes invalid when
/// its host has left and its last call has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PeerKey {
    index: u32,
    generation: u32,
}

/// The upstreams among which a call can choose.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Service that runs the call.
    pub service: mesh::ServiceKey,
    /// Class whose upstreams may run the call; `None` allows every upstream of the service.
    pub class: Option<mesh::ClassKey>,
    /// Versions of the upstreams that may run the call.
    pub group: rollout::VersionGroup,
}

/// Cost of sending a call to another host or zone. A cost of 1 is worth a wait of one service time
/// at a nearer upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferCost {
    /// Cost of a call to another availability zone, in service times.
    pub cross_zone: f32,
    /// Time for which the bytes of the call occupy the link of a host, in microseconds; a call that
    /// stays on its host occupies none.
    pub link_us: f32,
    /// Priority of the call; a nested one runs before new work at the upstream.
    pub rank: admit::Rank,
    /// Whether the call may run twice without harm.
    pub idempotent: bool,
    /// What is known of a call of a kind of priority 0; `None` for other calls.
    pub urgency: Option<Urgency>,
}

/// Service time that is assumed of an upstream without answers, in microseconds. The services of the
/// users take 15 to 290 ms.
const DEFAULT_SERVICE_US: f32 = 100_000.0;

impl TransferCost {
    /// No cost to any host or zone.
    pub const FREE: TransferCost = TransferCost {
        cross_zone: 0.0,
        link_us: 0.0,
        rank: admit::Rank { nested: false, weight: 0 },
        idempotent: false,
        urgency: None,
    };

    /// The cost of a call to an upstream in `tier` with a service time of `service_us`; `None` if
    /// that is unknown.
    fn for_tier(&self, tier: usize, service_us: Option<f32>) -> f32 {
        let link = self.link_us / service_us.unwrap_or(DEFAULT_SERVICE_US);
        match tier {
            0 => 0.0,
            table::OTHER_HOST => link,
            _ => link + self.cross_zone,
        }
    }
}

/// The upstream picked for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Host of the upstream.
    pub host: host::HostId,
    /// Key of the upstream's peer.
    pub key: PeerKey,
    /// Whether the upstream is in this node's availability zone.
    pub same_zone: bool,
    /// The target for which it was picked.
    pub target: Target,
    /// Priority of the call.
    pub rank: admit::Rank,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Outcome of the attempt.
    pub outcome: retry::Outcome,
    /// Load that the upstream's node sent with the answer; `None` if there was none.
    pub load: Option<admit::Load>,
    /// Run time, as a multiple of the mean run time of the kind at all upstreams; `None` if
    /// unknown.
    pub relative_time: Option<f32>,
    /// What the upstream says of itself, as sent with the load; `None` if it says nothing.
    pub notice: Option<notice::Relayed>,
    /// Time after which the upstream's node has room for a call that it refused.
    pub retry_after: Option<time::Duration>,
    /// Time from the start to the end of the attempt.
    pub latency: time::Duration,
    /// Time of the attempt for which the upstream's node did not hold it; `None` if unknown.
    pub node_delay: Option<time::Duration>,
    /// When the head of the response of the upstream's node came; `None` if there was none.
    pub responded_at: Option<clock::Instant>,
}

impl Report {
    /// Whether the attempt got no sign of life of its host. One that ended at its deadline in less
    /// than `connect_timeout` does not show that: a live host may need as long for a connection.
    fn is_silent(&self, connect_timeout: time::Duration) -> bool {
        use retry::Reason::{Cut, Timeout, TooLate, Unreachable};
        let failed = match self.outcome.reason() {
            Some(Cut | Unreachable) => true,
            Some(Timeout | TooLate) => self.latency >= connect_timeout,
            _ => false,
        };
        failed && self.responded_at.is_none()
    }

    /// From when on a silent host, of which an attempt ended at `now`, is known not to respond. A
    /// connection attempt, during which nothing is sent, found it so from its start, at most
    /// `connect_timeout` ago; otherwise the host may have been lost at any time of the attempt.
    fn silent_since(&self, connect_timeout: time::Duration, now: clock::Instant) -> clock::Instant {
        match self.outcome.reason() {
            Some(retry::Reason::TooLate | retry::Reason::Unreachable) => {
                before(now, self.latency.min(connect_timeout))
            }
            _ => now,
        }
    }

    /// When the attempt that ended at `now` started.
    fn started_at(&self, now: clock::Instant) -> clock::Instant {
        before(now, self.latency)
    }
}

/// The instant that is `time` before `now`; the first one if there is none.
fn before(now: clock::Instant, time: time::Duration) -> clock::Instant {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    clock::Instant::from_micros(now.as_micros().saturating_sub(micros))
}
