//! Run times of calls, compared with the mean of their kind.

use std::collections;
use std::time;

use smol_str::SmolStr;

#[cfg(test)]
mod tests;

/// Divisor of the exponential moving average. At 10 calls a second, the mean covers a few seconds,
/// so that it does not follow single upstreams.
const SMOOTHING: f32 = 32.0;

/// Run times of one kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: time::Duration,
    /// The mean deviation from it.
    pub deviation: time::Duration,
}

/// Run times of one kind, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Micros {
    mean: f32,
    deviation: f32,
}

/// Mean run times, by kind of call, over all upstreams that this entry node calls.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// By name of the kind.
    kinds: collections::HashMap<SmolStr, Micros>,
}

impl RunTimes {
    /// Adds a call of `kind` that ran for `ran`. Returns its run time as a multiple of the mean.
    pub fn record(&mut self, kind: &str, ran: time::Duration) -> f32 {
        let micros = ran.as_micros().max(1) as f32;
        let Some(known) = self.kinds.get_mut(kind) else {
            // As for round-trip times in RFC 6298, half of the first one.
            let first = Micros { mean: micros, deviation: micros / 2.0 };
            self.kinds.insert(SmolStr::new(kind), first);
            return 1.0;
        };
        let ratio = micros / known.mean;
        known.deviation += ((micros - known.mean).abs() - known.deviation) / SMOOTHING;
        known.mean += (micros - known.mean) / SMOOTHING;
        ratio
    }

    /// The mean run time of `kind`; `None` before the first answer.
    pub fn mean(&self, kind: &str) -> Option<time::Duration> {
        self.kinds.get(kind).map(|known| duration(known.mean))
    }

    /// The run times of `kind`; `None` before the first answer.
    pub fn spread(&self, kind: &str) -> Option<Spread> {
        let known = self.kinds.get(kind)?;
        Some(Spread { mean: duration(known.mean), deviation: duration(known.deviation) })
    }

    /// Removes the kinds for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&SmolStr) -> bool) {
        self.kinds.retain(|kind, _| known(kind));
    }
}

fn duration(micros: f32) -> time::Duration {
    time::Duration::from_secs_f32(micros / 1e6)
}
