//! The service times that a gate measures, for each kind of calls.

use std::time;

use crate::admit;
use crate::clock;

/// Weight of a new measurement: one in this many.
const SMOOTHING: u32 = 8;

/// A call is refused as too late only if its deadline leaves less than the mean service time of its
/// kind divided by this, as it may run faster than the mean.
const MIN_TIME_DIVISOR: u32 = 2;

/// Smoothed mean of run times and of their deviation from it.
#[derive(Clone, Copy, Debug)]
struct Mean {
    time: time::Duration,
    deviation: time::Duration,
}

/// Mean service times.
///
/// Kinds differ by an order of magnitude. With one mean for all of them, a call that takes 40 ms
/// and has to be answered within 150 ms would be refused because the calls beside it take 200 ms.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimes {
    /// The mean of all kinds; `None` until a call has ended.
    all: Option<Mean>,
    /// The mean of each kind; `None` until a call of the kind has ended.
    kinds: Vec<Option<Mean>>,
}

impl ServiceTimes {
    /// Records that a call of `kind` ran for `took`.
    pub(super) fn record(&mut self, kind: admit::Kind, took: time::Duration) {
        let index = usize::from(kind.0);
        if index >= self.kinds.len() {
            self.kinds.resize(index + 1, None);
        }
        smooth(&mut self.kinds[index], took);
        smooth(&mut self.all, took);
    }

    /// The mean of all kinds in microseconds; 0 before a call has ended.
    pub(super) fn micros(&self) -> u32 {
        let mean = self.all.map(|mean| mean.time).unwrap_or_default();
        u32::try_from(mean.as_micros()).unwrap_or(u32::MAX)
    }

    /// Mean service time of `kind`: that of all kinds if no call of `kind` has ended, zero if no
    /// call has.
    pub(super) fn mean(&self, kind: admit::Kind) -> time::Duration {
        self.find(kind).map(|mean| mean.time).unwrap_or_default()
    }

    /// Mean plus deviation: five of six calls of `kind` end within this time.
    pub(super) fn high_estimate(&self, kind: admit::Kind) -> time::Duration {
        self.find(kind).map(|mean| mean.time + mean.deviation).unwrap_or_default()
    }

    fn find(&self, kind: admit::Kind) -> Option<Mean> {
        let own = self.kinds.get(usize::from(kind.0)).copied().flatten();
        own.or(self.all)
    }

    /// The time that has to be left before the deadline for a call of `kind` to get a slot.
    pub(super) fn min_remaining(&self, kind: admit::Kind) -> time::Duration {
        self.mean(kind) / MIN_TIME_DIVISOR
    }

    /// Whether a call of `kind` that gets its slot after `wait` would have too little time left
    /// before its `deadline`.
    pub(super) fn misses(
        &self,
        kind: admit::Kind,
        deadline: clock::Instant,
        wait: time::Duration,
        now: clock::Instant,
    ) -> bool {
        now + wait + self.min_remaining(kind) >= deadline
    }
}

fn smooth(mean: &mut Option<Mean>, took: time::Duration) {
    let Some(mean) = mean else {
        *mean = Some(Mean { time: took, deviation: time::Duration::ZERO });
        return;
    };
    let distance = took.abs_diff(mean.time);
    mean.time = (mean.time * (SMOOTHING - 1) + took) / SMOOTHING;
    mean.deviation = (mean.deviation * (SMOOTHING - 1) + distance) / SMOOTHING;
}
