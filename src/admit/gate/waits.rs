//! How long calls wait at a gate, and which of them would wait too long.

use std::time;

use crate::admit;
use crate::admit::gate;
use crate::clock;

impl gate::Gate {
    /// The time by which `waiter` has to start, or else is refused.
    pub(super) fn latest_start(&self, waiter: &admit::Call) -> clock::Instant {
        let min =
            u64::try_from(self.times.min_remaining(waiter.kind).as_micros()).unwrap_or(u64::MAX);
        clock::Instant::from_micros(waiter.deadline.as_micros().saturating_sub(min))
    }

    /// Removes a waiter that can't meet its deadline.
    pub(super) fn remove_too_late(&mut self, now: clock::Instant) -> Option<admit::Call> {
        let since_last_start = self.since_last_start(now);
        let work = self.running_time(since_last_start);
        let (slots, shared) = (self.slots(), self.shared_slots(now));
        let (times, reservation) = (&self.times, &self.reservation);
        // The work before a call that may take any slot, and before one that may not.
        let (mut urgent, mut all) = (work, work);
        self.queue.remove_first(|waiter| {
            let takes_any = reservation.takes_any_slot(waiter);
            let wait = if takes_any && shared < slots { urgent / slots } else { all / shared };
            let run = times.mean(waiter.kind).max(since_last_start);
            all += run;
            if takes_any {
                urgent += run;
            }
            times.misses(waiter.kind, waiter.deadline, wait, now)
        })
    }

    /// Whether a call that is queued at `position` can't meet its deadline.
    pub(super) fn misses_deadline(
        &self,
        position: usize,
        waiter: &admit::Call,
        now: clock::Instant,
    ) -> bool {
        let wait = self.expected_wait(position, waiter, now);
        self.times.misses(waiter.kind, waiter.deadline, wait, now)
    }

    /// Time until a slot that `call` may use is free if it is queued at `position`, counted from 0.
    pub(super) fn expected_wait(
        &self,
        position: usize,
        call: &admit::Call,
        now: clock::Instant,
    ) -> time::Duration {
        let slots = self.slots();
        if self.takes_any_slot(call) && self.shared_slots(now) < slots {
            let before = self.queue.iter().take(position);
            self.wait_behind(before.filter(|w| self.takes_any_slot(w)), slots, now)
        } else {
            self.shared_wait(position, now)
        }
    }

    /// Time until a slot is free that any call may use, behind the first `position` waiting calls.
    pub(super) fn shared_wait(&self, position: usize, now: clock::Instant) -> time::Duration {
        self.wait_behind(self.queue.iter().take(position), self.shared_slots(now), now)
    }

    /// Time until one of `slots` is free behind the running calls and those of `ahead`.
    pub(super) fn wait_behind<'a>(
        &self,
        ahead: impl Iterator<Item = &'a admit::Call>,
        slots: u32,
        now: clock::Instant,
    ) -> time::Duration {
        let since_last_start = self.since_last_start(now);
        let ahead: time::Duration =
            ahead.map(|w| self.times.mean(w.kind).max(since_last_start)).sum();
        (self.running_time(since_last_start) + ahead) / slots
    }

    /// Mean service time of the running calls, at least `since_last_start`: the service time of
    /// calls that hang is not measured.
    pub(super) fn running_time(&self, since_last_start: time::Duration) -> time::Duration {
        let work: time::Duration = self.running.iter().map(|r| self.times.mean(r.kind)).sum();
        let calls = u32::try_from(self.running.len().max(1)).unwrap_or(u32::MAX);
        (work / calls).max(since_last_start)
    }

    /// All slots, at least one.
    pub(super) fn slots(&self) -> u32 {
        u32::try_from(self.concurrency.get().max(1)).unwrap_or(u32::MAX)
    }

    /// Slots that any call may use, at least one.
    pub(super) fn shared_slots(&self, now: clock::Instant) -> u32 {
        let reserved = u32::try_from(self.reserved(now).slots).unwrap_or(u32::MAX);
        self.slots().saturating_sub(reserved).max(1)
    }

    /// Time since a call last started; zero if none runs.
    pub(super) fn since_last_start(&self, now: clock::Instant) -> time::Duration {
        self.running.iter().map(|r| now.since(r.since)).min().unwrap_or_default()
    }
}
