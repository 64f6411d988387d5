//! How many calls an upstream is believed to run at once.

use crate::admit;

/// Full turns of the slots without a shed answer after which one more call is tried.
const TURNS: u32 = 8;

/// The announced width, lowered when the upstream sheds below it and raised again step by step.
///
/// Invariant: at least 1 and at most the announced width, but 0 when that is 0.
#[derive(Clone, Copy, Debug)]
pub(super) struct Width {
    announced: usize,
    learned: usize,
    /// Calls that ended since the last change.
    ended: u32,
}

impl Width {
    pub(super) const fn new(limits: &admit::Limits) -> Self {
        Self { announced: limits.width(), learned: limits.width(), ended: 0 }
    }

    /// Calls that may run at once.
    pub(super) const fn get(&self) -> usize {
        self.learned
    }

    /// Takes in new limits; what was learned is kept when the announced width stays.
    pub(super) fn announce(&mut self, limits: &admit::Limits) {
        if limits.width() != self.announced {
            *self = Self::new(limits);
        }
    }

    /// Notes that the upstream shed a call while `others` ran.
    pub(super) fn shed(&mut self, others: usize) {
        self.learned = self.learned.min(others).max(self.announced.min(1));
        self.ended = 0;
    }

    /// Notes that a call ended by itself.
    pub(super) fn ended(&mut self) {
        self.ended += 1;
        let turns = u32::try_from(self.learned).unwrap_or(u32::MAX).saturating_mul(TURNS);
        if self.ended >= turns {
            self.learned = (self.learned + 1).min(self.announced);
            self.ended = 0;
        }
    }
}
