//! Admission at an upstream's own node: slots, connections and a short queue.
//!
//! A running call holds one slot and one connection. The caller of the gate reuses an idle
//! connection before it opens a new one, so that there are never more open connections than calls
//! ran at once, and the one limit of the gate bounds both exactly.

mod concurrency;
mod gate;
mod limiter;
mod load;
mod queue;
mod rate;
mod reservation;
mod service_times;
#[cfg(test)]
mod tests;
mod wait_ratio;

use std::time;

use crate::clock;
use crate::retry;

pub use self::gate::{Gate, stagger};
pub use self::load::{Load, Malformed};
pub use self::rate::{Malformed as MalformedRate, Rate};

/// Identifies a call at its gate; never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a kind of calls at its gate; calls of one kind share their measured service time.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Kind(pub u16);

/// Whether a call of this weight is urgent, so that slots are reserved for its like.
pub type IsUrgent = fn(weight: u32) -> bool;

/// A call at its gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifies the call.
    pub ticket: Ticket,
    /// Kind of the call.
    pub kind: Kind,
    /// Weight of its kind; heavier calls run first.
    pub weight: u32,
    /// Whether a running call waits for this one. Such a call runs before new work, whatever its
    /// weight, and is not refused because of its own target.
    pub nested: bool,
    /// Whether its caller was refused before and returns.
    pub returning: bool,
    /// Time by which the answer should come to be on time; equal to the deadline if that makes no
    /// difference.
    pub target: clock::Instant,
    /// When its caller gives up.
    pub deadline: clock::Instant,
}

/// Time until the body of a call is received. The call reaches the gate after that.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Transfer {
    /// For the bytes that come before those of the body.
    pub before: time::Duration,
    /// For the body itself.
    pub own: time::Duration,
}

/// Priority of a call; the highest runs first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// See [`Call::nested`].
    pub nested: bool,
    /// See [`Call::weight`].
    pub weight: u32,
}

/// How much of the limit that an upstream names is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The limit.
    pub rate: Rate,
    /// Calls that may start now.
    pub left: usize,
}

/// Slots that a gate reserves, and the measurements from which it follows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserved {
    /// Slots that are reserved, whether or not calls run there that may take them.
    pub slots: usize,
    /// Arrivals a second of the calls that may take any slot.
    pub per_second: f64,
    /// Mean run time of such calls.
    pub run_time: time::Duration,
}

/// Limits of a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Calls that may run at once; 0 while there is no upstream.
    pub slots: u16,
    /// Connections that may be open at once.
    pub connections: u16,
    /// Calls that may wait.
    pub queue: u16,
}

impl Call {
    /// Priority of the call.
    pub(crate) const fn rank(&self) -> Rank {
        Rank { nested: self.nested, weight: self.weight }
    }

    /// The call with its target and deadline sooner by `time`.
    pub(crate) fn sooner(self, time: time::Duration) -> Self {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let sooner = |end: clock::Instant| {
            clock::Instant::from_micros(end.as_micros().saturating_sub(micros))
        };
        Self { target: sooner(self.target), deadline: sooner(self.deadline), ..self }
    }
}

impl Transfer {
    /// The time as a whole.
    pub const fn total(&self) -> time::Duration {
        self.before.saturating_add(self.own)
    }
}

impl Limits {
    /// Calls that may run at once, by slots and connections.
    pub const fn concurrency(&self) -> usize {
        let min = if self.slots < self.connections { self.slots } else { self.connections };
        min as usize
    }
}

/// An event at a gate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A call came in.
    Arrive(Call),
    /// A running call has ended by itself, and its slot is free.
    Ended {
        /// The call.
        ticket: Ticket,
    },
    /// The upstream refused a call with its documented answer although the gate counted a free
    /// slot: at present it has fewer slots than it announced.
    Shed {
        /// The call.
        ticket: Ticket,
    },
    /// The caller left or its deadline passed: the call no longer waits, or, if it ran, it was
    /// cancelled and its slot is free.
    Cancelled {
        /// The call.
        ticket: Ticket,
    },
    /// The limits changed; running calls continue.
    Limits(Limits),
    /// The upstream names another limit on its calls; `None`: it names none any more.
    Rate(Option<Rate>),
    /// The upstream drains: no more calls are admitted.
    Drain,
    /// Another upstream has replaced the one that was draining.
    Resume,
    /// The upstream has restarted: the measurements of the previous process no longer apply.
    Restart,
    /// Time passed; see [`Gate::next_tick`].
    Tick,
}

/// An action that a gate requests. Each call that came in gets exactly one, unless it is cancelled
/// first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run the call now.
    Run {
        /// The call.
        ticket: Ticket,
    },
    /// Report to the caller at once that the call did not run. This is final.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// Why it is refused.
        reason: retry::Reason,
        /// Time after which there may be room for the call.
        retry_after: time::Duration,
    },
}
