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
}

/// What a call costs that goes to another availability zone, as the share of an upstream's slots
/// that it is worth waiting for at home. 1 is one service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Toll(pub f32);

impl Toll {
    /// Crossing costs nothing.
    pub const FREE: Toll = Toll(0.0);
}

/// The upstream picked for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its host.
    pub host: host::HostId,
    /// Its key.
    pub key: PeerKey,
    /// Whether it stands in this node's availability zone.
    pub near: bool,
    /// What it was picked for.
    pub target: Target,
}

/// How an attempt ended, as the picker needs to know it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// Its outcome.
    pub outcome: retry::Outcome,
    /// Load that came back with the answer.
    pub load: Option<admit::Load>,
    /// Time from start to end of the attempt.
    pub latency: time::Duration,
}
