//! Delay of the node beside an upstream, as one entry node measures it.
//!
//! Handles nodes that are slow although their upstreams have free slots, as their CPU is saturated,
//! and links that delay or drop packets. The measurement is the time of an attempt minus the time
//! for which the owner node held it, so that waits for a slot and run times don't count.

use std::time;

use crate::clock;

/// Half-life of a measurement: a node that has recovered gets calls again after a few seconds.
const HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// Least weight of a new measurement, for upstreams that get many calls within the half-life.
const MIN_WEIGHT: f32 = 1.0 / 8.0;

/// Age up to which a measurement counts for [`base_us`].
const RECENT: time::Duration = time::Duration::from_secs(4);

/// The delay of one node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delay {
    /// Mean of the measurements in microseconds, as of the last one.
    mean_us: f32,
    /// Time of the last measurement; `None` if there is none.
    at: Option<clock::Instant>,
}

impl Delay {
    /// Adds a measurement. Its weight grows with the time since the last one.
    pub(super) fn record(&mut self, measured: time::Duration, now: clock::Instant) {
        let weight = self.at.map_or(1.0, |at| (1.0 - remaining_share(at, now)).max(MIN_WEIGHT));
        self.mean_us += (measured.as_micros() as f32 - self.mean_us) * weight;
        self.at = Some(now);
    }

    /// The mean in microseconds, if it was measured recently.
    fn recent_us(&self, now: clock::Instant) -> Option<f32> {
        self.at.filter(|at| now.since(*at) <= RECENT).map(|_| self.mean_us)
    }

    /// By how much the delay exceeds `base_us`, in microseconds. It decays to 0 without further
    /// measurements.
    pub(super) fn excess_us(&self, base_us: f32, now: clock::Instant) -> f32 {
        let Some(at) = self.at.filter(|_| self.mean_us > base_us) else { return 0.0 };
        (self.mean_us - base_us) * remaining_share(at, now)
    }
}

/// The lower quartile of the recent delays in microseconds, the lowest one of up to four; 0 if none
/// was measured recently. Only what exceeds it counts, as each measurement includes the delay of the
/// entry node itself.
///
/// A node whose delay is not known thus costs as much as the best of the others: nodes of the
/// previous build, which send no time, get no more calls than these. Neither does one node of more
/// than four that claims to have held its calls throughout; with the lowest delay as base, one of 20
/// got 0.15 of the calls of an idle service.
///
/// `buffer` is overwritten.
pub(super) fn base_us<'a>(
    delays: impl Iterator<Item = &'a Delay>,
    now: clock::Instant,
    buffer: &mut Vec<f32>,
) -> f32 {
    buffer.clear();
    buffer.extend(delays.filter_map(|delay| delay.recent_us(now)));
    let Some(last) = buffer.len().checked_sub(1) else { return 0.0 };
    let (_, quartile, _) = buffer.select_nth_unstable_by(last / 4, f32::total_cmp);
    *quartile
}

/// The share of a measurement made at `at` that is left at `now`.
fn remaining_share(at: clock::Instant, now: clock::Instant) -> f32 {
    (-now.since(at).as_secs_f32() / HALF_LIFE.as_secs_f32()).exp2()
}
