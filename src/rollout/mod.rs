//! Moving a service's calls to another version of its upstreams, a small share first.
//!
//! An operator orders a move; upstreams of the new version start beside those of the old one. Every
//! entry follows the order by itself, from what it reads in the configuration and in the view of the
//! hosts: no agreement is needed, and one that knows nothing of an order sends the new version nothing
//! ([`plan`]). The nodes beside new upstreams count what these answer; the counts travel with the
//! membership, and each node compares them with what it sees of the old version ([`judge`]).

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

pub use self::counts::{AnswerCounts, TrialReport};
pub use self::plan::{Plan, Stage, VersionGroup};
pub use self::table::Table;

/// An operator's order to move a service to a version of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Number of the order: one that comes later has a higher one, also for the same version.
    pub number: u64,
    /// The version that is to serve in the end.
    pub version: SmolStr,
    /// Time within which the move is to end.
    pub within: time::Duration,
}

impl Order {
    /// Whether `other` asks for the same.
    pub fn has_same_goal(&self, other: &Self) -> bool {
        self.version == other.version && self.within == other.within
    }

    /// Whether `other` is this order, read again from a log that came back from an older copy.
    fn is_reread_as(&self, other: &Self) -> bool {
        self.has_same_goal(other) && logs::epoch(self.number) < logs::epoch(other.number)
    }
}
