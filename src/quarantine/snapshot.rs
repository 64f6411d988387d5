//! Immutable snapshot of the quarantine state, for the calls.

use std::collections;
use std::time;

use crate::clock;
use crate::quarantine;

/// The quarantine state of a mesh at one moment, as one node knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// The state of each request that is quarantined, or that was answered after a crash.
    pub entries: collections::HashMap<quarantine::Fingerprint, quarantine::Entry>,
    /// Crashes under each request since it was last answered, without those that a quarantined
    /// request explains.
    pub crashes: collections::HashMap<quarantine::Fingerprint, u8>,
}

impl Snapshot {
    /// Number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.entries.values().filter(|entry| !entry.lifted).count()
    }

    /// Time until `fingerprint` is no longer refused, see [`quarantine::Entry::remaining`].
    pub fn remaining(
        &self,
        fingerprint: quarantine::Fingerprint,
        spread: f32,
        now: clock::Instant,
    ) -> Option<time::Duration> {
        self.entries.get(&fingerprint)?.remaining(spread, now)
    }

    /// Number of crashes under `fingerprint` that no quarantined request explains.
    pub fn crashes(&self, fingerprint: quarantine::Fingerprint) -> u8 {
        self.crashes.get(&fingerprint).copied().unwrap_or_default()
    }

    /// Whether `fingerprint` is suspected or quarantined, so that an answer to it would change its
    /// state.
    pub fn is_suspected(&self, fingerprint: quarantine::Fingerprint) -> bool {
        self.crashes.contains_key(&fingerprint)
            || self.entries.get(&fingerprint).is_some_and(|entry| !entry.lifted)
    }
}
