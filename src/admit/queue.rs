//! The calls that wait for a slot. Nested calls, for which running calls wait, come first, then the
//! heaviest ones. Among calls of the same rank those of one kind are in order of arrival, and of
//! two kinds the call that has to start sooner comes first.

use std::collections;
use std::time;

use crate::admit;
use crate::clock;

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) call: admit::Call,
    /// When it was queued.
    pub(super) since: clock::Instant,
    /// The wait that was expected when it was queued.
    pub(super) expected: time::Duration,
}

/// Calls in the order in which they will run.
///
/// Invariant: ranks never rise from front to back; calls of one kind and rank are in order of
/// arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: collections::VecDeque<Waiter>,
}

impl Queue {
    /// The position that `call` would get now. `start_by` returns the time by which a call has to
    /// start for its answer to come before its target.
    ///
    /// A short call with a close target is placed before long calls that can wait, until these have
    /// to start as well, so that no call is overtaken for ever.
    pub(super) fn position(
        &self,
        call: &admit::Call,
        start_by: impl Fn(&admit::Call) -> clock::Instant,
    ) -> usize {
        let own = start_by(call);
        let yields = |other: &&Waiter| {
            let other = &other.call;
            let peers = other.rank() == call.rank() && other.kind != call.kind;
            other.rank() < call.rank() || (peers && own < start_by(other))
        };
        self.waiters.len() - self.waiters.iter().rev().take_while(yields).count()
    }

    /// Inserts `waiter` at `position`.
    pub(super) fn insert(&mut self, position: usize, waiter: Waiter) {
        self.waiters.insert(position, waiter);
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Removes the waiter that would run next.
    pub(super) fn pop_front(&mut self) -> Option<Waiter> {
        self.waiters.pop_front()
    }

    /// Removes the waiter that would run last.
    pub(super) fn pop_back(&mut self) -> Option<admit::Call> {
        self.waiters.pop_back().map(|waiter| waiter.call)
    }

    pub(super) fn remove(&mut self, ticket: admit::Ticket) -> Option<admit::Call> {
        self.remove_first(|waiter| waiter.ticket == ticket)
    }

    /// The waiters from front to back.
    pub(super) fn iter(&self) -> impl Iterator<Item = &admit::Call> {
        self.waiters.iter().map(|waiter| &waiter.call)
    }

    /// Removes the first waiter, from the front, that `matches`.
    pub(super) fn remove_first(
        &mut self,
        matches: impl FnMut(&admit::Call) -> bool,
    ) -> Option<admit::Call> {
        self.remove_waiter(matches).map(|waiter| waiter.call)
    }

    /// Removes the first waiter that `matches`, with what was recorded when its call was queued.
    pub(super) fn remove_waiter(
        &mut self,
        matches: impl FnMut(&admit::Call) -> bool,
    ) -> Option<Waiter> {
        let index = self.iter().position(matches)?;
        self.waiters.remove(index)
    }
}
