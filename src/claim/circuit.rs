//! Refusing at once while the log fails, and looking again after a while.

use std::time;

use crate::clock;

/// Pause after a single failure, which may be a lost answer only.
const SHORT: time::Duration = time::Duration::from_millis(20);

/// Pause after the second failure in a row; doubles with each further one.
const FIRST: time::Duration = time::Duration::from_millis(250);

/// Longest pause.
const LONGEST: time::Duration = time::Duration::from_secs(4);

/// Whether the log is worth a try. Open from the second failure in a row on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Circuit {
    /// Failures without a success since.
    failures: u32,
    /// No try before this moment.
    until: clock::Instant,
}

impl Circuit {
    /// Notes a failure and tells whether the circuit is open now.
    pub fn fail(&mut self, now: clock::Instant) -> bool {
        let doublings = self.failures.saturating_sub(1).min(8);
        let long = FIRST.saturating_mul(1 << doublings).min(LONGEST);
        self.until = now + if self.failures == 0 { SHORT } else { long };
        self.failures = self.failures.saturating_add(1);
        self.failures > 1
    }

    /// Notes a success.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Whether a try may be made.
    pub fn ready(&self, now: clock::Instant) -> bool {
        now >= self.until
    }

    /// How long everything is refused; `None` when the circuit is not open.
    pub fn open(&self, now: clock::Instant) -> Option<time::Duration> {
        (self.failures > 1 && now < self.until).then(|| self.until.since(now))
    }

    /// When the next try may be made.
    pub const fn until(&self) -> clock::Instant {
        self.until
    }
}
