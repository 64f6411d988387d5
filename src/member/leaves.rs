//! Leavings of upstreams, kept by some hosts for the host on which they were acknowledged.
//!
//! Load: a leaving costs one datagram of some 60 bytes to each of [`HOLDERS`] hosts. These send it
//! back when they see that a new process runs on its host, and with each ping and ack to that host.

use std::collections;
use std::time;

use crate::clock;
use crate::host;
use crate::leave;
use crate::member;
use crate::member::wire;

/// Time for which a leaving is kept: more than an upstream takes to end, and a message to arrive.
const LIFETIME: time::Duration = time::Duration::from_secs(600);

/// Leavings kept for one host, the latest ones. A host replaces its upstream a few times an hour.
const MAX_PER_HOST: usize = 8;

/// Hosts that are told of a leaving before it is acknowledged. Each datagram may be lost, and each
/// of these hosts may end, too.
const HOLDERS: usize = 6;

/// The leavings that a host knows.
#[derive(Debug, Default)]
pub(super) struct Leaves {
    /// Invariant: at most [`MAX_PER_HOST`] for each host, the oldest first, one for each instance.
    hosts: collections::BTreeMap<host::HostId, Vec<Known>>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    leave: leave::Leave,
    expires_at: clock::Instant,
}

impl Leaves {
    /// Adds what was acknowledged on `host`, to be kept until `expires_at`; `false` when it was
    /// known.
    pub fn add(
        &mut self,
        host: host::HostId,
        leave: leave::Leave,
        expires_at: clock::Instant,
    ) -> bool {
        let known = self.hosts.entry(host).or_default();
        if known.iter().any(|known| known.leave.includes(&leave)) {
            return false;
        }
        known.retain(|known| known.leave.instance != leave.instance);
        if known.len() >= MAX_PER_HOST {
            known.remove(0);
        }
        known.push(Known { leave, expires_at });
        true
    }

    /// The leavings on `host`, the oldest first.
    pub fn of(&self, host: host::HostId) -> impl Iterator<Item = leave::Leave> {
        self.hosts.get(&host).into_iter().flatten().map(|known| known.leave)
    }

    /// Adds the leavings on `host` to a datagram of `now`, the latest first, as far as they fit.
    pub fn pack(&self, host: host::HostId, packer: &mut wire::Packer, now: clock::Instant) {
        let known = self.hosts.get(&host).into_iter().flatten().rev();
        known.map(|known| item(host, known, now)).all(|item| packer.item(item));
    }

    /// Forgets what was acknowledged too long before `now`.
    pub fn expire(&mut self, now: clock::Instant) {
        self.hosts.retain(|_, known| {
            known.retain(|known| known.expires_at > now);
            !known.is_empty()
        });
    }
}

fn item(host: host::HostId, known: &Known, now: clock::Instant) -> wire::Item {
    let age = LIFETIME.saturating_sub(known.expires_at.since(now)).as_millis();
    let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
    wire::Item::Leave { host, leave: known.leave, age_ms }
}

impl member::Member {
    /// Adds a leaving that this host acknowledges, and tells [`HOLDERS`] hosts of it at once.
    pub(super) fn acknowledge_leave(&mut self, leave: leave::Leave) {
        if !self.leaves.add(self.id, leave, self.now + LIFETIME) {
            return;
        }
        self.own_leaves_changed = true;
        for to in self.sample(HOLDERS, self.id) {
            self.send_leaves(to, self.id);
        }
    }

    /// Merges a leaving that another host, or the directory, knows.
    pub(super) fn merge_leave(&mut self, host: host::HostId, leave: leave::Leave, age_ms: u32) {
        let remaining = LIFETIME.saturating_sub(time::Duration::from_millis(age_ms.into()));
        if remaining.is_zero() || !self.leaves.add(host, leave, self.now + remaining) {
            return;
        }
        self.own_leaves_changed |= host == self.id;
    }

    /// Sends `to` the leavings on `host`, if any are known.
    pub(super) fn send_leaves(&mut self, to: host::HostId, host: host::HostId) {
        let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
        self.leaves.pack(host, &mut packer, self.now);
        if !packer.is_empty() {
            self.out.push(member::Action::Send { to, datagram: packer.finish() });
        }
    }

    /// Known leavings of the upstreams beside this host, if they have changed since the last call.
    pub fn take_own_leaves(&mut self) -> Option<Vec<leave::Leave>> {
        let changed = std::mem::take(&mut self.own_leaves_changed);
        changed.then(|| self.leaves.of(self.id).collect())
    }
}
