//! Simultaneous loss of hosts: which upstreams of a list have precedence while it lasts.
//!
//! Handles the moments after many hosts have lost power. A connection attempt to each of them takes
//! its whole time-out, and one failure tells nothing about the other hosts of the list. A response
//! does: its node has outlived the loss.

use std::time;

use crate::clock;
use crate::pick;

/// One call in this many goes to an upstream whose node has not responded since the loss, so that
/// recovered hosts are detected.
const PROBE_ONE_IN: u8 = 8;

/// An attempt at a host that got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Failure {
    /// Peer of the host.
    pub(super) key: pick::PeerKey,
    /// From when on the host is known not to respond.
    pub(super) since: clock::Instant,
    /// When the attempt ended.
    pub(super) at: clock::Instant,
}

/// The upstreams among which a call chooses, by the last response of their nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Candidates {
    All,
    /// Those that have responded since an instant.
    Responded(clock::Instant),
    /// The others.
    Silent(clock::Instant),
}

impl Candidates {
    /// Whether an upstream is a candidate whose node last responded at `responded_at`.
    pub(super) fn include(self, responded_at: Option<clock::Instant>) -> bool {
        match self {
            Self::All => true,
            Self::Responded(since) => responded_at.is_some_and(|at| at >= since),
            Self::Silent(since) => responded_at.is_none_or(|at| at < since),
        }
    }

    /// The candidates if none of these can be chosen.
    pub(super) const fn wider(self) -> Option<Self> {
        match self {
            Self::All => None,
            Self::Responded(_) => Some(Self::All),
            Self::Silent(since) => Some(Self::Responded(since)),
        }
    }
}

/// Detects the simultaneous loss of hosts of one list.
///
/// A loss lasts while attempts at two different hosts have failed within the window. It begins again
/// if two hosts fail that have responded since its beginning.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Loss {
    /// The last failure.
    newest: Option<Failure>,
    /// The last failure of another host than that of `newest`.
    other: Option<Failure>,
    /// The last failure, during a loss, of a host that had responded since its beginning.
    relapse: Option<Failure>,
    /// Beginning of the current or last loss.
    since: clock::Instant,
    /// Calls since the last probe.
    calls: u8,
}

impl Loss {
    /// Beginning of the loss that lasts at `now`; `None` if there is none.
    pub(super) fn since(
        &self,
        window: time::Duration,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        let lasts = |failure: Failure| now.since(failure.at) <= window;
        (self.newest.is_some_and(lasts) && self.other.is_some_and(lasts)).then_some(self.since)
    }

    /// Records a failure at a host that last responded at `responded_at`. Returns the earlier
    /// failure with which it shows that a loss has begun.
    pub(super) fn record(
        &mut self,
        failure: Failure,
        responded_at: Option<clock::Instant>,
        window: time::Duration,
    ) -> Option<Failure> {
        let before = self.since(window, failure.at);
        if self.newest.is_some_and(|newest| newest.key != failure.key) {
            self.other = self.newest;
        }
        self.newest = Some(failure);
        let earlier = match before {
            None => self.other,
            Some(since) if Candidates::Responded(since).include(responded_at) => {
                self.relapse.replace(failure).filter(|earlier| earlier.key != failure.key)
            }
            Some(_) => None,
        };
        let earlier = earlier.filter(|earlier| failure.at.since(earlier.at) <= window)?;
        self.since = earlier.since.min(failure.since);
        self.relapse = None;
        Some(earlier)
    }

    /// The candidates of a call. `probe` tells whether it may be sent to an upstream that may be
    /// lost; idempotent calls are sent there first.
    pub(super) fn candidates(
        &mut self,
        idempotent: bool,
        probe: bool,
        window: time::Duration,
        now: clock::Instant,
    ) -> Candidates {
        let Some(since) = self.since(window, now) else {
            self.calls = 0;
            return Candidates::All;
        };
        self.calls = (self.calls + 1).min(2 * PROBE_ONE_IN);
        let due = if idempotent { PROBE_ONE_IN } else { 2 * PROBE_ONE_IN };
        if !probe || self.calls < due {
            return Candidates::Responded(since);
        }
        self.calls -= PROBE_ONE_IN;
        Candidates::Silent(since)
    }
}
