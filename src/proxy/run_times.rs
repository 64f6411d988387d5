//! How long a call ran, compared with others of its kind.

use std::collections;
use std::time;

use smol_str::SmolStr;

#[cfg(test)]
mod tests;

/// One run moves the mean of its kind by this share: that of a few seconds at 10 calls a second, so
/// that the mean stays while one upstream after the other answers.
const SMOOTHING: f32 = 32.0;

/// Mean run times, by kind, over all upstreams that this entry calls.
#[derive(Debug, Default)]
pub struct Paces {
    /// In microseconds.
    means: collections::HashMap<SmolStr, f32>,
}

impl Paces {
    /// Takes a call of `kind` that ran for `ran`, and gives that as a multiple of the kind's mean.
    pub fn note(&mut self, kind: &str, ran: time::Duration) -> f32 {
        let micros = ran.as_micros().max(1) as f32;
        let Some(mean) = self.means.get_mut(kind) else {
            self.means.insert(SmolStr::new(kind), micros);
            return 1.0;
        };
        let pace = micros / *mean;
        *mean += (micros - *mean) / SMOOTHING;
        pace
    }

    /// The mean of `kind`; `None` before a call of it was answered.
    pub fn usual(&self, kind: &str) -> Option<time::Duration> {
        self.means.get(kind).map(|&micros| time::Duration::from_secs_f32(micros / 1e6))
    }

    /// Forgets the kinds that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(&SmolStr) -> bool) {
        self.means.retain(|kind, _| known(kind));
    }
}
