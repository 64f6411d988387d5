//! Roll-outs: moving the calls of a service to another version of its upstreams, a small share
//! first.
//!
//! An operator orders a move, and upstreams of the new version start beside those of the old one.
//! Every entry node follows the order by itself, from what it reads in the configuration and in its
//! view of the hosts, without coordination; a node that does not know of the order sends no calls
//! to the new version ([`plan`]). The nodes beside new upstreams count the answers of these. The
//! counts travel with the membership messages, and each node compares them with the answers that it
//! gets from the old version ([`judge`]).

pub mod counts;
pub mod judge;
pub mod plan;
pub mod shell;
pub mod status;
pub mod stream;
pub mod table;

#[cfg(test)]
mod tests;

use std::time;

use smol_str::SmolStr;

use crate::logs;

pub use self::counts::{AnswerCounts, RouteId, TrialReport, Verdict};
pub use self::plan::{Plan, Stage, VersionGroup};
pub use self::table::Table;

/// An operator's order to move a service to a version of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Number of the order; a later order has a higher one, also for the same version.
    pub number: u64,
    /// The version that is to serve in the end.
    pub version: SmolStr,
    /// Time within which the move has to end.
    pub within: time::Duration,
}

impl Order {
    /// Whether `other` has the same version and the same time.
    pub fn has_same_goal(&self, other: &Self) -> bool {
        self.version == other.version && self.within == other.within
    }

    /// Whether `other` is this order, read again after the log was restored from an older copy and
    /// started a new epoch.
    fn is_reread_as(&self, other: &Self) -> bool {
        self.has_same_goal(other) && logs::epoch(self.number) < logs::epoch(other.number)
    }
}
