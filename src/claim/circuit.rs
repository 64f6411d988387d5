//! Circuit breaker for requests to the log: it refuses at once while the log fails.

use std::time;

use crate::clock;

/// Pause after a single failure, which may be no more than a lost answer.
const SINGLE_FAILURE_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Pause after the second failure in a row; it doubles with each further failure.
const INITIAL_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Upper bound of the pause.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(4);

/// The state of the breaker. It opens at the second failure in a row and stays open for the pause.
#[derive(Clone, Copy, Debug, Default)]
pub struct Circuit {
    /// Failures since the last success.
    failures: u32,
    /// No request is made before this moment.
    until: clock::Instant,
}

impl Circuit {
    /// Records a failure and returns whether the circuit is open now.
    pub fn fail(&mut self, now: clock::Instant) -> bool {
        let doublings = self.failures.saturating_sub(1).min(8);
        let pause = INITIAL_PAUSE.saturating_mul(1 << doublings).min(MAX_PAUSE);
        self.until = now + if self.failures == 0 { SINGLE_FAILURE_PAUSE } else { pause };
        self.failures = self.failures.saturating_add(1);
        self.failures > 1
    }

    /// Records a success, which closes the circuit.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Whether a request may be made now.
    pub fn ready(&self, now: clock::Instant) -> bool {
        now >= self.until
    }

    /// How long requests are still refused; `None` when the circuit is not open.
    pub fn open_for(&self, now: clock::Instant) -> Option<time::Duration> {
        (self.failures > 1 && now < self.until).then(|| self.until.since(now))
    }

    /// When the next request may be made.
    pub const fn next_attempt(&self) -> clock::Instant {
        self.until
    }
}
