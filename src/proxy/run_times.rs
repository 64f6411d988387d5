//! Run times of calls, compared with the mean of their kind.

use std::collections;
use std::time;

use smol_str::SmolStr;

#[cfg(test)]
mod tests;

/// Divisor of the exponential moving average. At 10 calls a second, the mean covers a few seconds,
/// so that it does not follow single upstreams.
const SMOOTHING: f32 = 32.0;

/// Mean run times, by kind of call, over all upstreams that this entry node calls.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Microseconds, by name of the kind.
    means: collections::HashMap<SmolStr, f32>,
}

impl RunTimes {
    /// Adds a call of `kind` that ran for `ran`. Returns its run time as a multiple of the mean.
    pub fn record(&mut self, kind: &str, ran: time::Duration) -> f32 {
        let micros = ran.as_micros().max(1) as f32;
        let Some(mean) = self.means.get_mut(kind) else {
            self.means.insert(SmolStr::new(kind), micros);
            return 1.0;
        };
        let ratio = micros / *mean;
        *mean += (micros - *mean) / SMOOTHING;
        ratio
    }

    /// The mean run time of `kind`; `None` before the first answer.
    pub fn mean(&self, kind: &str) -> Option<time::Duration> {
        self.means.get(kind).map(|&micros| time::Duration::from_secs_f32(micros / 1e6))
    }

    /// Removes the kinds for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&SmolStr) -> bool) {
        self.means.retain(|kind, _| known(kind));
    }
}
