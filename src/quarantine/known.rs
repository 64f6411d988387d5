//! What is known of requests under which upstreams end: an immutable snapshot for the calls.

use std::collections;
use std::time;

use crate::clock;
use crate::quarantine;

/// The snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// What is held against requests, or for them.
    pub bans: collections::HashMap<quarantine::Print, quarantine::Ban>,
    /// Upstreams that ended under a request since one last answered it.
    pub ends: collections::HashMap<quarantine::Print, u8>,
}

impl Known {
    /// How many requests are held responsible for ends.
    pub fn held(&self) -> usize {
        self.bans.values().filter(|ban| !ban.cleared).count()
    }

    /// For how much longer `print` is refused, see [`quarantine::Ban::left`].
    pub fn left(
        &self,
        print: quarantine::Print,
        spread: f32,
        now: clock::Instant,
    ) -> Option<time::Duration> {
        self.bans.get(&print)?.left(spread, now)
    }

    /// How many upstreams have ended under `print`, as far as no other request is held responsible.
    pub fn ends(&self, print: quarantine::Print) -> u8 {
        self.ends.get(&print).copied().unwrap_or_default()
    }

    /// Whether something is held against `print` that an answer would clear.
    pub fn blames(&self, print: quarantine::Print) -> bool {
        self.ends.contains_key(&print) || self.bans.get(&print).is_some_and(|ban| !ban.cleared)
    }
}
