//! Which host holds the account of an organisation, as one node sees it.

use crate::clock;
use crate::host;
use crate::quota;
use crate::view;

/// The hosts that may hold accounts.
#[derive(Clone, Debug)]
pub struct Roster {
    me: host::HostId,
    /// The hosts that can be reached, this one included, each with the hash that its scores are
    /// computed from.
    hosts: Vec<(host::HostId, u64)>,
    /// Number of hosts known, reachable or not, at least 1.
    known: usize,
    /// When `hosts` last changed.
    changed: clock::Instant,
    /// Whether this process is a member of the mesh.
    member: bool,
}

/// Input of [`host::HostId::weight`] that separates this order of hosts from other orders.
const PURPOSE: u64 = 0x7175_6f74;

impl Roster {
    /// The roster of the host `me`, which knows no other yet.
    pub fn new(me: host::HostId, now: clock::Instant) -> Self {
        let hosts = vec![(me, me.weight(PURPOSE, 0))];
        Self { me, hosts, known: 1, changed: now, member: false }
    }

    /// Applies a view of the mesh; `true` if other hosts may hold accounts now.
    pub fn update(&mut self, view: &view::View, now: clock::Instant) -> bool {
        self.member = view.standing == view::Standing::Member;
        self.known = view.hosts.len().max(1);
        let reachable =
            |host: &&view::Host| host.health != view::Health::Unreachable || host.id == self.me;
        let ids = || view.hosts.iter().filter(reachable).map(|host| host.id);
        if ids().eq(self.hosts.iter().map(|(id, _)| *id)) {
            return false;
        }
        self.hosts = ids().map(|id| (id, id.weight(PURPOSE, 0))).collect();
        self.changed = now;
        true
    }

    /// The host that holds the account of `organisation`.
    pub fn holder(&self, organisation: quota::OrganisationId) -> host::HostId {
        let salt = organisation.number();
        let best = self.hosts.iter().max_by_key(|(_, hash)| mix(hash ^ salt));
        best.map_or(self.me, |(id, _)| *id)
    }

    /// Whether this host holds the account of `organisation`.
    pub fn is_holder(&self, organisation: quota::OrganisationId) -> bool {
        self.member && self.holder(organisation) == self.me
    }

    /// Whether this process is a member of the mesh.
    pub const fn is_member(&self) -> bool {
        self.member
    }

    /// This host.
    pub const fn me(&self) -> host::HostId {
        self.me
    }

    /// When the hosts that can be reached last changed.
    pub const fn changed(&self) -> clock::Instant {
        self.changed
    }

    /// Share of the known hosts that can be reached, above 0 and up to 1.
    pub fn share(&self) -> f64 {
        (self.hosts.len().max(1) as f64 / self.known as f64).min(1.0)
    }

    /// Share of one host among the known ones.
    pub fn host_share(&self) -> f64 {
        1.0 / self.known as f64
    }

    /// Whether `host` can be reached.
    pub fn has(&self, host: host::HostId) -> bool {
        self.hosts.iter().any(|(id, _)| *id == host)
    }
}

/// Mixes the bits of `x`, by the finaliser of splitmix64. It decides the scores of thousands of
/// hosts for a call, where a cryptographic hash would take too long.
const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
