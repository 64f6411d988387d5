//! How long a request that ends upstreams is refused.

use std::time;

use crate::clock;
use crate::quarantine;

/// First time for which such a request is refused. Whoever sends it again and again does so for minutes;
/// an upstream that is mended takes longer to come.
const TERM: time::Duration = time::Duration::from_secs(300);

/// Most doublings of that time: to some 80 minutes.
const DOUBLINGS: u32 = 4;

/// How far apart two accounts of one moment may be: ages are told in milliseconds, and news take time.
const SAME: time::Duration = time::Duration::from_millis(250);

/// What the mesh holds against one request, or for it.
///
/// Invariant: of two that stand for the same request the later one holds, and of two of one moment the
/// one with more ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Upstreams that ended under it.
    pub crashes: u8,
    /// Whether an upstream has answered it since.
    pub lifted: bool,
    /// When the last of them ended, or answered it.
    pub last: clock::Instant,
}

impl Entry {
    /// For how long the request is refused after the last end.
    fn term(&self) -> time::Duration {
        let more = u32::from(self.crashes.saturating_sub(quarantine::THRESHOLD));
        TERM * (1 << more.min(DOUBLINGS))
    }

    /// For how much longer the request is refused by a host that lets it go `spread` of its term, 0 to 1,
    /// after the first one does; `None` when it is not.
    ///
    /// Hosts let it go one after the other: a trial of the first tells the others.
    pub fn remaining(&self, spread: f32, now: clock::Instant) -> Option<time::Duration> {
        let held = self.term() + self.term().mul_f32(spread.clamp(0.0, 1.0));
        let left = held.saturating_sub(now.since(self.last));
        (!self.lifted && !left.is_zero()).then_some(left)
    }

    /// Whether it says nothing any more. An end in the term after the ban continues it.
    pub fn is_expired(&self, now: clock::Instant) -> bool {
        now.since(self.last) > 3 * self.term()
    }

    /// Whether it goes before `other`, which is held of the same request.
    pub fn supersedes(&self, other: &Self) -> bool {
        let later = self.last.since(other.last);
        let earlier = other.last.since(self.last);
        if later.max(earlier) <= SAME { self.weight() > other.weight() } else { later > SAME }
    }

    /// Order among bans of one moment: an answer came after the end that it excuses.
    const fn weight(&self) -> (bool, u8) {
        (self.lifted, self.crashes)
    }
}
