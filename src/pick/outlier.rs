//! Ejection of one upstream by the results of its calls: a circuit breaker with back-off.

use std::time;

use crate::clock;

/// Doublings after which the back-off grows no more.
const DOUBLINGS: u8 = 10;

/// Limits of a breaker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Failures in a row that open it.
    pub(super) after: u8,
    /// Back-off of the first ejection.
    pub(super) base: time::Duration,
    /// Longest back-off.
    pub(super) most: time::Duration,
}

/// Where a breaker stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Calls pass.
    Closed,
    /// No call passes before the instant; then one does.
    Open { until: clock::Instant },
    /// One call probes; another one may when it has not ended by the instant.
    Probing { until: clock::Instant },
}

/// The breaker of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Breaker {
    state: State,
    /// Failures in a row while closed.
    failures: u8,
    /// Ejections in a row without a success between them.
    ejections: u8,
}

impl Breaker {
    pub(super) const fn new() -> Self {
        Self { state: State::Closed, failures: 0, ejections: 0 }
    }

    /// Whether a call may be sent.
    pub(super) fn passes(&self, now: clock::Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } | State::Probing { until } => until <= now,
        }
    }

    /// Whether it is not closed.
    pub(super) fn is_open(&self) -> bool {
        self.state != State::Closed
    }

    /// When the next call passes.
    pub(super) fn opens(&self) -> clock::Instant {
        match self.state {
            State::Closed => clock::Instant::ZERO,
            State::Open { until } | State::Probing { until } => until,
        }
    }

    /// Notes that a call was sent: it is the probe of an open breaker whose back-off is over.
    pub(super) fn started(&mut self, limits: &Limits, now: clock::Instant) {
        if self.state != State::Closed && self.passes(now) {
            self.state = State::Probing { until: now + self.back_off(limits) };
        }
    }

    /// Notes a good result.
    pub(super) fn success(&mut self) {
        self.failures = 0;
        if !matches!(self.state, State::Open { .. }) {
            *self = Self::new();
        }
    }

    /// Notes a failure; enough of them in a row eject.
    pub(super) fn failure(&mut self, limits: &Limits, now: clock::Instant) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, State::Probing { .. });
        if probing || self.failures >= limits.after {
            self.eject(limits, now);
        }
    }

    /// Ejects at once. An ejection that runs already is left as it is: calls sent before it
    /// fail together and say nothing new.
    pub(super) fn eject(&mut self, limits: &Limits, now: clock::Instant) {
        if matches!(self.state, State::Open { until } if now < until) {
            return;
        }
        self.state = State::Open { until: now + self.back_off(limits) };
        self.ejections = self.ejections.saturating_add(1).min(DOUBLINGS);
        self.failures = 0;
    }

    fn back_off(&self, limits: &Limits) -> time::Duration {
        limits.base.saturating_mul(1 << self.ejections).min(limits.most)
    }
}
