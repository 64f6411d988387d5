//! Lists of the upstreams of each service and class, nearest first.

use std::collections;

use smol_str::SmolStr;

use crate::clock;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::pick::delay;
use crate::pick::loss;
use crate::pick::overflow;
use crate::pick::peer;
use crate::rollout;
use crate::view;

/// Number of tiers of distance: own host, own availability zone, own region, other regions.
pub(super) const TIERS: usize = 4;

/// The first tier beyond the host of the entry node.
pub(super) const OTHER_HOST: usize = 1;

/// The first tier beyond the availability zone of the entry node.
pub(super) const OTHER_ZONE: usize = 2;

/// Location of the entry node.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) locality: view::Locality,
    /// Host of the entry node; `None` if it is not distinguished from other hosts of the zone.
    pub(super) host: Option<host::HostId>,
}

impl Origin {
    /// The tier of distance to `other`.
    fn tier(&self, other: &view::Host) -> usize {
        let (theirs, ours) = (&other.locality, &self.locality);
        match (theirs.region == ours.region, theirs.zone == ours.zone) {
            (true, true) if self.host == Some(other.id) => 0,
            (true, true) => OTHER_HOST,
            (true, false) => OTHER_ZONE,
            (false, _) => OTHER_ZONE + 1,
        }
    }
}

/// Position of a policy that goes round a list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor(u32);

impl Cursor {
    /// The index whose turn it is in a list of `len`.
    pub const fn next(&self, len: usize) -> usize {
        if len == 0 { 0 } else { self.0 as usize % len }
    }

    /// Sets the index whose turn is next.
    pub fn set(&mut self, index: usize) {
        self.0 = u32::try_from(index).unwrap_or_default();
    }
}

/// Results after which the aggregate of a list is computed again.
const AGGREGATE_RESULTS: u8 = 16;

/// The upstreams of one service or class.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    /// Indices into the arena of peers, nearest tier first.
    members: Vec<u32>,
    /// End of each tier in `members`, in ascending order.
    ends: [usize; TIERS],
    /// A cursor for each tier.
    pub(super) cursors: [Cursor; TIERS],
    /// Detects the simultaneous loss of its hosts.
    pub(super) loss: loss::Loss,
    /// Load of other availability zones.
    pub(super) overflow: overflow::Overflow,
    aggregate: peer::Aggregate,
    /// [`Table::ejection_changes`] when `aggregate` was computed.
    computed_at: u32,
    /// Results until `aggregate` is computed again.
    remaining_results: u8,
    /// Buffer for the median and the quartile.
    buffer: Vec<f32>,
}

impl List {
    /// The members of `tier`.
    pub(super) fn tier(&self, tier: usize) -> &[u32] {
        let start = if tier == 0 { 0 } else { self.ends[tier - 1] };
        &self.members[start..self.ends[tier]]
    }

    /// Every member.
    pub(super) fn all(&self) -> &[u32] {
        &self.members
    }

    /// The aggregate of the members. It is computed again after every few results, after every bad
    /// one, and if `ejection_changes` has changed.
    pub(super) fn aggregate(
        &mut self,
        peers: &[pick::Peer],
        good: bool,
        ejection_changes: u32,
        now: clock::Instant,
    ) -> peer::Aggregate {
        if !good || self.remaining_results == 0 || self.computed_at != ejection_changes {
            self.computed_at = ejection_changes;
            self.aggregate = self.compute(peers, now);
            self.remaining_results = AGGREGATE_RESULTS;
        }
        self.remaining_results -= 1;
        self.aggregate
    }

    /// Delay above which that of a node counts, in microseconds, as of the last aggregate.
    pub(super) const fn base_delay_us(&self) -> f32 {
        self.aggregate.base_delay_us
    }

    fn compute(&mut self, peers: &[pick::Peer], now: clock::Instant) -> peer::Aggregate {
        let members = || self.members.iter().map(|&i| &peers[i as usize]);
        let ejected = members().filter(|p| p.is_ejected()).count();
        let can_eject = (ejected + 1) * 2 <= self.members.len();
        let mut buffer = std::mem::take(&mut self.buffer);
        let base_delay_us = delay::base_us(members().map(|p| &p.node_delay), now, &mut buffer);
        buffer.clear();
        buffer.extend(members().filter_map(pick::Peer::service_us));
        let service_us = lower_median(&mut buffer);
        self.buffer = buffer;
        peer::Aggregate { service_us, can_eject, base_delay_us }
    }

    fn clear(&mut self) {
        self.remaining_results = 0;
        self.members.clear();
        self.ends = [0; TIERS];
    }

    fn push(&mut self, member: u32, tier: usize) {
        self.members.insert(self.ends[tier], member);
        self.ends[tier..].iter_mut().for_each(|end| *end += 1);
    }
}

/// Peers and lists. The lists are built again for each view and mesh; the state of a peer is kept.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) peers: Vec<pick::Peer>,
    free: Vec<u32>,
    by_host: collections::HashMap<host::HostId, u32>,
    services: Vec<Groups>,
    classes: Vec<Groups>,
    /// How often a peer was ejected or admitted again.
    ejection_changes: u32,
    /// Names of the availability zones, by their keys.
    zones: Vec<SmolStr>,
}

/// The upstreams of one service or class, by version group.
#[derive(Clone, Debug, Default)]
struct Groups {
    /// Name of the service or class; the lists start anew when another one takes their position.
    name: SmolStr,
    any: List,
    new: List,
    old: List,
}

impl Groups {
    const fn list(&self, group: rollout::VersionGroup) -> &List {
        match group {
            rollout::VersionGroup::Any => &self.any,
            rollout::VersionGroup::New => &self.new,
            rollout::VersionGroup::Old => &self.old,
        }
    }

    const fn list_mut(&mut self, group: rollout::VersionGroup) -> &mut List {
        match group {
            rollout::VersionGroup::Any => &mut self.any,
            rollout::VersionGroup::New => &mut self.new,
            rollout::VersionGroup::Old => &mut self.old,
        }
    }

    /// Adds a peer of the version group `group`.
    fn push(&mut self, group: rollout::VersionGroup, index: u32, tier: usize) {
        if group != rollout::VersionGroup::Any {
            self.list_mut(group).push(index, tier);
        }
        self.any.push(index, tier);
    }

    /// Removes the upstreams. The other state of the lists is kept if they are still those of the
    /// service or class `name`.
    fn reset(&mut self, name: &SmolStr) {
        if self.name != *name {
            *self = Self { name: name.clone(), ..Self::default() };
        }
        self.any.clear();
        self.new.clear();
        self.old.clear();
    }
}

impl Table {
    /// The list that serves `target`.
    pub(super) fn list(&self, target: pick::Target) -> Option<&List> {
        let groups = match target.class {
            Some(class) => self.classes.get(usize::from(class.0)),
            None => self.services.get(usize::from(target.service.0)),
        };
        groups.map(|groups| groups.list(target.group))
    }

    /// The list that serves `target`, to move its cursors.
    pub(super) fn list_mut(&mut self, target: pick::Target) -> Option<&mut List> {
        let groups = match target.class {
            Some(class) => self.classes.get_mut(usize::from(class.0)),
            None => self.services.get_mut(usize::from(target.service.0)),
        };
        groups.map(|groups| groups.list_mut(target.group))
    }

    /// The aggregate of the peers that serve `target`.
    pub(super) fn aggregate(
        &mut self,
        target: pick::Target,
        good: bool,
        now: clock::Instant,
    ) -> peer::Aggregate {
        let groups = match target.class {
            Some(class) => self.classes.get_mut(usize::from(class.0)),
            None => self.services.get_mut(usize::from(target.service.0)),
        };
        let list = groups.map(|groups| groups.list_mut(target.group));
        let changes = self.ejection_changes;
        list.map(|l| l.aggregate(&self.peers, good, changes, now)).unwrap_or_default()
    }

    /// Records that an upstream for `target` in another availability zone reported its load.
    pub(super) fn record_overflow(
        &mut self,
        target: pick::Target,
        zone: overflow::ZoneKey,
        load: f32,
    ) {
        if let Some(list) = self.list_mut(target) {
            list.overflow.record(zone, load);
        }
    }

    /// Records that a peer was ejected or admitted again, which changes the aggregates of its
    /// lists.
    pub(super) const fn record_ejection_change(&mut self) {
        self.ejection_changes = self.ejection_changes.wrapping_add(1);
    }

    /// The key of the peer at `index`.
    pub(super) fn key(&self, index: u32) -> pick::PeerKey {
        pick::PeerKey { index, generation: self.peers[index as usize].generation() }
    }

    /// The peer of `key`; `None` if the key is no longer valid.
    pub(super) fn peer_mut(&mut self, key: pick::PeerKey) -> Option<&mut pick::Peer> {
        let peer = self.peers.get_mut(key.index as usize)?;
        (peer.generation() == key.generation).then_some(peer)
    }

    /// The peer of `key`; `None` if the key is no longer valid.
    pub(super) fn peer(&self, key: pick::PeerKey) -> Option<&pick::Peer> {
        self.peers.get(key.index as usize).filter(|peer| peer.generation() == key.generation)
    }

    /// Builds the lists again for a new view or mesh.
    pub(super) fn rebuild(
        &mut self,
        view: &view::View,
        mesh: &mesh::Mesh,
        rollouts: &rollout::Table,
        origin: &Origin,
        now: clock::Instant,
    ) {
        self.reset(mesh);
        for (key, class) in mesh.classes.iter().enumerate() {
            let service = mesh.service(class.service);
            let mut classifier = rollouts.classifier(&service.name, now);
            for host in view.upstreams(&service.name) {
                let Some(upstream) = &host.upstream else { continue };
                if upstream.class != class.name {
                    continue;
                }
                let index = self.index(host.id);
                let zone = self.zone(&host.locality.zone);
                let peer = &mut self.peers[index as usize];
                peer.update(host, upstream, class.slots, service.queue, class.warmup, now);
                peer.zone = zone;
                let tier = origin.tier(host);
                let open =
                    host.health == view::Health::Alive && upstream.phase != view::Phase::Draining;
                let Some(group) = classifier.group_of(&upstream.version, open) else { continue };
                self.classes[key].push(group, index, tier);
                self.services[usize::from(class.service.0)].push(group, index, tier);
            }
        }
        self.sweep();
    }

    /// The key of the availability zone `name`. The last key stands for all zones beyond the number
    /// of keys.
    fn zone(&mut self, name: &SmolStr) -> overflow::ZoneKey {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or(self.zones.len());
        if known.is_none() && index < usize::from(u8::MAX) {
            self.zones.push(name.clone());
        }
        overflow::ZoneKey(u8::try_from(index).unwrap_or(u8::MAX))
    }

    fn reset(&mut self, mesh: &mesh::Mesh) {
        self.services.resize_with(mesh.services.len(), Groups::default);
        self.classes.resize_with(mesh.classes.len(), Groups::default);
        for (groups, service) in self.services.iter_mut().zip(&mesh.services) {
            groups.reset(&service.name);
        }
        for (groups, class) in self.classes.iter_mut().zip(&mesh.classes) {
            groups.reset(&class.name);
        }
        self.peers.iter_mut().for_each(|p| p.listed = false);
    }

    /// Frees the peers that are no longer listed and have no outstanding calls.
    fn sweep(&mut self) {
        let (peers, free) = (&mut self.peers, &mut self.free);
        self.by_host.retain(|_, index| {
            let peer = &mut peers[*index as usize];
            let keep = peer.listed || peer.outstanding() > 0;
            if !keep {
                *peer = pick::Peer::new(peer.host(), peer.generation().wrapping_add(1));
                free.push(*index);
            }
            keep
        });
    }

    /// The index of the peer of `host`, which is created if there is none.
    fn index(&mut self, host: host::HostId) -> u32 {
        if let Some(&index) = self.by_host.get(&host) {
            return index;
        }
        let index = match self.free.pop() {
            Some(index) => {
                let generation = self.peers[index as usize].generation();
                self.peers[index as usize] = pick::Peer::new(host, generation);
                index
            }
            None => {
                self.peers.push(pick::Peer::new(host, 0));
                u32::try_from(self.peers.len() - 1).unwrap_or(u32::MAX)
            }
        };
        self.by_host.insert(host, index);
        index
    }
}

/// The lower median of `values`; `None` if there are fewer than two.
fn lower_median(values: &mut [f32]) -> Option<f32> {
    if values.len() < 2 {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f32::total_cmp);
    Some(*median)
}
