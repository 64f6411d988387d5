//! The calls that wait for a slot, heaviest first, then oldest first.

use std::collections;

use crate::admit;

/// admit::Calls in the order they will run.
///
/// Invariant: weights never rise from front to back; equal weights stand in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: collections::VecDeque<admit::Call>,
}

impl Queue {
    /// Where a newcomer of `weight` would stand.
    pub(super) fn place(&self, weight: u32) -> usize {
        self.waiters.partition_point(|w| w.weight >= weight)
    }

    pub(super) fn insert(&mut self, waiter: admit::Call) {
        self.waiters.insert(self.place(waiter.weight), waiter);
    }

    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(super) fn first(&mut self) -> Option<admit::Call> {
        self.waiters.pop_front()
    }

    /// Takes out the waiter that would run last.
    pub(super) fn last(&mut self) -> Option<admit::Call> {
        self.waiters.pop_back()
    }

    pub(super) fn remove(&mut self, ticket: admit::Ticket) -> Option<admit::Call> {
        let index = self.waiters.iter().position(|w| w.ticket == ticket)?;
        self.waiters.remove(index)
    }

    /// The waiters from front to back.
    pub(super) fn iter(&self) -> impl Iterator<Item = &admit::Call> {
        self.waiters.iter()
    }

    /// Takes out the first waiter, from the front, of which `lost` holds.
    pub(super) fn take(&mut self, lost: impl FnMut(&admit::Call) -> bool) -> Option<admit::Call> {
        let index = self.waiters.iter().position(lost)?;
        self.waiters.remove(index)
    }
}
