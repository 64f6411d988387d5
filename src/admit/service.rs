//! The service times that a gate measures, for each kind of calls.

use std::time;

use crate::admit;
use crate::clock;

/// Weight of a new measurement: one in this many.
const SMOOTHING: u32 = 8;

/// A call is refused for its own run's sake only when its deadline leaves less than the mean
/// service time of its kind divided by this: only the hopeless are to be turned away.
const HOPELESS: u32 = 2;

/// Smoothed mean of the times of calls and of their distance from it.
#[derive(Clone, Copy, Debug)]
struct Mean {
    time: time::Duration,
    deviation: time::Duration,
}

/// Mean service times.
///
/// Kinds differ by an order of magnitude: judged by the mean of all, a call of 40 ms that has to be
/// answered within 150 would be refused because the calls beside it take 200.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// `None` until a call has ended.
    all: Option<Mean>,
    /// By kind, as far as calls of it have ended.
    kinds: Vec<Option<Mean>>,
}

impl Service {
    /// Notes that a call of `kind` ran for `took`.
    pub(super) fn record(&mut self, kind: admit::Kind, took: time::Duration) {
        let index = usize::from(kind.0);
        if index >= self.kinds.len() {
            self.kinds.resize(index + 1, None);
        }
        mix(&mut self.kinds[index], took);
        mix(&mut self.all, took);
    }

    /// The mean of all kinds in microseconds; 0 before a call has ended.
    pub(super) fn micros(&self) -> u32 {
        let mean = self.all.map(|mean| mean.time).unwrap_or_default();
        u32::try_from(mean.as_micros()).unwrap_or(u32::MAX)
    }

    /// Time that a call of `kind` takes as a rule: that of all kinds while its own is not known,
    /// zero before any call has ended.
    pub(super) fn usual(&self, kind: admit::Kind) -> time::Duration {
        self.mean(kind).map(|mean| mean.time).unwrap_or_default()
    }

    /// Time within which most calls of `kind` end: five of six, by their mean and deviation.
    pub(super) fn mostly(&self, kind: admit::Kind) -> time::Duration {
        self.mean(kind).map(|mean| mean.time + mean.deviation).unwrap_or_default()
    }

    fn mean(&self, kind: admit::Kind) -> Option<Mean> {
        let own = self.kinds.get(usize::from(kind.0)).copied().flatten();
        own.or(self.all)
    }

    /// The shortest run of `kind` that is worth a slot.
    pub(super) fn least(&self, kind: admit::Kind) -> time::Duration {
        self.usual(kind) / HOPELESS
    }

    /// Whether a call of `kind` that gets its slot after `wait` is sure to miss `deadline`.
    pub(super) fn misses(
        &self,
        kind: admit::Kind,
        deadline: clock::Instant,
        wait: time::Duration,
        now: clock::Instant,
    ) -> bool {
        now + wait + self.least(kind) >= deadline
    }
}

fn mix(mean: &mut Option<Mean>, took: time::Duration) {
    let Some(mean) = mean else {
        *mean = Some(Mean { time: took, deviation: time::Duration::ZERO });
        return;
    };
    let distance = took.abs_diff(mean.time);
    mean.time = (mean.time * (SMOOTHING - 1) + took) / SMOOTHING;
    mean.deviation = (mean.deviation * (SMOOTHING - 1) + distance) / SMOOTHING;
}
