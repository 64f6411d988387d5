//! The pull of a newer version from another host; a node has at most one in progress.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::host;
use crate::spread::message;
use crate::version;

/// Hosts remembered as tried without success for one version.
const MAX_TRIED: usize = 8;

/// Time after which a transfer no longer keeps this node from fetching from another host. It covers
/// 14 KB from a host with a tenth of a core. A host that has crashed blocks a transfer until its
/// limit of five seconds, and newer versions must not wait that long.
const SLOW_TRANSFER_AFTER: time::Duration = time::Duration::from_millis(500);

/// Largest number of doublings of the delay between attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// Progress of the pull.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// No pull is in progress.
    Idle,
    /// A request to `host` will be sent at `due`.
    Planned {
        /// The host to request from.
        host: host::HostId,
        /// When to send the request.
        due: clock::Instant,
    },
    /// A datagram has requested the version from `host`.
    Requested {
        /// The host requested from.
        host: host::HostId,
        /// When the request times out and another host is tried.
        due: clock::Instant,
    },
    /// A transfer from `host` is in progress.
    Fetching {
        /// The serving host.
        host: host::HostId,
        /// From when on a newer version may be fetched from another host instead.
        slow_at: clock::Instant,
        /// When the transfer times out.
        due: clock::Instant,
    },
}

/// The pull of the newest version known to be held by another host.
#[derive(Debug)]
pub struct Pull {
    state: State,
    target: version::Version,
    tried: Vec<host::HostId>,
    failures: u32,
    forwarding: Option<(version::Version, message::Forwarding)>,
}

impl Pull {
    /// No pull in progress.
    pub const fn new() -> Self {
        Self {
            state: State::Idle,
            target: version::Version::NONE,
            tried: Vec::new(),
            failures: 0,
            forwarding: None,
        }
    }

    /// Progress of the pull.
    pub const fn state(&self) -> State {
        self.state
    }

    /// The highest version known to be held by another host.
    pub const fn target(&self) -> version::Version {
        self.target
    }

    /// Hosts from which pulls of the target version have failed.
    pub fn tried(&self) -> &[host::HostId] {
        &self.tried
    }

    /// Raises the target to `version`, which another host holds.
    pub fn raise_target(&mut self, version: version::Version) {
        self.target = self.target.max(version);
    }

    /// Remembers whether to forward `version` once it is held.
    pub const fn remember_forwarding(
        &mut self,
        version: version::Version,
        forwarding: message::Forwarding,
    ) {
        self.forwarding = Some((version, forwarding));
    }

    /// Whether to forward `version`; `None` unless it was pushed or announced.
    pub fn forwarding(&self, version: version::Version) -> Option<message::Forwarding> {
        let (pushed, forwarding) = self.forwarding?;
        (pushed == version).then_some(forwarding)
    }

    /// Plans a request to `host` after a random delay of up to `max_delay`.
    pub fn plan<R: rand::Rng>(
        &mut self,
        host: host::HostId,
        max_delay: time::Duration,
        now: clock::Instant,
        rng: &mut R,
    ) {
        let delay = max_delay.mul_f64(rng.random_range(0.0..1.0));
        self.state = State::Planned { host, due: now + delay };
    }

    /// Records a request to `host` that times out at `due`.
    pub const fn requested(&mut self, host: host::HostId, due: clock::Instant) {
        self.state = State::Requested { host, due };
    }

    /// Records a transfer from `host` that began at `now` and times out at `due`.
    pub fn fetch_started(&mut self, host: host::HostId, now: clock::Instant, due: clock::Instant) {
        self.state = State::Fetching { host, slow_at: now + SLOW_TRANSFER_AFTER, due };
    }

    /// Records that the pull from `host` failed.
    pub fn failed(&mut self, host: host::HostId) {
        if self.tried.len() >= MAX_TRIED {
            self.tried.remove(0);
        }
        self.tried.push(host);
        self.failures += 1;
        self.state = State::Idle;
    }

    /// Maximum delay before the next attempt; doubles with each failure, from `first_delay` on.
    pub fn max_delay(&self, first_delay: time::Duration) -> time::Duration {
        first_delay * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Ends the pull because no host is known to hold a version newer than `held`.
    pub fn give_up(&mut self, held: version::Version) {
        self.target = held;
        self.version_held(held);
    }

    /// Ends the pull if `version`, which is now held, reaches the target.
    pub fn version_held(&mut self, version: version::Version) {
        if version >= self.target {
            self.state = State::Idle;
            self.tried.clear();
            self.failures = 0;
        }
    }

    /// Whether a transfer from `from` is in progress.
    pub fn is_fetching_from(&self, from: host::HostId) -> bool {
        matches!(self.state, State::Fetching { host, .. } if host == from)
    }

    /// Whether a transfer is in progress that is not slow yet.
    pub fn busy(&self, now: clock::Instant) -> bool {
        matches!(self.state, State::Fetching { slow_at, .. } if now < slow_at)
    }

    /// When the next request or timeout is due.
    pub const fn due(&self) -> Option<clock::Instant> {
        match self.state {
            State::Idle => None,
            State::Planned { due, .. }
            | State::Requested { due, .. }
            | State::Fetching { due, .. } => Some(due),
        }
    }
}

impl Default for Pull {
    fn default() -> Self {
        Self::new()
    }
}
