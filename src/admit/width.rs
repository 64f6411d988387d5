//! How many calls an upstream is believed to run at once.

use crate::admit;

/// Full turns of the slots without a shed answer after which one more call is tried.
const TURNS: u32 = 8;

/// Full turns of the slots for which what was seen of the upstream is remembered, once over and
/// once more while the next ones pass.
const SPAN_TURNS: u32 = 2;

/// The announced width, lowered when the upstream sheds below it and raised again step by step.
///
/// An upstream that sheds at random, however few calls it runs, is not helped by fewer: a shed
/// answer tells a limit only if no call was lately served beside as many others. With half of the
/// calls shed at random the width would fall from 9 to 1, and 96 of 2000 calls be served in
/// place of 843 (virtual time, the test `an_upstream_that_sheds_at_random_keeps_its_width`).
///
/// Invariant: at least 1 and at most the announced width, but 0 when that is 0.
#[derive(Clone, Copy, Debug)]
pub(super) struct Width {
    announced: usize,
    learned: usize,
    /// Calls that ended since the last change.
    ended: u32,
    now: Span,
    before: Span,
}

/// What was seen while some calls ended, shed ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Span {
    /// Most calls that ran at once when one began that was served.
    served: usize,
    /// Whether a call was shed beside fewer than were served at once.
    random: bool,
    ended: u32,
}

impl Width {
    pub(super) fn new(limits: &admit::Limits) -> Self {
        let width = limits.concurrency();
        let (now, before) = (Span::default(), Span::default());
        Self { announced: width, learned: width, ended: 0, now, before }
    }

    /// Calls that may run at once.
    pub(super) const fn get(&self) -> usize {
        self.learned
    }

    /// Takes in new limits; what was learned is kept when the announced width stays.
    pub(super) fn announce(&mut self, limits: &admit::Limits) {
        if limits.concurrency() != self.announced {
            *self = Self::new(limits);
        }
    }

    /// Notes that the upstream shed a call while `others` ran.
    pub(super) fn shed(&mut self, others: usize) {
        // Whoever runs nothing has a slot free.
        if others == 0 || others < self.now.served.max(self.before.served) {
            self.now.random = true;
            self.learned = self.announced;
        } else if !self.now.random && !self.before.random {
            self.learned = self.learned.min(others);
        }
        self.ended = 0;
        self.count();
    }

    /// Notes that a call ended by itself that had begun while `others` ran.
    pub(super) fn ended(&mut self, others: usize) {
        self.now.served = self.now.served.max(others + 1);
        self.ended += 1;
        if self.ended >= self.turns(TURNS) {
            self.learned = (self.learned + 1).min(self.announced);
            self.ended = 0;
        }
        self.count();
    }

    fn count(&mut self) {
        self.now.ended += 1;
        if self.now.ended >= self.turns(SPAN_TURNS) {
            self.before = std::mem::take(&mut self.now);
        }
    }

    /// Calls that end in so many full turns of the slots.
    fn turns(&self, turns: u32) -> u32 {
        u32::try_from(self.learned).unwrap_or(u32::MAX).saturating_mul(turns)
    }
}
