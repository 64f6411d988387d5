//! Pushes of the newest version, and those among them that wait for an acknowledgement.

use std::collections;
use std::time;

use crate::clock;
use crate::configs;
use crate::host;
use crate::version;

/// A push that has not been acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    host: host::HostId,
    sent: u8,
    due: clock::Instant,
}

/// What to do about a push that was not acknowledged in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overdue {
    /// Send the push again.
    Resend(host::HostId),
    /// Give up on the host and push to its children in the tree.
    PushToChildren(host::HostId),
}

/// The pushes of one version by this node.
///
/// Invariant: no host is pushed to twice by [`Push::record_push`] for the same version.
#[derive(Debug)]
pub struct Push {
    version: version::Version,
    forwarded: bool,
    pending: Vec<Pending>,
    pushed: collections::HashSet<host::HostId>,
    delayed_until: Option<clock::Instant>,
    ack_timeout: time::Duration,
    max_sends: u8,
}

impl Push {
    /// No version to push yet.
    pub fn new(settings: &configs::spread::Spread) -> Self {
        Self {
            version: version::Version::NONE,
            forwarded: false,
            pending: Vec::new(),
            pushed: collections::HashSet::new(),
            delayed_until: None,
            ack_timeout: time::Duration::from_millis(settings.ack_ms),
            max_sends: settings.pushes,
        }
    }

    /// Starts over with `version` and drops the pending pushes of the version before it.
    pub fn reset(&mut self, version: version::Version) {
        self.version = version;
        self.forwarded = false;
        self.pending.clear();
        self.pushed.clear();
        self.delayed_until = None;
    }

    /// The version that is pushed.
    pub const fn version(&self) -> version::Version {
        self.version
    }

    /// Whether every push requests an acknowledgement.
    pub const fn wants_acks(&self) -> bool {
        !self.ack_timeout.is_zero()
    }

    /// Whether the version has not been pushed to any host yet.
    pub fn none_sent(&self) -> bool {
        self.pushed.is_empty()
    }

    /// Delays this node's push until `until`, because another reader is expected to push first.
    pub const fn delay_until(&mut self, until: clock::Instant) {
        self.delayed_until = Some(until);
    }

    /// Marks the version as forwarded to this host's children; false when it was before.
    pub const fn begin_forwarding(&mut self) -> bool {
        self.delayed_until = None;
        !std::mem::replace(&mut self.forwarded, true)
    }

    /// Records a push to `host`; false when there was one before.
    pub fn record_push(&mut self, host: host::HostId, now: clock::Instant) -> bool {
        if !self.pushed.insert(host) {
            return false;
        }
        if self.wants_acks() {
            self.pending.push(Pending { host, sent: 1, due: now + self.ack_timeout });
        }
        true
    }

    /// Ends the wait for `host`, which holds `version`, if that is the version pushed or a newer
    /// one.
    pub fn acknowledged(&mut self, host: host::HostId, version: version::Version) {
        if version >= self.version {
            self.pending.retain(|p| p.host != host);
        }
    }

    /// Ends the wait for `host`, which is fetching the version.
    pub fn fetched(&mut self, host: host::HostId) {
        self.pending.retain(|p| p.host != host);
    }

    /// Whether a delayed push is due; see [`Push::delay_until`].
    pub fn delay_over(&self, now: clock::Instant) -> bool {
        self.delayed_until.is_some_and(|until| until <= now)
    }

    /// The pushes that were not acknowledged in time; each is rescheduled or given up.
    pub fn overdue(&mut self, now: clock::Instant) -> Vec<Overdue> {
        let mut list = Vec::new();
        for pending in self.pending.iter_mut().filter(|p| p.due <= now) {
            if pending.sent >= self.max_sends {
                list.push(Overdue::PushToChildren(pending.host));
                continue;
            }
            pending.sent += 1;
            pending.due = now + self.ack_timeout * u32::from(pending.sent);
            list.push(Overdue::Resend(pending.host));
        }
        self.pending.retain(|p| p.due > now);
        list
    }

    /// When the next push or timeout is due.
    pub fn due(&self) -> Option<clock::Instant> {
        self.pending.iter().map(|p| p.due).chain(self.delayed_until).min()
    }
}
