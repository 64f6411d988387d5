//! What a node knows of other hosts: their availability zones and the versions they hold.

use std::collections;
use std::sync::Arc;

use rand::seq::IndexedRandom;
use rand::seq::IteratorRandom;
use smol_str::SmolStr;

use crate::host;
use crate::spread::tree;
use crate::version;
use crate::view;

/// The versions that one host is known to hold and to have run.
#[derive(Clone, Copy, Debug, Default)]
struct PeerVersions {
    /// Version in its last report; reset by a restart.
    held: version::Version,
    /// Highest version that it has ever reported.
    highest: version::Version,
}

/// The live hosts, by zone, with the versions they reported.
///
/// Invariant: `zone` contains this host.
#[derive(Debug)]
pub struct Peers {
    me: host::HostId,
    zone: Vec<host::HostId>,
    readers: Vec<host::HostId>,
    remote: Vec<host::HostId>,
    known: collections::HashMap<host::HostId, PeerVersions>,
}

impl Peers {
    /// Starts with this host alone.
    pub fn new(me: host::HostId) -> Self {
        Self {
            me,
            zone: vec![me],
            readers: vec![me],
            remote: Vec::new(),
            known: collections::HashMap::new(),
        }
    }

    /// Applies a new view of the hosts; `zone` is this host's availability zone.
    pub fn update(&mut self, view: &Arc<view::View>, zone: &SmolStr) {
        let alive = view.hosts.iter().filter(|h| h.health == view::Health::Alive);
        let (near, far): (Vec<&view::Host>, Vec<&view::Host>) =
            alive.filter(|h| h.id != self.me).partition(|h| h.locality.zone == *zone);
        self.zone = near.iter().map(|h| h.id).chain([self.me]).collect();
        self.remote = far.iter().map(|h| h.id).collect();
        self.readers = tree::readers(&self.zone);
        self.known.retain(|&h, _| view.host(h).is_some());
    }

    /// Records that `host` holds `version`.
    pub fn record(&mut self, host: host::HostId, version: version::Version) {
        if host == self.me {
            return;
        }
        let known = self.known.entry(host).or_default();
        known.held = version;
        known.highest = known.highest.max(version);
    }

    /// Records that `host` has restarted and holds no version.
    pub fn restarted(&mut self, host: host::HostId) {
        self.record(host, version::Version::NONE);
    }

    /// The version that `host` last reported.
    pub fn held_by(&self, host: host::HostId) -> version::Version {
        self.known.get(&host).map(|k| k.held).unwrap_or_default()
    }

    /// The highest version that `host` has ever reported, also before a restart.
    pub fn highest_run(&self, host: host::HostId) -> version::Version {
        self.known.get(&host).map(|k| k.highest).unwrap_or_default()
    }

    /// The live hosts of this zone, including this one.
    pub fn zone(&self) -> &[host::HostId] {
        &self.zone
    }

    /// Number of other live hosts.
    pub fn other_count(&self) -> usize {
        self.zone.len() - 1 + self.remote.len()
    }

    /// Whether `host` is live and in another zone.
    pub fn in_other_zone(&self, host: host::HostId) -> bool {
        self.remote.contains(&host)
    }

    /// This host's position in the order in which the zone's hosts read the log; 0 follows it.
    pub fn rank(&self) -> usize {
        self.readers.iter().position(|&h| h == self.me).unwrap_or_default()
    }

    /// The host that follows the log for this zone.
    pub fn log_follower(&self) -> host::HostId {
        self.readers.first().copied().unwrap_or(self.me)
    }

    /// The hosts of this zone below this one in the tree along which leases are renewed, without
    /// the first `readers` hosts, which need none. Each host has `fanout` hosts below it.
    pub fn lease_children(&self, fanout: usize, readers: usize) -> Vec<host::HostId> {
        let first = self.rank() * fanout + 1;
        let below = first.max(readers)..first + fanout;
        below.filter_map(|position| self.readers.get(position).copied()).collect()
    }

    /// A random host not in `except` that holds `version` or a newer one, preferably of this zone.
    pub fn holder<R: rand::Rng>(
        &self,
        version: version::Version,
        except: &[host::HostId],
        rng: &mut R,
    ) -> Option<host::HostId> {
        let fits = |h: &host::HostId| self.held_by(*h) >= version && !except.contains(h);
        let near = self.zone.iter().copied().filter(|h| *h != self.me && fits(h)).choose(rng);
        near.or_else(|| self.remote.iter().copied().filter(|h| fits(h)).choose(rng))
    }

    /// Up to `max` hosts to query at start: two readers of this zone, then random hosts,
    /// alternately of this zone and of other zones.
    pub fn query_targets<R: rand::Rng>(&self, max: usize, rng: &mut R) -> Vec<host::HostId> {
        let mut targets: Vec<host::HostId> =
            self.readers.iter().copied().filter(|&h| h != self.me).take(2).collect();
        let near: Vec<host::HostId> = self.zone.sample(rng, max).copied().collect();
        let far: Vec<host::HostId> = self.remote.sample(rng, max).copied().collect();
        for index in 0..max {
            targets.extend(near.get(index));
            targets.extend(far.get(index));
        }
        let mut seen = collections::HashSet::from([self.me]);
        targets.retain(|&h| seen.insert(h));
        targets.truncate(max);
        targets
    }
}
