//! How long a request that crashes upstreams is refused.

use std::time;

use crate::clock;
use crate::quarantine;

/// Time for which a request is refused after it has reached the crash threshold. Callers that
/// repeat such a request do so for minutes, and the fix of an upstream takes longer to be deployed.
const BASE_TERM: time::Duration = time::Duration::from_secs(300);

/// How often further crashes can double that time: up to 80 minutes.
const MAX_DOUBLINGS: u32 = 4;

/// Difference up to which two times count as the same moment: hosts send ages in milliseconds, and
/// the messages take time to arrive.
const MERGE_TOLERANCE: time::Duration = time::Duration::from_millis(250);

/// The quarantine state of one request.
///
/// Invariant: of two entries for the same request the later one supersedes the other, and at the
/// same moment the one with more crashes does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Upstreams that crashed while they ran the request.
    pub crashes: u8,
    /// Whether an upstream has answered the request since the last crash.
    pub lifted: bool,
    /// Time of the last crash, or of the answer that lifted the quarantine.
    pub last: clock::Instant,
}

impl Entry {
    /// Time for which the request is refused after the last crash.
    fn term(&self) -> time::Duration {
        let extra = u32::from(self.crashes.saturating_sub(quarantine::THRESHOLD));
        BASE_TERM * (1 << extra.min(MAX_DOUBLINGS))
    }

    /// Time until the request is no longer refused by a host that extends the term by the share
    /// `spread` of it, 0 to 1; `None` if the request is not refused.
    ///
    /// Hosts stop refusing the request at different times, so that its first run, if it crashes an
    /// upstream again, warns the hosts that still refuse it.
    pub fn remaining(&self, spread: f32, now: clock::Instant) -> Option<time::Duration> {
        let term = self.term() + self.term().mul_f32(spread.clamp(0.0, 1.0));
        let remaining = term.saturating_sub(now.since(self.last));
        (!self.lifted && !remaining.is_zero()).then_some(remaining)
    }

    /// Whether the entry can be dropped. It outlives the term, which hosts extend to twice its
    /// length at most, by one more term, so that a crash in that time continues the quarantine.
    pub fn is_expired(&self, now: clock::Instant) -> bool {
        now.since(self.last) > 3 * self.term()
    }

    /// Whether this entry replaces `other`, which is held for the same request.
    pub fn supersedes(&self, other: &Self) -> bool {
        let later = self.last.since(other.last);
        let earlier = other.last.since(self.last);
        if later.max(earlier) <= MERGE_TOLERANCE {
            self.weight() > other.weight()
        } else {
            later > MERGE_TOLERANCE
        }
    }

    /// Order of entries of the same moment: an answer comes after the crashes that it lifts.
    const fn weight(&self) -> (bool, u8) {
        (self.lifted, self.crashes)
    }
}
