//! The one request for a newer version that a node has under way.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::host;
use crate::spread::message;
use crate::version;

/// Hosts remembered as tried for one version.
const TRIED: usize = 8;

/// Time that a transfer usually takes at most: 14 KB from a host with a tenth of a core. A host that
/// has gone without a word holds one up for its whole limit of five seconds, in which newer versions
/// were not asked for.
const STALE: time::Duration = time::Duration::from_millis(500);

/// Doublings of the delay between tries.
const BACKOFF: u32 = 2;

/// How far the request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Nothing newer is known.
    Idle,
    /// `host` is asked when `due` has come.
    Planned {
        /// Who will be asked.
        host: host::HostId,
        /// When.
        due: clock::Instant,
    },
    /// `host` was asked by a datagram.
    Asked {
        /// Who was asked.
        host: host::HostId,
        /// When another host is asked.
        due: clock::Instant,
    },
    /// A transfer from `host` is under way.
    Fetching {
        /// Who serves it.
        host: host::HostId,
        /// From when on another host that holds something newer is asked instead.
        stale: clock::Instant,
        /// When it is given up.
        due: clock::Instant,
    },
}

/// The request for what others hold and this node does not.
#[derive(Debug)]
pub struct Pull {
    state: State,
    target: version::Version,
    tried: Vec<host::HostId>,
    failures: u32,
    way: Option<(version::Version, message::Way)>,
}

impl Pull {
    /// Nothing to ask for.
    pub const fn new() -> Self {
        Self {
            state: State::Idle,
            target: version::Version::NONE,
            tried: Vec::new(),
            failures: 0,
            way: None,
        }
    }

    /// How far the request is.
    pub const fn state(&self) -> State {
        self.state
    }

    /// The highest version known to be held by another host.
    pub const fn target(&self) -> version::Version {
        self.target
    }

    /// Hosts that were asked in vain.
    pub fn tried(&self) -> &[host::HostId] {
        &self.tried
    }

    /// Takes note that some host holds `version`.
    pub fn aim(&mut self, version: version::Version) {
        self.target = self.target.max(version);
    }

    /// Remembers how `version` is to be passed on once it is held.
    pub const fn remember(&mut self, version: version::Version, way: message::Way) {
        self.way = Some((version, way));
    }

    /// How `version` is to be passed on, if somebody pushed it.
    pub fn way(&self, version: version::Version) -> Option<message::Way> {
        let (pushed, way) = self.way?;
        (pushed == version).then_some(way)
    }

    /// Plans to ask `host` within `longest` of now.
    pub fn plan<R: rand::Rng>(
        &mut self,
        host: host::HostId,
        longest: time::Duration,
        now: clock::Instant,
        rng: &mut R,
    ) {
        let delay = longest.mul_f64(rng.random_range(0.0..1.0));
        self.state = State::Planned { host, due: now + delay };
    }

    /// `host` was asked.
    pub const fn asked(&mut self, host: host::HostId, due: clock::Instant) {
        self.state = State::Asked { host, due };
    }

    /// A transfer from `host` was begun at `now`, which may take until `due`.
    pub fn fetching(&mut self, host: host::HostId, now: clock::Instant, due: clock::Instant) {
        self.state = State::Fetching { host, stale: now + STALE, due };
    }

    /// `host` was asked in vain.
    pub fn failed(&mut self, host: host::HostId) {
        if self.tried.len() >= TRIED {
            self.tried.remove(0);
        }
        self.tried.push(host);
        self.failures += 1;
        self.state = State::Idle;
    }

    /// Longest delay before the next try when the first one is `shortest`.
    pub fn backoff(&self, shortest: time::Duration) -> time::Duration {
        shortest * (1 << self.failures.min(BACKOFF))
    }

    /// Nobody is known any more who holds more than `held`.
    pub fn give_up(&mut self, held: version::Version) {
        self.target = held;
        self.held(held);
    }

    /// `version` is held from now on.
    pub fn held(&mut self, version: version::Version) {
        if version >= self.target {
            self.state = State::Idle;
            self.tried.clear();
            self.failures = 0;
        }
    }

    /// Whether a transfer from `host` is under way.
    pub fn fetches(&self, from: host::HostId) -> bool {
        matches!(self.state, State::Fetching { host, .. } if host == from)
    }

    /// Whether a transfer is under way that may still succeed soon.
    pub fn busy(&self, now: clock::Instant) -> bool {
        matches!(self.state, State::Fetching { stale, .. } if now < stale)
    }

    /// When something is due next.
    pub const fn due(&self) -> Option<clock::Instant> {
        match self.state {
            State::Idle => None,
            State::Planned { due, .. } | State::Asked { due, .. } | State::Fetching { due, .. } => {
                Some(due)
            }
        }
    }
}

impl Default for Pull {
    fn default() -> Self {
        Self::new()
    }
}
