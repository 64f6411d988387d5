//! The share of calls that a node admits, controlled by the standing delay.
//!
//! An admitted call stays in the node for several task wake-ups, so that the delay shows the effect
//! of the share late. The share therefore changes mostly with the growth of the delay, and little
//! with its height. When a long queue has gone, the share returns at once to the value at which the
//! queue stopped growing; a search from the bottom would leave the CPU idle for a second or more.

use std::collections;
use std::time;

use crate::clock;

/// Minimum share of calls that is admitted, so that the node notices when the overload ends.
pub const MIN_SHARE: f64 = 0.05;

/// Change of the share's logarithm by one update for each threshold between the delay and the
/// threshold: the share doubles in seven updates without delay.
const HEIGHT_GAIN: f64 = 0.1;

/// Change of the share's logarithm by one update for each threshold by which the delay has changed
/// since the last one. It damps the swing of the share: at four times the load, 0.96 to 1.0 of the
/// capacity are used with 0.1, 0.997 to 1.0 with 0.4, and 0.88 to 1.0 with 0.8 (trials in virtual
/// time).
const GROWTH_GAIN: f64 = 0.4;

/// Maximum number of thresholds that count as the height or the growth of the delay.
const MAX_THRESHOLDS: f64 = 10.0;

/// Minimum factor of the share in one update: an overload of eight times is met after two.
const MIN_FACTOR: f64 = 0.25;

/// Maximum factor of the share in one update.
const MAX_FACTOR: f64 = 1.1;

/// A queue counts as long if its delay was at least this many thresholds.
const LONG_QUEUE: f64 = 2.0;

/// Age of the calls that determine how the delay changes, in delays: a third of the task wake-ups
/// of a call in a node.
const AGE_IN_DELAYS: u32 = 2;

/// Maximum number of values in memory: those of three seconds.
const MAX_HISTORY: usize = 30;

/// The longest delay since the delay exceeded the threshold.
#[derive(Clone, Copy, Debug)]
struct Peak {
    at: clock::Instant,
    delay: time::Duration,
}

/// The share of calls that a node admits.
#[derive(Clone, Debug)]
pub struct Share {
    threshold: time::Duration,
    /// From [`MIN_SHARE`] to 1.
    value: f64,
    /// The delay at the last update.
    delay: time::Duration,
    /// `None` while the delay is not above the threshold.
    peak: Option<Peak>,
    /// When the latest values were set, oldest first; at most [`MAX_HISTORY`].
    history: collections::VecDeque<(clock::Instant, f64)>,
}

impl Share {
    /// A share of 1 that falls while the delay is above `threshold`.
    pub fn new(threshold: time::Duration) -> Self {
        Self {
            threshold,
            value: 1.0,
            delay: time::Duration::ZERO,
            peak: None,
            history: collections::VecDeque::new(),
        }
    }

    /// The share, from [`MIN_SHARE`] to 1.
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// The delay at the last update.
    pub const fn delay(&self) -> time::Duration {
        self.delay
    }

    /// Applies the standing delay at `now`.
    pub fn update(&mut self, delay: time::Duration, now: clock::Instant) {
        let next = match self.ended_peak(delay, now) {
            Some(peak) if self.thresholds(peak.delay) >= LONG_QUEUE => {
                self.value.max(self.before(peak))
            }
            _ => self.value * self.factor(delay),
        };
        self.value = next.clamp(MIN_SHARE, 1.0);
        self.delay = delay;
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.value));
    }

    /// `delay` in thresholds.
    fn thresholds(&self, delay: time::Duration) -> f64 {
        delay.as_secs_f64() / self.threshold.as_secs_f64()
    }

    /// Follows the longest delay. Returns it once the delay is no longer above the threshold.
    fn ended_peak(&mut self, delay: time::Duration, now: clock::Instant) -> Option<Peak> {
        if delay <= self.threshold {
            return self.peak.take();
        }
        if self.peak.is_none_or(|peak| delay > peak.delay) {
            self.peak = Some(Peak { at: now, delay });
        }
        None
    }

    /// The share of the calls whose work the node did when the delay had its peak.
    fn before(&self, peak: Peak) -> f64 {
        let age = peak.delay * AGE_IN_DELAYS;
        let in_force = self.history.iter().rev().find(|(set, _)| peak.at.since(*set) >= age);
        in_force.or(self.history.front()).map_or(MIN_SHARE, |(_, value)| *value)
    }

    /// The factor by which `delay` changes the share. It is not above 1 while `delay` is above the
    /// threshold.
    fn factor(&self, delay: time::Duration) -> f64 {
        let height = self.thresholds(delay) - 1.0;
        let growth = self.thresholds(delay) - self.thresholds(self.delay);
        let limited = |thresholds: f64| thresholds.clamp(-MAX_THRESHOLDS, MAX_THRESHOLDS);
        let change = HEIGHT_GAIN * limited(height) + GROWTH_GAIN * limited(growth);
        let max = if height > 0.0 { 1.0 } else { MAX_FACTOR };
        (-change).exp().clamp(MIN_FACTOR, max)
    }
}
