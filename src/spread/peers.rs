//! What a node knows of the others: where they are and which version each holds.

use std::collections;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::host;
use crate::spread::tree;
use crate::version;
use crate::view;

/// What one host is known to hold and to have run.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Held when it was last heard of; lower again after a restart.
    holds: version::Version,
    /// The highest version ever heard from it.
    ran: version::Version,
}

/// The other hosts as the distribution needs them.
///
/// Invariant: `zone` holds this host.
#[derive(Debug)]
pub struct Peers {
    me: host::HostId,
    zone: Vec<host::HostId>,
    readers: Vec<host::HostId>,
    remote: Vec<host::HostId>,
    known: collections::HashMap<host::HostId, Known>,
}

impl Peers {
    /// Nobody but this host.
    pub fn new(me: host::HostId) -> Self {
        Self {
            me,
            zone: vec![me],
            readers: vec![me],
            remote: Vec::new(),
            known: collections::HashMap::new(),
        }
    }

    /// Takes a new view; `zone` is this host's availability zone.
    pub fn update(&mut self, view: &Arc<view::View>, zone: &SmolStr) {
        let alive = view.hosts.iter().filter(|h| h.health == view::Health::Alive);
        let (near, far): (Vec<&view::Host>, Vec<&view::Host>) =
            alive.filter(|h| h.id != self.me).partition(|h| h.locality.zone == *zone);
        self.zone = near.iter().map(|h| h.id).chain([self.me]).collect();
        self.remote = far.iter().map(|h| h.id).collect();
        self.readers = tree::readers(&self.zone);
        self.known.retain(|&h, _| view.host(h).is_some());
    }

    /// Takes note that `host` holds `version`.
    pub fn heard(&mut self, host: host::HostId, version: version::Version) {
        if host == self.me {
            return;
        }
        let known = self.known.entry(host).or_default();
        known.holds = version;
        known.ran = known.ran.max(version);
    }

    /// Takes note that `host` starts and holds nothing.
    pub fn restarted(&mut self, host: host::HostId) {
        self.heard(host, version::Version::NONE);
    }

    /// What `host` is known to hold.
    pub fn holds(&self, host: host::HostId) -> version::Version {
        self.known.get(&host).map(|k| k.holds).unwrap_or_default()
    }

    /// The highest version ever heard from `host`.
    pub fn ran(&self, host: host::HostId) -> version::Version {
        self.known.get(&host).map(|k| k.ran).unwrap_or_default()
    }

    /// The hosts of this zone that answer, this one included.
    pub fn zone(&self) -> &[host::HostId] {
        &self.zone
    }

    /// How many other hosts answer.
    pub fn others(&self) -> usize {
        self.zone.len() - 1 + self.remote.len()
    }

    /// Whether `host` stands in another zone.
    pub fn remote(&self, host: host::HostId) -> bool {
        self.remote.contains(&host)
    }

    /// This host's place among the readers of its zone; 0 follows the log.
    pub fn rank(&self) -> usize {
        self.readers.iter().position(|&h| h == self.me).unwrap_or_default()
    }

    /// The host that follows the log for this zone.
    pub fn root(&self) -> host::HostId {
        self.readers.first().copied().unwrap_or(self.me)
    }

    /// A host other than `not` that is known to hold `version` or a newer one, this zone's first.
    pub fn holder<R: rand::Rng>(
        &self,
        version: version::Version,
        not: &[host::HostId],
        rng: &mut R,
    ) -> Option<host::HostId> {
        let fits = |h: &host::HostId| self.holds(*h) >= version && !not.contains(h);
        let near = self.zone.iter().copied().filter(|h| *h != self.me && fits(h)).choose(rng);
        near.or_else(|| self.remote.iter().copied().filter(|h| fits(h)).choose(rng))
    }

    /// Up to `most` hosts to ask at start: this zone's readers, then others of this zone and of
    /// other zones by turns.
    pub fn ask<R: rand::Rng>(&self, most: usize, rng: &mut R) -> Vec<host::HostId> {
        let mut asked: Vec<host::HostId> =
            self.readers.iter().copied().filter(|&h| h != self.me).take(2).collect();
        let near: Vec<host::HostId> = self.zone.sample(rng, most).copied().collect();
        let far: Vec<host::HostId> = self.remote.sample(rng, most).copied().collect();
        for index in 0..most {
            asked.extend(near.get(index));
            asked.extend(far.get(index));
        }
        let mut seen = collections::HashSet::from([self.me]);
        asked.retain(|&h| seen.insert(h));
        asked.truncate(most);
        asked
    }
}
