//! What is known of requests under which upstreams end: an immutable snapshot for the calls.

use std::collections;
use std::time;

use crate::clock;
use crate::quarantine;

/// The snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// What is held against requests, or for them.
    pub entries: collections::HashMap<quarantine::Fingerprint, quarantine::Entry>,
    /// Upstreams that ended under a request since one last answered it.
    pub crashes: collections::HashMap<quarantine::Fingerprint, u8>,
}

impl Snapshot {
    /// How many requests are held responsible for ends.
    pub fn quarantined_count(&self) -> usize {
        self.entries.values().filter(|ban| !ban.lifted).count()
    }

    /// For how much longer `print` is refused, see [`quarantine::Entry::remaining`].
    pub fn remaining(
        &self,
        print: quarantine::Fingerprint,
        spread: f32,
        now: clock::Instant,
    ) -> Option<time::Duration> {
        self.entries.get(&print)?.remaining(spread, now)
    }

    /// How many upstreams have ended under `print`, as far as no other request is held responsible.
    pub fn crashes(&self, print: quarantine::Fingerprint) -> u8 {
        self.crashes.get(&print).copied().unwrap_or_default()
    }

    /// Whether something is held against `print` that an answer would clear.
    pub fn is_suspected(&self, print: quarantine::Fingerprint) -> bool {
        self.crashes.contains_key(&print) || self.entries.get(&print).is_some_and(|ban| !ban.lifted)
    }
}
