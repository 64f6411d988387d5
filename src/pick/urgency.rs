//! How likely an urgent call is to miss its target at an upstream.
//!
//! Handles short calls with tight targets among long ones at upstreams of different speeds: the
//! cost of an upstream counts the share of its slots that is taken, but for an urgent call a free
//! slot of a slow upstream is worth nothing if the call ends after its target there.

use std::time;

/// What is known of the run time and the target of an urgent call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// Mean run time of its kind at all upstreams.
    pub mean: time::Duration,
    /// Mean deviation of the run times of its kind from `mean`.
    pub deviation: time::Duration,
    /// Time left to its target.
    pub left: time::Duration,
}

impl Urgency {
    /// The time by which the call is expected to miss its target, in mean run times of its kind and
    /// at most 1: with a wait of `wait_us` microseconds at an upstream with the relative run time
    /// `relative`.
    pub(super) fn lateness(&self, wait_us: f32, relative: f32) -> f32 {
        let micros = |time: time::Duration| time.as_micros() as f32;
        let expected = wait_us + relative * micros(self.mean) + micros(self.deviation);
        ((expected - micros(self.left)) / micros(self.mean).max(1.0)).clamp(0.0, 1.0)
    }
}
