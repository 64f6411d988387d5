//! How long calls really wait, compared with what was expected when they came.

use std::time;

/// Weight of a new measurement: one in this many, some seconds of a busy upstream.
const SMOOTHING: f32 = 32.0;

/// Largest factor believed. Beyond it the expectation is of no use, and what waits is refused soon
/// enough by its deadline.
const MOST: f32 = 4.0;

/// Shortest expectation that is compared: a moment says nothing.
const LEAST: time::Duration = time::Duration::from_millis(1);

/// Mean of real and of expected waits.
///
/// The expectation knows who is there already. Who comes later and goes first anyway, such as the calls
/// of running calls, makes the wait longer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Foresight {
    /// Mean of what was expected, in seconds.
    expected: f32,
    /// Mean of what it was, in seconds.
    real: f32,
}

impl Foresight {
    /// Notes that a call waited for `real` where `expected` had been expected.
    pub(super) fn record(&mut self, expected: time::Duration, real: time::Duration) {
        if expected < LEAST {
            return;
        }
        self.expected += (expected.as_secs_f32() - self.expected) / SMOOTHING;
        self.real += (real.as_secs_f32() - self.real) / SMOOTHING;
    }

    /// The wait to reckon with where `expected` is expected; never shorter than that.
    pub(super) fn wait(&self, expected: time::Duration) -> time::Duration {
        let factor = if self.expected > 0.0 { self.real / self.expected } else { 1.0 };
        expected.mul_f32(factor.clamp(1.0, MOST))
    }
}
