//! Decides when a newly held version runs and to which hosts it is pushed.

use std::sync::Arc;
use std::time;

use crate::clock;
use crate::host;
use crate::spread::decision::{Action, Spread};
use crate::spread::message;
use crate::spread::push;
use crate::spread::tree;
use crate::version;

/// How long a standby reader that has read a new version leaves its push to the first reader.
const STANDBY_PUSH_DELAY: time::Duration = time::Duration::from_millis(60);

/// Where a version came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// The log, read by this node.
    Log,
    /// Another node, by a push or a pull.
    Peer(host::HostId),
}

impl Spread {
    /// Handles a version that this node holds newly; other hosts are assumed to hold `base`.
    pub(super) fn version_held(
        &mut self,
        base: version::Version,
        source: Source,
        now: clock::Instant,
    ) {
        let version = self.held().version;
        self.pull.version_held(version);
        self.push.reset(version);
        match source {
            Source::Log => self.held_from_log(base, now),
            Source::Peer(host) => self.held_from_peer(base, host, now),
        }
    }

    fn held_from_log(&mut self, base: version::Version, now: clock::Instant) {
        let wait = time::Duration::from_millis(self.settings.witness_ms);
        // A node that starts runs what it reads from the log without a witness. After a power loss
        // of all hosts, each would otherwise wait 200 ms for a witness that starts later, and
        // refuse calls in the meantime.
        let skip_witness = !self.started() || self.peers.other_count() == 0 || wait.is_zero();
        self.witness_deadline = (!skip_witness).then(|| now + wait);
        let readers = usize::from(self.settings.readers);
        match self.peers.rank() {
            0 => self.start_push(base, now),
            rank if rank < readers => self.push.delay_until(now + STANDBY_PUSH_DELAY),
            _ => self.tell_version(now),
        }
    }

    fn held_from_peer(&mut self, base: version::Version, host: host::HostId, now: clock::Instant) {
        self.witness_deadline = None;
        let pushed = self.pull.forwarding(self.held().version).is_some();
        // A node that starts pulls a version that the other hosts already hold: no push is needed.
        if !pushed && !self.started() {
            return;
        }
        match !pushed && self.peers.in_other_zone(host) {
            true => self.start_push(base, now),
            false => self.forward(base, now),
        }
    }

    /// Pushes the version held to the top hosts of the tree and to this host's children.
    fn start_push(&mut self, base: version::Version, now: clock::Instant) {
        for host in self.tree().top().to_vec() {
            self.push_to(host, base, now);
        }
        self.forward(base, now);
    }

    /// Pushes the version held to this host's children in the tree, once for each version.
    pub(super) fn forward(&mut self, base: version::Version, now: clock::Instant) {
        if !self.push.begin_forwarding() {
            return;
        }
        for child in self.tree().children(self.identity.host).to_vec() {
            self.push_to(child, base, now);
        }
    }

    fn tree(&self) -> tree::Tree {
        tree::Tree::new(self.peers.zone(), self.held().version, self.settings.fanout)
    }

    /// Pushes the version held to `host`, which is assumed to hold `base`.
    fn push_to(&mut self, host: host::HostId, base: version::Version, now: clock::Instant) {
        let version = self.held().version;
        if host == self.identity.host || self.peers.held_by(host) >= version {
            return;
        }
        let needs_witness = self.witness_deadline.is_some() && self.push.none_sent();
        if !self.push.record_push(host, now) {
            return;
        }
        let forwarding = match needs_witness || self.push.wants_acks() {
            true => message::Forwarding::ForwardAck,
            false => message::Forwarding::Forward,
        };
        self.send_held(host, base, forwarding);
    }

    /// Sends the version held, or announces it when the update is too large for a datagram.
    pub(super) fn send_held(
        &mut self,
        host: host::HostId,
        base: version::Version,
        forwarding: message::Forwarding,
    ) {
        let Some(update) = self.replica.update_from(base) else { return };
        let max_bytes = usize::from(self.settings.datagram_bytes);
        let version_id = update.version_id;
        let small = update.patch.size() + message::MAX_PUSH_OVERHEAD_BYTES <= max_bytes;
        let datagram = match small {
            true => message::Datagram::Push { update, forwarding },
            false => message::Datagram::Announce { version_id, forwarding },
        };
        self.send(host, datagram);
    }

    /// Resends overdue pushes, and pushes to the children of hosts that don't acknowledge.
    pub(super) fn tick_push(&mut self, now: clock::Instant) {
        let base = self.replica.previous_version();
        if self.push.delay_over(now) {
            self.start_push(base, now);
        }
        for overdue in self.push.overdue(now) {
            match overdue {
                push::Overdue::Resend(host) => {
                    self.send_held(host, base, message::Forwarding::ForwardAck)
                }
                push::Overdue::PushToChildren(host) => {
                    for child in self.tree().children(host).to_vec() {
                        self.push_to(child, base, now);
                    }
                }
            }
        }
    }

    /// Runs the version held once the start is complete and no wait for a witness remains.
    pub(super) fn run_held(&mut self, now: clock::Instant) {
        let held = self.held();
        if self.witness_deadline.is_some_and(|until| until <= now) {
            log::info!(version = held.version.number(); "no other host confirmed the version");
            self.witness_deadline = None;
        }
        let waits =
            !self.started() || self.witness_deadline.is_some() || held.version < self.min_version;
        if waits || held.version <= self.running.version {
            return;
        }
        self.running = held;
        self.actions.push(Action::Run(Arc::new(self.replica.applied())));
    }
}
