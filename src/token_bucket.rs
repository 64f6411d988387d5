//! A token bucket that states when its next token is due.

use std::time;

use crate::clock;

/// Longest time that a refused caller is told to wait, unless [`Bucket::max_wait`] sets another.
const MAX_WAIT: time::Duration = time::Duration::from_secs(60);

/// A rate of calls, and how many may be made at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second, above zero.
    pub rate: f64,
    /// Calls that may be made at once beyond the rate.
    pub burst: f64,
}

impl Limit {
    /// The limit of `rate` calls per second with `burst`; `None` if there is no limit.
    pub fn new(rate: f64, burst: u32) -> Option<Self> {
        (rate > 0.0).then(|| Self { rate, burst: f64::from(burst) })
    }
}

/// The tokens of one account.
///
/// Invariant: in any span, the tokens taken are at most those at its beginning, which are at most
/// the capacity, plus the rate times its length.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    /// Share of the limit that applies, above 0 and up to 1.
    share: f64,
    tokens: f64,
    /// Tokens on which refused callers count, in the order in which they were refused.
    booked: f64,
    /// When `tokens` and `booked` were last brought up to date.
    at: clock::Instant,
    max_wait: time::Duration,
}

impl Bucket {
    /// A bucket with `tokens`, or with as many as fit.
    pub fn new(limit: Limit, share: f64, tokens: f64, now: clock::Instant) -> Self {
        let mut bucket = Self { limit, share, tokens, booked: 0.0, at: now, max_wait: MAX_WAIT };
        bucket.tokens = tokens.min(bucket.capacity());
        bucket
    }

    /// Sets the longest time that a refused caller is told to wait.
    #[must_use]
    pub const fn max_wait(mut self, max_wait: time::Duration) -> Self {
        self.max_wait = max_wait;
        self
    }

    /// Tokens that could be taken at `now`.
    pub fn tokens(&self, now: clock::Instant) -> f64 {
        let mut refilled = *self;
        refilled.refill(now);
        refilled.tokens
    }

    /// Tokens that the bucket holds at most; one call can always be allowed some time.
    pub fn capacity(&self) -> f64 {
        (self.limit.burst * self.share).max(1.0)
    }

    fn rate(&self) -> f64 {
        self.limit.rate * self.share
    }

    /// Sets the limit and the share of it that apply from now on.
    pub fn set_limit(&mut self, limit: Limit, share: f64, now: clock::Instant) {
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
        let wait = (missing / self.rate()).min(self.max_wait.as_secs_f64());
        let most = self.rate() * self.max_wait.as_secs_f64();
        self.booked = (self.booked + f64::from(count)).min(most);
        time::Duration::from_secs_f64(wait)
    }
}
