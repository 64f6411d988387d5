//! A token bucket that states when its next token is due.

use std::time;

use crate::clock;
use crate::quota;

/// Longest time that a refused caller is told to wait.
const MAX_WAIT: time::Duration = time::Duration::from_secs(60);

/// The tokens of one account.
///
/// Invariant: in any span, the tokens taken are at most those at its beginning, which are at most
/// the capacity, plus the rate times its length.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: quota::Limit,
    /// Share of the limit that applies, above 0 and up to 1.
    share: f64,
    tokens: f64,
    /// Tokens on which refused callers count, in the order in which they were refused.
    booked: f64,
    /// When `tokens` and `booked` were last brought up to date.
    at: clock::Instant,
}

impl Bucket {
    /// A bucket with `tokens`, or with as many as fit.
    pub fn new(limit: quota::Limit, share: f64, tokens: f64, now: clock::Instant) -> Self {
        let mut bucket = Self { limit, share, tokens, booked: 0.0, at: now };
        bucket.tokens = tokens.min(bucket.capacity());
        bucket
    }

    /// Tokens that the bucket holds at most; one call can always be allowed some time.
    fn capacity(&self) -> f64 {
        (self.limit.burst * self.share).max(1.0)
    }

    fn rate(&self) -> f64 {
        self.limit.rate * self.share
    }

    /// Sets the limit and the share of it that apply from now on.
    pub fn set_limit(&mut self, limit: quota::Limit, share: f64, now: clock::Instant) {
        self.refill(now);
        (self.limit, self.share) = (limit, share);
        self.tokens = self.tokens.min(self.capacity());
    }

    fn refill(&mut self, now: clock::Instant) {
        let gained = self.rate() * now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + gained).min(self.capacity());
        self.booked = (self.booked - gained).max(0.0);
    }

    /// Takes up to `count` tokens and returns how many there were.
    pub fn take(&mut self, count: u16, now: clock::Instant) -> u16 {
        self.refill(now);
        // The cast truncates, and saturates.
        let taken = count.min(self.tokens as u16);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts tokens back that were taken and not used.
    pub fn put_back(&mut self, count: u16, now: clock::Instant) {
        self.refill(now);
        self.tokens = (self.tokens + f64::from(count)).min(self.capacity());
    }

    /// Books tokens for `count` calls that are refused, and returns the time until the first of
    /// them is due.
    pub fn book(&mut self, count: u16, now: clock::Instant) -> time::Duration {
        self.refill(now);
        let missing = (self.booked + 1.0 - self.tokens).max(0.0);
        let wait = (missing / self.rate()).min(MAX_WAIT.as_secs_f64());
        let most = self.rate() * MAX_WAIT.as_secs_f64();
        self.booked = (self.booked + f64::from(count)).min(most);
        time::Duration::from_secs_f64(wait)
    }
}
