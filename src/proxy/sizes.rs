//! How many bytes the answers to each kind of call have, as far as this node has seen.

use std::collections;

use smol_str::SmolStr;

#[cfg(test)]
mod tests;

/// One answer moves the mean by this share; eight answers make half of it.
const SMOOTHING: u64 = 8;

/// Mean sizes of answers, by kind.
#[derive(Debug, Default)]
pub struct Sizes {
    means: collections::HashMap<SmolStr, u64>,
}

impl Sizes {
    /// Takes an answer of `bytes` to a call of `kind`.
    pub fn note(&mut self, kind: &SmolStr, bytes: u64) {
        match self.means.get_mut(kind) {
            Some(mean) => *mean = (*mean * (SMOOTHING - 1) + bytes) / SMOOTHING,
            None => drop(self.means.insert(kind.clone(), bytes)),
        }
    }

    /// Bytes that an answer to a call of `kind` will have, more or less; 0 before the first one.
    pub fn expect(&self, kind: &SmolStr) -> u64 {
        self.means.get(kind).copied().unwrap_or_default()
    }

    /// Forgets the kinds that `known` does not name.
    pub fn retain(&mut self, known: impl Fn(&SmolStr) -> bool) {
        self.means.retain(|kind, _| known(kind));
    }
}
