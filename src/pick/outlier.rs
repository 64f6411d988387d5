//! Ejection of an upstream because of the results of its calls: a circuit breaker with back-off.

use std::time;

use crate::clock;

/// How often the back-off can double.
const MAX_DOUBLINGS: u8 = 10;

/// Settings of a breaker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Consecutive failures that open the breaker.
    pub(super) failures: u8,
    /// Back-off of the first ejection.
    pub(super) base: time::Duration,
    /// Longest back-off.
    pub(super) max: time::Duration,
}

/// State of a breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Calls are sent.
    Closed,
    /// No call is sent before `until`; then one is.
    Open { until: clock::Instant },
    /// One call was sent as a probe; another one may be sent if it has not ended at `until`.
    Probing { until: clock::Instant },
}

/// The breaker of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Breaker {
    state: State,
    /// Consecutive failures while closed.
    failures: u8,
    /// Ejections without a success in between.
    ejections: u8,
}

impl Breaker {
    pub(super) const fn new() -> Self {
        Self { state: State::Closed, failures: 0, ejections: 0 }
    }

    /// Whether a call may be sent.
    pub(super) fn allows_call(&self, now: clock::Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } | State::Probing { until } => until <= now,
        }
    }

    /// Whether the upstream is ejected or probed.
    pub(super) fn is_open(&self) -> bool {
        self.state != State::Closed
    }

    /// When the next call may be sent.
    pub(super) fn next_call_at(&self) -> clock::Instant {
        match self.state {
            State::Closed => clock::Instant::ZERO,
            State::Open { until } | State::Probing { until } => until,
        }
    }

    /// Records that a call was sent; it is the probe of an open breaker whose back-off has passed.
    pub(super) fn started(&mut self, limits: &Limits, now: clock::Instant) {
        if self.state != State::Closed && self.allows_call(now) {
            self.state = State::Probing { until: now + self.back_off(limits) };
        }
    }

    /// Records a success.
    pub(super) fn success(&mut self) {
        self.failures = 0;
        if !matches!(self.state, State::Open { .. }) {
            *self = Self::new();
        }
    }

    /// Records a failure; enough consecutive ones eject the upstream.
    pub(super) fn failure(&mut self, limits: &Limits, now: clock::Instant) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, State::Probing { .. });
        if probing || self.failures >= limits.failures {
            self.eject(limits, now);
        }
    }

    /// Ejects the upstream at once. A current ejection is not extended: calls that were sent before
    /// it fail together and carry no new information.
    pub(super) fn eject(&mut self, limits: &Limits, now: clock::Instant) {
        if matches!(self.state, State::Open { until } if now < until) {
            return;
        }
        self.state = State::Open { until: now + self.back_off(limits) };
        self.ejections = self.ejections.saturating_add(1).min(MAX_DOUBLINGS);
        self.failures = 0;
    }

    fn back_off(&self, limits: &Limits) -> time::Duration {
        limits.base.saturating_mul(1 << self.ejections).min(limits.max)
    }
}
