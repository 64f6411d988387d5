//! Admission at an upstream's own node: slots, connections and a short queue.
//!
//! A call that runs holds one slot and one connection. The shell takes an idle connection before
//! it opens one, so that the connections open to the upstream never outnumber the calls that ran
//! at once, and the one limit of the gate keeps both exactly.

mod foresight;
mod gate;
mod load;
mod queue;
mod service;
#[cfg(test)]
mod tests;
mod width;

use std::time;

use crate::clock;
use crate::retry;

pub use self::gate::Gate;
pub use self::load::{Load, Malformed};

/// Names a call at its gate; never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names a kind of calls at its gate; kinds share what is measured of them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Kind(pub u16);

/// A call at its gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Its name.
    pub ticket: Ticket,
    /// Its kind.
    pub kind: Kind,
    /// Weight of its kind; a heavier call goes first.
    pub weight: u32,
    /// Whether a call that runs already waits for it: work that has begun goes before new work,
    /// whatever the weight, and is not refused for a target of its own.
    pub inner: bool,
    /// Until when an answer has its full worth; the deadline where that makes no difference.
    pub target: clock::Instant,
    /// When its caller gives up.
    pub deadline: clock::Instant,
}

/// Limits of a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Calls that run at once; 0 while there is no upstream.
    pub slots: u16,
    /// Connections open at once.
    pub connections: u16,
    /// Calls that wait.
    pub queue: u16,
}

impl Call {
    /// Its place among calls of different importance; the greatest goes first.
    pub(crate) const fn rank(&self) -> (bool, u32) {
        (self.inner, self.weight)
    }
}

impl Limits {
    /// Calls that may run at once.
    pub const fn concurrency(&self) -> usize {
        let width = if self.slots < self.connections { self.slots } else { self.connections };
        width as usize
    }
}

/// What a gate is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A call came in.
    Arrive(Call),
    /// A call that ran has ended by itself and its slot is free.
    Ended {
        /// Its name.
        ticket: Ticket,
    },
    /// The upstream refused a call by its documented answer although a slot was counted free: it
    /// has fewer slots than it announced, for now at least.
    Shed {
        /// Its name.
        ticket: Ticket,
    },
    /// The caller left or its deadline passed: the call waits no more, and if it ran, it was cut
    /// off and its slot is free.
    Cancelled {
        /// Its name.
        ticket: Ticket,
    },
    /// The limits changed; calls that run already are left alone.
    Limits(Limits),
    /// Nothing new is admitted any more.
    Drain,
    /// Another upstream takes the place of the one that was leaving.
    Resume,
    /// The upstream has started anew: what was learned of it says nothing of its next life.
    Restart,
    /// Time passed; see [`Gate::next_tick`].
    Tick,
}

/// What a gate wants done. Each call that came in gets exactly one of these, unless it is
/// cancelled first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run the call now.
    Run {
        /// Its name.
        ticket: Ticket,
    },
    /// Tell the caller at once that the call did not run. Final.
    Refuse {
        /// Its name.
        ticket: Ticket,
        /// Why.
        reason: retry::Reason,
        /// When a place may be free.
        retry_after: time::Duration,
    },
}
