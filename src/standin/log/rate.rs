//! Limits the rate of appends.

use crate::clock;

/// A token bucket that holds one second's worth of appends.
#[derive(Debug)]
pub struct Rate {
    /// Appends per second.
    limit: f64,
    /// Appends that may be made at once, at most `limit`.
    tokens: f64,
    filled: clock::Instant,
}

impl Rate {
    /// A full bucket for `limit` appends per second.
    pub fn new(limit: u32, now: clock::Instant) -> Self {
        let limit = f64::from(limit);
        Self { limit, tokens: limit, filled: now }
    }

    /// Takes a token; `false` if none is left and the append must be refused.
    pub fn take(&mut self, now: clock::Instant) -> bool {
        let gained = now.since(self.filled).as_secs_f64() * self.limit;
        self.tokens = (self.tokens + gained).min(self.limit);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
