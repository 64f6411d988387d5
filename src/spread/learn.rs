//! What follows from a version newly held: when it runs and to whom it is pushed.

use std::sync::Arc;
use std::time;

use crate::clock;
use crate::host;
use crate::spread::decision::{Action, Spread};
use crate::spread::message;
use crate::spread::push;
use crate::spread::tree;
use crate::version;

/// How long a standby reader that read a new version waits for the push before it starts its own.
const GRACE: time::Duration = time::Duration::from_millis(60);

/// Where a version came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Source {
    /// Read from the log.
    Log,
    /// Pushed or pulled from another node.
    Peer(host::HostId),
}

impl Spread {
    /// A new version is held; others are thought to hold `base`.
    pub(super) fn learned(&mut self, base: version::Version, source: Source, now: clock::Instant) {
        let version = self.held().version;
        self.pull.held(version);
        self.push.reset(version);
        match source {
            Source::Log => self.learned_from_log(base, now),
            Source::Peer(host) => self.learned_from_peer(base, host, now),
        }
    }

    fn learned_from_log(&mut self, base: version::Version, now: clock::Instant) {
        let wait = time::Duration::from_millis(self.settings.witness_ms);
        // A node that starts runs what the log holds, as every node that starts beside it does. After
        // a loss of power of all hosts each waited for a witness that started later, 200 ms in which
        // its callers were refused.
        let alone = !self.settled() || self.peers.others() == 0 || wait.is_zero();
        self.witness = (!alone).then(|| now + wait);
        let readers = usize::from(self.settings.readers);
        match self.peers.rank() {
            0 => self.start_push(base, now),
            rank if rank < readers => self.push.hold(now + GRACE),
            _ => {}
        }
    }

    fn learned_from_peer(
        &mut self,
        base: version::Version,
        host: host::HostId,
        now: clock::Instant,
    ) {
        self.witness = None;
        let pushed = self.pull.way(self.held().version).is_some();
        // A node that starts pulls what everybody holds: there is nobody to push it to.
        if !pushed && !self.settled() {
            return;
        }
        match !pushed && self.peers.remote(host) {
            true => self.start_push(base, now),
            false => self.pass_on(base, now),
        }
    }

    /// Pushes the version held to the top of the tree, and to the hosts below this one.
    fn start_push(&mut self, base: version::Version, now: clock::Instant) {
        for host in self.tree().top().to_vec() {
            self.push_to(host, base, now);
        }
        self.pass_on(base, now);
    }

    /// Pushes the version held to the hosts below this one, once.
    pub(super) fn pass_on(&mut self, base: version::Version, now: clock::Instant) {
        if !self.push.begin() {
            return;
        }
        for child in self.tree().children(self.identity.host).to_vec() {
            self.push_to(child, base, now);
        }
    }

    fn tree(&self) -> tree::Tree {
        tree::Tree::new(self.peers.zone(), self.held().version, self.settings.fanout)
    }

    /// Pushes the version held to `host`, which is thought to hold `base`.
    fn push_to(&mut self, host: host::HostId, base: version::Version, now: clock::Instant) {
        let version = self.held().version;
        if host == self.identity.host || self.peers.holds(host) >= version {
            return;
        }
        let witness = self.witness.is_some() && self.push.first();
        if !self.push.add(host, now) {
            return;
        }
        let way = match witness || self.push.acks() {
            true => message::Way::PassAck,
            false => message::Way::Pass,
        };
        self.give(host, base, way);
    }

    /// Sends the version held, or the news of it when it is too large for a datagram.
    pub(super) fn give(&mut self, host: host::HostId, base: version::Version, way: message::Way) {
        let Some(parcel) = self.replica.parcel(base) else { return };
        let most = usize::from(self.settings.datagram_bytes);
        let stamp = parcel.version_id;
        let small = parcel.patch.size() + message::OVERHEAD <= most;
        let datagram = match small {
            true => message::Datagram::Push { parcel, way },
            false => message::Datagram::Announce { version_id: stamp, way },
        };
        self.send(host, datagram);
    }

    /// Sends overdue pushes again and takes over the hosts below those that don't answer.
    pub(super) fn tick_push(&mut self, now: clock::Instant) {
        let base = self.replica.older();
        if self.push.lapsed(now) {
            self.start_push(base, now);
        }
        for overdue in self.push.overdue(now) {
            match overdue {
                push::Overdue::Again(host) => self.give(host, base, message::Way::PassAck),
                push::Overdue::Adopt(host) => {
                    for child in self.tree().children(host).to_vec() {
                        self.push_to(child, base, now);
                    }
                }
            }
        }
    }

    /// Runs what is held if nothing stands against it.
    pub(super) fn advance(&mut self, now: clock::Instant) {
        let held = self.held();
        if self.witness.is_some_and(|until| until <= now) {
            log::info!(version = held.version.number(); "no other host has confirmed the version");
            self.witness = None;
        }
        let waits = !self.settled() || self.witness.is_some() || held.version < self.floor;
        if waits || held.version <= self.running.version {
            return;
        }
        self.running = held;
        self.actions.push(Action::Run(Arc::new(self.replica.applied())));
    }
}
