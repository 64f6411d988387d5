//! How many calls may run at an upstream at once.

use crate::admit;

/// Rounds without a shed call after which the limit is raised by one. In a round as many calls end
/// as may run at once.
const RAISE_ROUNDS: u32 = 8;

/// Rounds for which a window counts. The observations of a window are used until the next one has
/// ended, too.
const WINDOW_ROUNDS: u32 = 2;

/// The announced limit, lowered when the upstream sheds calls below it and raised again step by
/// step.
///
/// Fewer calls at once do not help an upstream that sheds calls at random. A shed call therefore
/// lowers the limit only if no call was recently served beside as many others. Otherwise, with half
/// of the calls shed at random, the limit would fall from 9 to 1, and 96 of 2000 calls would be
/// served instead of 843; see the test `an_upstream_that_sheds_at_random_keeps_its_limit`.
///
/// Invariant: at least 1 and at most the announced limit, or 0 if that is 0.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    announced: usize,
    learned: usize,
    /// Calls that ended since the last change.
    ended: u32,
    current: Window,
    previous: Window,
}

/// Observations of the calls that ended in a window, shed ones included.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// The highest number of calls that ran at once at the start of a call that was served.
    served: usize,
    /// Whether a call was shed beside fewer calls than were served at once.
    shed_at_random: bool,
    ended: u32,
}

impl Limit {
    pub(super) fn new(limits: &admit::Limits) -> Self {
        let announced = limits.concurrency();
        let (current, previous) = (Window::default(), Window::default());
        Self { announced, learned: announced, ended: 0, current, previous }
    }

    /// Calls that may run at once.
    pub(super) const fn get(&self) -> usize {
        self.learned
    }

    /// Applies new limits; the learned limit is kept if the announced one stays the same.
    pub(super) fn announce(&mut self, limits: &admit::Limits) {
        if limits.concurrency() != self.announced {
            *self = Self::new(limits);
        }
    }

    /// Records that the upstream shed a call while `others` ran.
    pub(super) fn shed(&mut self, others: usize) {
        // An upstream that runs no other call has a free slot, so it sheds at random.
        if others == 0 || others < self.current.served.max(self.previous.served) {
            self.current.shed_at_random = true;
            self.learned = self.announced;
        } else if !self.current.shed_at_random && !self.previous.shed_at_random {
            self.learned = self.learned.min(others);
        }
        self.ended = 0;
        self.count();
    }

    /// Records that a call ended that began while `others` ran and that was not shed.
    pub(super) fn ended(&mut self, others: usize) {
        self.current.served = self.current.served.max(others + 1);
        self.ended += 1;
        if self.ended >= self.rounds(RAISE_ROUNDS) {
            self.learned = (self.learned + 1).min(self.announced);
            self.ended = 0;
        }
        self.count();
    }

    fn count(&mut self) {
        self.current.ended += 1;
        if self.current.ended >= self.rounds(WINDOW_ROUNDS) {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    /// Calls that end in `rounds` rounds.
    fn rounds(&self, rounds: u32) -> u32 {
        u32::try_from(self.learned).unwrap_or(u32::MAX).saturating_mul(rounds)
    }
}
