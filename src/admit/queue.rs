//! The calls that wait for a slot: first those that running calls wait for, then the heaviest; among
//! those, each kind oldest first, and of two kinds the call that has to start sooner.

use std::collections;
use std::time;

use crate::admit;
use crate::clock;

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) call: admit::Call,
    /// When it came.
    pub(super) since: clock::Instant,
    /// The wait that was expected when it came.
    pub(super) expected: time::Duration,
}

/// Calls in the order they will run.
///
/// Invariant: ranks never rise from front to back; calls of one kind and rank stand in order of
/// arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: collections::VecDeque<Waiter>,
}

impl Queue {
    /// Where `call` would stand, if it came in now; `start` tells until when a call has to start for
    /// its answer to come before its target.
    ///
    /// A short call with a close target goes before long ones that can wait, until these have to
    /// start too: nobody is overtaken for ever.
    pub(super) fn place(
        &self,
        call: &admit::Call,
        start: impl Fn(&admit::Call) -> clock::Instant,
    ) -> usize {
        let sooner = start(call);
        let yields = |other: &&Waiter| {
            let other = &other.call;
            let peers = other.rank() == call.rank() && other.kind != call.kind;
            other.rank() < call.rank() || (peers && sooner < start(other))
        };
        self.waiters.len() - self.waiters.iter().rev().take_while(yields).count()
    }

    /// Puts `waiter` at `place`.
    pub(super) fn insert(&mut self, place: usize, waiter: Waiter) {
        self.waiters.insert(place, waiter);
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn first(&mut self) -> Option<Waiter> {
        self.waiters.pop_front()
    }

    /// Takes out the waiter that would run last.
    pub(super) fn last(&mut self) -> Option<admit::Call> {
        self.waiters.pop_back().map(|waiter| waiter.call)
    }

    pub(super) fn remove(&mut self, ticket: admit::Ticket) -> Option<admit::Call> {
        self.take(|waiter| waiter.ticket == ticket)
    }

    /// The waiters from front to back.
    pub(super) fn iter(&self) -> impl Iterator<Item = &admit::Call> {
        self.waiters.iter().map(|waiter| &waiter.call)
    }

    /// Takes out the first waiter, from the front, of which `lost` holds.
    pub(super) fn take(&mut self, lost: impl FnMut(&admit::Call) -> bool) -> Option<admit::Call> {
        let index = self.iter().position(lost)?;
        self.waiters.remove(index).map(|waiter| waiter.call)
    }
}
