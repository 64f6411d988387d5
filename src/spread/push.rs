//! Pushes of the newest version that wait for an acknowledgement.

use std::collections;
use std::time;

use crate::clock;
use crate::configs;
use crate::host;
use crate::version;

/// One push without an acknowledgement so far.
#[derive(Clone, Copy, Debug)]
struct Pending {
    host: host::HostId,
    sent: u8,
    due: clock::Instant,
}

/// What to do about a push whose time is over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overdue {
    /// Send it again.
    Again(host::HostId),
    /// Give the host up and push to the hosts below it.
    Adopt(host::HostId),
}

/// The state of pushing one version.
///
/// Invariant: no host is pushed to twice by [`Push::add`] for the same version.
#[derive(Debug)]
pub struct Push {
    version: version::Version,
    begun: bool,
    pending: Vec<Pending>,
    pushed: collections::HashSet<host::HostId>,
    grace: Option<clock::Instant>,
    wait: time::Duration,
    most: u8,
}

impl Push {
    /// Nothing to push.
    pub fn new(settings: &configs::spread::Spread) -> Self {
        Self {
            version: version::Version::NONE,
            begun: false,
            pending: Vec::new(),
            pushed: collections::HashSet::new(),
            grace: None,
            wait: time::Duration::from_millis(settings.ack_ms),
            most: settings.pushes,
        }
    }

    /// Turns to `version`; whatever was pending is superseded.
    pub fn reset(&mut self, version: version::Version) {
        self.version = version;
        self.begun = false;
        self.pending.clear();
        self.pushed.clear();
        self.grace = None;
    }

    /// The version this is about.
    pub const fn version(&self) -> version::Version {
        self.version
    }

    /// Whether acknowledgements are asked of every host.
    pub const fn acks(&self) -> bool {
        !self.wait.is_zero()
    }

    /// Whether nobody was pushed to so far.
    pub fn first(&self) -> bool {
        self.pushed.is_empty()
    }

    /// Waits until `until` for somebody else's push before this node starts its own.
    pub const fn hold(&mut self, until: clock::Instant) {
        self.grace = Some(until);
    }

    /// Begins to pass the version on; false when that was done before.
    pub const fn begin(&mut self) -> bool {
        self.grace = None;
        !std::mem::replace(&mut self.begun, true)
    }

    /// Takes note of a push to `host`; false when there was one before.
    pub fn add(&mut self, host: host::HostId, now: clock::Instant) -> bool {
        if !self.pushed.insert(host) {
            return false;
        }
        if self.acks() {
            self.pending.push(Pending { host, sent: 1, due: now + self.wait });
        }
        true
    }

    /// `host` holds `version`.
    pub fn acked(&mut self, host: host::HostId, version: version::Version) {
        if version >= self.version {
            self.pending.retain(|p| p.host != host);
        }
    }

    /// `host` is fetching the version: there is no need to push it again.
    pub fn fetched(&mut self, host: host::HostId) {
        self.pending.retain(|p| p.host != host);
    }

    /// Whether the wait for somebody else's push is over.
    pub fn lapsed(&self, now: clock::Instant) -> bool {
        self.grace.is_some_and(|until| until <= now)
    }

    /// The pushes whose time is over.
    pub fn overdue(&mut self, now: clock::Instant) -> Vec<Overdue> {
        let mut list = Vec::new();
        for pending in self.pending.iter_mut().filter(|p| p.due <= now) {
            if pending.sent >= self.most {
                list.push(Overdue::Adopt(pending.host));
                continue;
            }
            pending.sent += 1;
            pending.due = now + self.wait * u32::from(pending.sent);
            list.push(Overdue::Again(pending.host));
        }
        self.pending.retain(|p| p.due > now);
        list
    }

    /// When something is due next.
    pub fn due(&self) -> Option<clock::Instant> {
        self.pending.iter().map(|p| p.due).chain(self.grace).min()
    }
}
