//! How long calls wait, compared with the wait that was expected when they were queued.

use std::time;

/// Weight of a new measurement: one in this many, some seconds of a busy upstream.
const SMOOTHING: f32 = 32.0;

/// Largest ratio that is applied. Beyond it the expected wait is of no use, and calls that wait too
/// long are refused in time because of their deadlines.
const MAX_RATIO: f32 = 4.0;

/// Shortest expected wait that is compared; shorter ones would distort the ratio.
const MIN_EXPECTED: time::Duration = time::Duration::from_millis(1);

/// Means of the actual and of the expected waits.
///
/// The expected wait takes account of the calls that are queued already. Calls that come later and
/// are placed before them, such as nested calls, make the actual wait longer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitRatio {
    /// Mean of the expected waits, in seconds.
    expected: f32,
    /// Mean of the actual waits, in seconds.
    actual: f32,
}

impl WaitRatio {
    /// Records that a call waited for `actual` where `expected` had been expected.
    pub(super) fn record(&mut self, expected: time::Duration, actual: time::Duration) {
        if expected < MIN_EXPECTED {
            return;
        }
        self.expected += (expected.as_secs_f32() - self.expected) / SMOOTHING;
        self.actual += (actual.as_secs_f32() - self.actual) / SMOOTHING;
    }

    /// The expected wait, corrected by the ratio; never shorter than `expected`.
    pub(super) fn correct(&self, expected: time::Duration) -> time::Duration {
        let ratio = if self.expected > 0.0 { self.actual / self.expected } else { 1.0 };
        expected.mul_f32(ratio.clamp(1.0, MAX_RATIO))
    }
}
