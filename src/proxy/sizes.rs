//! Mean sizes of the answers that this node has received, by kind of call.

use std::collections;

use smol_str::SmolStr;

#[cfg(test)]
mod tests;

/// Divisor of the exponential moving average: the last eight answers make up about two thirds of
/// the mean.
const SMOOTHING: u64 = 8;

/// Mean sizes of answers, by kind of call.
#[derive(Debug, Default)]
pub struct Sizes {
    means: collections::HashMap<SmolStr, u64>,
}

impl Sizes {
    /// Adds an answer of `bytes` to a call of `kind`.
    pub fn record(&mut self, kind: &SmolStr, bytes: u64) {
        match self.means.get_mut(kind) {
            Some(mean) => *mean = (*mean * (SMOOTHING - 1) + bytes) / SMOOTHING,
            None => drop(self.means.insert(kind.clone(), bytes)),
        }
    }

    /// Expected size of an answer to a call of `kind`, in bytes; 0 before the first answer.
    pub fn expected(&self, kind: &SmolStr) -> u64 {
        self.means.get(kind).copied().unwrap_or_default()
    }

    /// Removes the kinds for which `known` is false.
    pub fn retain(&mut self, known: impl Fn(&SmolStr) -> bool) {
        self.means.retain(|kind, _| known(kind));
    }
}
