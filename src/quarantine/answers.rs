//! Requests that the upstream beside this node has answered recently.

use std::time;

use crate::clock;
use crate::quarantine;

/// Slots of the cache, 16 bytes each. At a hundred answers a second they hold those of the last ten
/// seconds.
const SLOTS: usize = 1024;

/// Time for which an answer shows its request to be harmless. A request that starts to crash
/// upstreams is suspected only after that time.
const ANSWER_TTL: time::Duration = time::Duration::from_secs(10);

/// Cache of the latest answers. The fingerprint of a request determines its slot; a later answer
/// overwrites the one in its slot.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    /// Allocated with the first answer.
    slots: Vec<(quarantine::Fingerprint, clock::Instant)>,
}

impl RecentAnswers {
    /// Records that an upstream answered the request `fingerprint` at `now` and did not crash.
    pub fn record(&mut self, fingerprint: quarantine::Fingerprint, now: clock::Instant) {
        if self.slots.is_empty() {
            self.slots = vec![(quarantine::Fingerprint(0), clock::Instant::ZERO); SLOTS];
        }
        self.slots[slot(fingerprint)] = (fingerprint, now);
    }

    /// Whether `fingerprint` was answered within the last ten seconds before `now`.
    pub fn contains(&self, fingerprint: quarantine::Fingerprint, now: clock::Instant) -> bool {
        let found = self.slots.get(slot(fingerprint)).filter(|(known, _)| *known == fingerprint);
        found.is_some_and(|(_, at)| *at > clock::Instant::ZERO && now.since(*at) <= ANSWER_TTL)
    }
}

fn slot(fingerprint: quarantine::Fingerprint) -> usize {
    usize::try_from(fingerprint.0 % SLOTS as u64).unwrap_or_default()
}
