//! Limits on the calls that an organisation makes over all nodes together.
//!
//! One host keeps the account of an organisation: its *holder*, chosen by rendezvous hashing over
//! the hosts that a node can reach, so that no election is needed. The holder has a token bucket
//! with the organisation's limit and lends credits out of it; an entry node needs one credit for
//! each call of a caller. Entry nodes borrow ahead of the demand that they see, so that most calls
//! find a credit.
//!
//! Calls of an organisation never exceed what holders lend plus what entry nodes allow themselves
//! while no holder answers. Both are bounded:
//!
//! - A holder fills its bucket at the share of the rate that corresponds to the share of the known
//!   hosts that it reaches, so that the holders on both sides of a partition together keep to the
//!   limit.
//! - A credit expires after [`Tolerance::lifetime`], so that hoarded credits stay within a quarter
//!   of what is tolerated.
//! - A new holder lends nothing for [`HANDOVER`], until other nodes have noticed the change, and
//!   starts with an almost empty bucket.
//! - An entry node without an answer allows its calls one host's share of the rate.
//!
//! | state | decisions |
//! |---|---|
//! | tokens of one account | [`token_bucket`](crate::token_bucket) |
//! | the accounts that a host keeps | [`holder`] |
//! | the credits of an entry node | [`borrower`] |
//! | who holds which account | [`roster`] |
//! | messages | [`wire`] |

use std::time;

use prometheus_client::metrics::counter;
use serde::{Deserialize, Serialize};

use crate::configs;

pub use crate::token_bucket::Limit;

pub mod borrower;
pub mod holder;
pub mod roster;
pub mod wire;

#[cfg(test)]
mod tests;

/// How long a new holder waits before it lends, counted from the last change of the hosts that it
/// reaches. Membership spreads such a change to all hosts in less.
pub const HANDOVER: time::Duration = time::Duration::from_secs(1);

/// Bounds of the time for which a credit is valid: below, the credit would expire on the way; above,
/// credits would be lent to nodes whose demand has ended.
const LIFETIMES: [time::Duration; 2] =
    [time::Duration::from_millis(50), time::Duration::from_secs(2)];

/// What is tolerated is divided evenly among credits that are lent, the start of a new holder, entry
/// nodes without a holder, and the time that news of a change takes.
const TOLERANCE_PARTS: f64 = 4.0;

/// Identifies an organisation in messages between nodes, whose configurations may differ: a hash of
/// its name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct OrganisationId([u8; 8]);

impl OrganisationId {
    /// The identifier of the organisation named `name`.
    pub fn of(name: &str) -> Self {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        Self(bytes)
    }

    const fn number(self) -> u64 {
        u64::from_le_bytes(self.0)
    }
}

/// Counts since the start of the process, over all organisations.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Calls that got a credit.
    pub allowed: counter::Counter,
    /// Calls that were refused because their organisation had reached its limit.
    pub refused: counter::Counter,
    /// Requests for credits that were sent to other nodes.
    pub asked: counter::Counter,
    /// Requests of other nodes that this node answered as a holder.
    pub answered: counter::Counter,
    /// Calls without a valid API key.
    pub unauthenticated: counter::Counter,
}

/// By how much a limit may be exceeded in any span of `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the spans.
    pub window: time::Duration,
    /// Share of the limit, between 0 and 1.
    pub over: f64,
    /// Calls beyond that share.
    pub slack: f64,
}

impl Tolerance {
    /// The tolerance of the settings.
    pub fn new(settings: &configs::quota::Quota) -> Self {
        Self {
            window: time::Duration::from_secs(settings.window_s),
            over: settings.over_share.clamp(0.0, 1.0),
            slack: f64::from(settings.slack),
        }
    }

    /// Calls beyond `limit` that one of four causes may add to a span: credits that are lent, the
    /// start of a new holder, entry nodes without a holder, and the time that news takes.
    pub fn part(&self, limit: Limit) -> f64 {
        let allowed = limit.rate * self.window.as_secs_f64() + limit.burst;
        (self.over * allowed + self.slack) / TOLERANCE_PARTS
    }

    /// How long a credit of an organisation with `limit` is valid. All credits that are valid at the
    /// beginning of a span were lent within this time before it.
    pub fn lifetime(&self, limit: Limit) -> time::Duration {
        let [min, max] = LIFETIMES;
        let seconds = self.part(limit) / limit.rate;
        time::Duration::from_secs_f64(seconds.min(max.as_secs_f64())).max(min)
    }
}
