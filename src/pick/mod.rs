//! Choice of the upstream that runs a call.
//!
//! An entry knows three things of an upstream: what the membership says, its own outstanding
//! calls, and what came back with answers. Nothing else is shared between entries.

mod outlier;
mod peer;
mod picker;
mod policy;
mod pool;
mod table;
#[cfg(test)]
mod tests;

use std::time;

use crate::admit;
use crate::host;
use crate::mesh;
use crate::retry;
use crate::rollout;

pub use self::peer::Peer;
pub use self::picker::Picker;
pub use self::policy::{Cheapest, LeastOutstanding, PowerOfTwo, RemainingCapacity, RoundRobin};
pub use self::pool::{Policy, Pool};

/// Key of a [`Peer`] in the arena of its picker. A key outlives rebuilds; when its host has left
/// and its last call has ended, the key is void.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PeerKey {
    index: u32,
    generation: u32,
}

/// What a call needs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Target {
    /// Service that runs it.
    pub service: mesh::ServiceKey,
    /// Class whose upstreams run it; `None` allows every upstream of the service.
    pub class: Option<mesh::ClassKey>,
    /// Which versions of them run it.
    pub group: rollout::VersionGroup,
}

/// What a call costs on its way, as the share of an upstream's slots that it is worth waiting for
/// nearer by. 1 is one service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferCost {
    /// To another availability zone.
    pub cross_zone: f32,
    /// Time that its bytes take up the link of a host, in microseconds; a call that stays on its
    /// host takes up none.
    pub link_us: f32,
    /// Whether a running call waits for it, so that it goes before new work at the upstream.
    pub inner: bool,
}

impl TransferCost {
    /// No way costs anything.
    pub const FREE: TransferCost = TransferCost { cross_zone: 0.0, link_us: 0.0, inner: false };

    /// The toll of a call to an upstream in `tier` whose service time, in microseconds, is
    /// `service`.
    fn of(&self, tier: usize, service: Option<f32>) -> f32 {
        /// Service time of an upstream that has answered no call yet, in microseconds: in the
        /// middle of those of the users' services, 15 to 290 ms.
        const USUAL: f32 = 100_000.0;
        let link = self.link_us / service.unwrap_or(USUAL);
        match tier {
            0 => 0.0,
            table::AWAY => link,
            _ => link + self.cross_zone,
        }
    }
}

/// The upstream picked for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its host.
    pub host: host::HostId,
    /// Its key.
    pub key: PeerKey,
    /// Whether it stands in this node's availability zone.
    pub same_zone: bool,
    /// What it was picked for.
    pub target: Target,
}

/// How an attempt ended, as the picker needs to know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Its outcome.
    pub outcome: retry::Outcome,
    /// Load that came back with the answer.
    pub load: Option<admit::Load>,
    /// Time that the upstream took, as a multiple of that of all upstreams for calls of its kind.
    pub relative_time: Option<f32>,
    /// Time from start to end of the attempt.
    pub latency: time::Duration,
}
