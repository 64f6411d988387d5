//! What follows from the messages of other nodes.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::delta;
use crate::host;
use crate::spread::decision::{Action, Spread, Transfer};
use crate::spread::learn;
use crate::spread::message;
use crate::spread::pull;
use crate::spread::start;
use crate::version;

/// Hosts remembered as served, to be named when this one is busy.
const SERVED: usize = 8;

impl Spread {
    /// Another host is known to run `version`.
    pub(super) fn heard(
        &mut self,
        host: host::HostId,
        version: version::Version,
        now: clock::Instant,
    ) {
        self.note(host, version);
        let delay = time::Duration::from_millis(self.settings.pull_ms);
        self.chase(host, version, delay, now);
    }

    /// Takes a datagram.
    pub(super) fn datagram(
        &mut self,
        host: host::HostId,
        datagram: message::Datagram,
        now: clock::Instant,
    ) {
        match datagram {
            message::Datagram::Ack { version } => self.note(host, version),
            message::Datagram::Announce { version_id, way } => {
                self.announced(host, version_id, way, now)
            }
            message::Datagram::Ask => self.asked(host),
            message::Datagram::Push { parcel, way } => self.pushed(host, &parcel, way, now),
            message::Datagram::Tell { version_id, yours } => {
                self.told(host, version_id, yours, now)
            }
            message::Datagram::Want { have } => self.wanted(host, have),
        }
    }

    /// Takes note of what another host holds.
    fn note(&mut self, host: host::HostId, version: version::Version) {
        self.peers.heard(host, version);
        self.push.acked(host, version);
        if version >= self.held().version {
            self.witness = None;
        }
    }

    /// Plans to pull `version`, or something newer, from `host`.
    pub(super) fn chase(
        &mut self,
        host: host::HostId,
        version: version::Version,
        longest: time::Duration,
        now: clock::Instant,
    ) {
        if version <= self.held().version {
            return;
        }
        self.pull.aim(version);
        if self.pull.state() == pull::State::Idle {
            self.pull.plan(host, longest, now, &mut self.rng);
        }
    }

    fn announced(
        &mut self,
        host: host::HostId,
        stamp: version::VersionId,
        way: message::Way,
        now: clock::Instant,
    ) {
        self.note(host, stamp.version);
        if stamp.version <= self.held().version {
            self.again(host, way, now);
            return;
        }
        self.pull.aim(stamp.version);
        self.remember(stamp.version, way);
        if !self.pull.busy(now) {
            self.fetch(host, now);
        }
    }

    fn fetch(&mut self, host: host::HostId, now: clock::Instant) {
        let limit = time::Duration::from_millis(self.settings.transfer_ms);
        self.pull.fetching(host, now, now + limit);
        let have = self.held().version;
        self.actions.push(Action::Fetch { host, have });
    }

    fn asked(&mut self, host: host::HostId) {
        let yours = self.peers.ran(host);
        let stamp = self.held();
        self.peers.restarted(host);
        self.send(host, message::Datagram::Tell { version_id: stamp, yours });
    }

    fn told(
        &mut self,
        host: host::HostId,
        stamp: version::VersionId,
        yours: version::Version,
        now: clock::Instant,
    ) {
        self.floor = self.floor.max(yours);
        self.told = self.told.max(stamp.version);
        self.note(host, stamp.version);
        self.chase(host, stamp.version, time::Duration::ZERO, now);
        self.settle(start::Event::Told, now);
    }

    fn pushed(
        &mut self,
        host: host::HostId,
        parcel: &message::Parcel,
        way: message::Way,
        now: clock::Instant,
    ) {
        self.note(host, parcel.version_id.version);
        if parcel.version_id.version <= self.held().version {
            self.again(host, way, now);
            return;
        }
        self.pull.aim(parcel.version_id.version);
        self.remember(parcel.version_id.version, way);
        match self.open(host, parcel, now) {
            true => self.acknowledge(host, way),
            false if way != message::Way::Answer => self.want(host, now),
            false => self.refused(host, None, now),
        }
    }

    /// A version was pushed that is held already.
    fn again(&mut self, host: host::HostId, way: message::Way, now: clock::Instant) {
        self.acknowledge(host, way);
        if way != message::Way::Answer {
            self.pass_on(self.replica.older(), now);
        }
    }

    fn remember(&mut self, version: version::Version, way: message::Way) {
        if way != message::Way::Answer {
            self.pull.remember(version, way);
        }
    }

    fn acknowledge(&mut self, host: host::HostId, way: message::Way) {
        if way == message::Way::PassAck {
            let version = self.held().version;
            self.send(host, message::Datagram::Ack { version });
        }
    }

    /// Takes a parcel; false when it can't be used.
    fn open(&mut self, host: host::HostId, parcel: &message::Parcel, now: clock::Instant) -> bool {
        let base = match parcel.patch {
            delta::Patch::Delta(_) => parcel.base,
            _ => self.held().version,
        };
        match self.replica.open(parcel) {
            Ok(true) => self.learned(base, learn::Source::Peer(host), now),
            Ok(false) => {}
            Err(error) => {
                let version = parcel.version_id.version.number();
                log::info!(version, error:% = error; "could not use a patch from {host}");
                return false;
            }
        }
        true
    }

    /// Asks `host` for what it holds.
    fn want(&mut self, host: host::HostId, now: clock::Instant) {
        if self.pull.busy(now) {
            return;
        }
        let wait = self.settings.retry().mul_f64(self.rng.random_range(0.75..1.25));
        self.pull.asked(host, now + wait);
        let have = self.held().version;
        self.send(host, message::Datagram::Want { have });
    }

    fn wanted(&mut self, host: host::HostId, have: version::Version) {
        self.note(host, have);
        if have < self.held().version {
            self.give(host, have, message::Way::Answer);
        }
    }

    /// `host` serves too many others; `other` may serve.
    fn refused(&mut self, host: host::HostId, other: Option<host::HostId>, now: clock::Instant) {
        self.pull.failed(host);
        if self.pull.target() <= self.held().version {
            return;
        }
        let next = other.filter(|&o| o != self.identity.host && !self.pull.tried().contains(&o));
        self.retry(next, now);
    }

    /// Plans another try at `next`, or at any host that holds the version wanted.
    fn retry(&mut self, next: Option<host::HostId>, now: clock::Instant) {
        let Some(next) = next.or_else(|| self.elsewhere()) else {
            self.pull.give_up(self.held().version);
            return;
        };
        let longest = self.pull.backoff(self.settings.retry());
        self.pull.plan(next, longest, now, &mut self.rng);
    }

    /// A host that was not asked in vain, else any that holds the version wanted.
    fn elsewhere(&mut self) -> Option<host::HostId> {
        let target = self.pull.target();
        let fresh = self.peers.holder(target, self.pull.tried(), &mut self.rng);
        fresh.or_else(|| self.peers.holder(target, &[], &mut self.rng))
    }

    /// Asks the planned host, or another one when the time of a request is over.
    pub(super) fn tick_pull(&mut self, now: clock::Instant) {
        match self.pull.state() {
            pull::State::Planned { host, due } if due <= now => self.want(host, now),
            pull::State::Asked { host, due } | pull::State::Fetching { host, due, .. }
                if due <= now =>
            {
                self.pull.failed(host);
                self.retry(None, now);
            }
            _ => {}
        }
    }

    /// A transfer that this node asked for has ended.
    pub(super) fn fetched(
        &mut self,
        host: host::HostId,
        served: Option<message::Served>,
        now: clock::Instant,
    ) {
        let ours = self.pull.fetches(host);
        match served {
            Some(message::Served::Parcel(parcel)) => {
                let way = self.pull.way(parcel.version_id.version);
                if self.open(host, &parcel, now) {
                    self.acknowledge(host, way.unwrap_or(message::Way::Answer));
                }
                if ours && self.pull.fetches(host) {
                    self.refused(host, None, now);
                }
            }
            Some(message::Served::Busy { other }) if ours => self.refused(host, other, now),
            Some(message::Served::Nothing) | None if ours => self.refused(host, None, now),
            _ => {}
        }
    }

    /// Another node asks for a transfer.
    pub(super) fn serve(&mut self, transfer: Transfer, fetch: &message::Fetch) {
        self.note(fetch.host, fetch.have);
        self.push.fetched(fetch.host);
        let served = self.served_to(fetch);
        self.actions.push(Action::Answer { transfer, served });
    }

    fn served_to(&mut self, fetch: &message::Fetch) -> message::Served {
        if fetch.have >= self.held().version {
            return message::Served::Nothing;
        }
        if self.serving >= self.settings.transfers {
            let other = self.served.pop_front();
            self.served.extend(other);
            return message::Served::Busy { other };
        }
        let Some(parcel) = self.replica.parcel(fetch.have) else {
            return message::Served::Nothing;
        };
        self.serving += 1;
        self.served.push_back(fetch.host);
        if self.served.len() > SERVED {
            self.served.pop_front();
        }
        message::Served::Parcel(parcel)
    }
}
