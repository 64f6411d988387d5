//! Keeps the calls to an upstream within the limit that it names.

use std::collections;
use std::time;

use crate::admit;
use crate::clock;
use crate::token_bucket;

#[cfg(test)]
mod tests;

/// Time at the limit after which unused calls no longer add up.
const BURST_TIME: time::Duration = time::Duration::from_secs(1);

/// Share of the burst that calls leave to more urgent ones.
const RESERVED_SHARE: f64 = 0.5;

/// How long a rank counts as in use after a call of it came.
const RANK_IN_USE: time::Duration = time::Duration::from_secs(1);

/// How far ahead refused callers are given times of their own. Most callers don't return later.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// How long room is kept for a refused caller after the time that it was given.
const KEPT_TIME: time::Duration = time::Duration::from_millis(250);

/// Maximum number of callers for which room is kept.
const MAX_KEPT: usize = 64;

/// Admits the calls that fit into a limit. In any span, at most the calls of [`BURST_TIME`] and
/// those of the span itself start.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    rate: admit::Rate,
    bucket: token_bucket::Bucket,
    /// The highest rank in use, and when a call of it last came.
    top: (admit::Rank, clock::Instant),
    /// The times that refused callers were given, in ascending order, and the ranks of their calls.
    given: collections::VecDeque<(clock::Instant, admit::Rank)>,
}

impl Limiter {
    /// A limiter that admits nothing yet: the calls that started before the limit was known have
    /// used it up.
    pub(super) fn new(rate: admit::Rate, now: clock::Instant) -> Self {
        let bucket = token_bucket::Bucket::new(limit(rate), 1.0, 0.0, now);
        let bucket = bucket.max_wait(MAX_RETRY_AFTER);
        let top = (admit::Rank::default(), now);
        Self { rate, bucket, top, given: collections::VecDeque::new() }
    }

    pub(super) const fn rate(&self) -> admit::Rate {
        self.rate
    }

    /// Applies a new rate from `now` on.
    pub(super) fn set_rate(&mut self, rate: admit::Rate, now: clock::Instant) {
        self.rate = rate;
        self.bucket.set_limit(limit(rate), 1.0, now);
    }

    /// Records that a call of `rank` came.
    pub(super) fn arrived(&mut self, rank: admit::Rank, now: clock::Instant) {
        if rank >= self.top.0 || now.since(self.top.1) > RANK_IN_USE {
            self.top = (rank, now);
        }
    }

    /// Calls that may start now.
    pub(super) fn available(&self, now: clock::Instant) -> usize {
        // The cast truncates, and saturates.
        self.bucket.tokens(now) as usize
    }

    /// Calls like `call` that may start now; some are left to more urgent ones, and to refused
    /// callers of at least its rank whose time has come.
    pub(super) fn available_to(&self, call: &admit::Call, now: clock::Instant) -> usize {
        let kept = if call.returning { 0 } else { self.kept(call.rank(), now) };
        let left = self.reserved(call.rank(), now) + kept as f64;
        (self.bucket.tokens(now) - left) as usize
    }

    /// Records that `call` starts.
    pub(super) fn start(&mut self, call: &admit::Call, now: clock::Instant) {
        self.bucket.take(1, now);
        self.drop_expired(now);
        if call.returning {
            let own = self.given.iter().position(|(at, rank)| *at <= now && *rank == call.rank());
            own.and_then(|own| self.given.remove(own));
        }
    }

    /// Time after which the refused caller of `call` will find room. Callers are given different
    /// times, one after the other.
    pub(super) fn book(&mut self, call: &admit::Call, now: clock::Instant) -> time::Duration {
        let reserved = self.rate.time_of(self.reserved(call.rank(), now));
        let wait = (self.bucket.book(1, now) + reserved).min(MAX_RETRY_AFTER);
        self.drop_expired(now);
        if self.given.len() < MAX_KEPT && wait < MAX_RETRY_AFTER {
            let at = now + wait;
            let index = self.given.partition_point(|(other, _)| *other <= at);
            self.given.insert(index, (at, call.rank()));
        }
        wait
    }

    /// Drops the times that were given too long ago for room to be kept.
    fn drop_expired(&mut self, now: clock::Instant) {
        while self.given.front().is_some_and(|(at, _)| now.since(*at) > KEPT_TIME) {
            self.given.pop_front();
        }
    }

    /// Refused callers of `rank` or a higher one whose time has come.
    fn kept(&self, rank: admit::Rank, now: clock::Instant) -> usize {
        let has_come = |at: clock::Instant| at <= now && now.since(at) <= KEPT_TIME;
        self.given.iter().filter(|(at, own)| has_come(*at) && *own >= rank).count()
    }

    /// Calls that one of `rank` leaves to more urgent ones. A burst of one call is for everybody.
    fn reserved(&self, rank: admit::Rank, now: clock::Instant) -> f64 {
        let (top, at) = self.top;
        let yields = rank < top && now.since(at) <= RANK_IN_USE;
        let burst = self.bucket.capacity();
        if yields { (burst * RESERVED_SHARE).min(burst - 1.0) } else { 0.0 }
    }
}

/// The limit of the token bucket for `rate`.
fn limit(rate: admit::Rate) -> token_bucket::Limit {
    let rate = rate.max(admit::Rate::MIN);
    token_bucket::Limit { rate: rate.per_second(), burst: rate.calls_in(BURST_TIME) }
}
