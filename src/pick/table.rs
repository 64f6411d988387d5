//! Lists of the upstreams of each service and class, nearest first.

use std::collections;

use crate::clock;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::pick::peer;
use crate::rollout;
use crate::view;

/// How many distances are told apart: own host, own availability zone, own region, elsewhere.
pub(super) const TIERS: usize = 4;

/// The first distance that is not the own host.
pub(super) const AWAY: usize = 1;

/// The first distance beyond the own availability zone.
pub(super) const FAR: usize = 2;

/// Where the entry stands.
#[derive(Clone, Debug)]
pub(super) struct Stand {
    pub(super) locality: view::Locality,
    /// Its host, if that is told apart from others of the zone.
    pub(super) host: Option<host::HostId>,
}

impl Stand {
    fn tier(&self, other: &view::Host) -> usize {
        let (theirs, ours) = (&other.locality, &self.locality);
        match (theirs.region == ours.region, theirs.zone == ours.zone) {
            (true, true) if self.host == Some(other.id) => 0,
            (true, true) => AWAY,
            (true, false) => FAR,
            (false, _) => FAR + 1,
        }
    }
}

/// Place at which a policy that goes round a list stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn(u32);

impl Turn {
    /// The place whose turn it is in a list of `len`.
    pub const fn next(&self, len: usize) -> usize {
        if len == 0 { 0 } else { self.0 as usize % len }
    }

    /// Sets the place whose turn is next.
    pub fn set(&mut self, place: usize) {
        self.0 = u32::try_from(place).unwrap_or_default();
    }
}

/// Results after which what the crowd says is looked at again.
const FRESH: u8 = 16;

/// The upstreams of one service or class.
#[derive(Clone, Debug, Default)]
pub(super) struct List {
    /// Indices into the arena of peers, nearest tier first.
    members: Vec<u32>,
    /// Where each tier ends in `members`; never falls.
    ends: [usize; TIERS],
    /// A turn for each tier.
    pub(super) turns: [Turn; TIERS],
    crowd: peer::Crowd,
    /// Turns of the table when `crowd` was made.
    turned: u32,
    /// Results until `crowd` is made anew.
    fresh: u8,
    /// Scratch room for the median.
    services: Vec<f32>,
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

    /// What the members say, looked at again after every few results and every bad one, and once the table
    /// has `turned` since.
    pub(super) fn crowd(&mut self, peers: &[pick::Peer], good: bool, turned: u32) -> peer::Crowd {
        if !good || self.fresh == 0 || self.turned != turned {
            self.turned = turned;
            self.crowd = self.survey(peers);
            self.fresh = FRESH;
        }
        self.fresh -= 1;
        self.crowd
    }

    fn survey(&mut self, peers: &[pick::Peer]) -> peer::Crowd {
        let members = || self.members.iter().map(|&i| &peers[i as usize]);
        let ejected = members().filter(|p| p.is_ejected()).count();
        let spare = (ejected + 1) * 2 <= self.members.len();
        self.services.clear();
        let known = self.members.iter().filter_map(|&i| peers[i as usize].service_us());
        self.services.extend(known);
        peer::Crowd { service: lower_median(&mut self.services), spare }
    }

    fn clear(&mut self) {
        self.fresh = 0;
        self.members.clear();
        self.ends = [0; TIERS];
    }

    fn push(&mut self, member: u32, tier: usize) {
        self.members.insert(self.ends[tier], member);
        self.ends[tier..].iter_mut().for_each(|end| *end += 1);
    }
}

/// Peers and lists, made anew from view and mesh; a peer's state outlives it.
#[derive(Debug, Default)]
pub(super) struct Table {
    pub(super) peers: Vec<pick::Peer>,
    free: Vec<u32>,
    by_host: collections::HashMap<host::HostId, u32>,
    services: Vec<Sides>,
    classes: Vec<Sides>,
    /// How often a peer was ejected or has come back.
    turned: u32,
}

/// The upstreams of one service or class, by the versions that may run a call.
#[derive(Clone, Debug, Default)]
struct Sides {
    any: List,
    new: List,
    old: List,
}

impl Sides {
    const fn list(&self, side: rollout::VersionGroup) -> &List {
        match side {
            rollout::VersionGroup::Any => &self.any,
            rollout::VersionGroup::New => &self.new,
            rollout::VersionGroup::Old => &self.old,
        }
    }

    const fn list_mut(&mut self, side: rollout::VersionGroup) -> &mut List {
        match side {
            rollout::VersionGroup::Any => &mut self.any,
            rollout::VersionGroup::New => &mut self.new,
            rollout::VersionGroup::Old => &mut self.old,
        }
    }

    /// Adds a peer of the versions `side`.
    fn push(&mut self, side: rollout::VersionGroup, index: u32, tier: usize) {
        if side != rollout::VersionGroup::Any {
            self.list_mut(side).push(index, tier);
        }
        self.any.push(index, tier);
    }

    fn clear(&mut self) {
        self.any.clear();
        self.new.clear();
        self.old.clear();
    }
}

impl Table {
    /// The list that serves `target`.
    pub(super) fn list(&self, target: pick::Target) -> Option<&List> {
        let sides = match target.class {
            Some(class) => self.classes.get(usize::from(class.0)),
            None => self.services.get(usize::from(target.service.0)),
        };
        sides.map(|sides| sides.list(target.group))
    }

    /// The list that serves `target`, to move its turns.
    pub(super) fn list_mut(&mut self, target: pick::Target) -> Option<&mut List> {
        let sides = match target.class {
            Some(class) => self.classes.get_mut(usize::from(class.0)),
            None => self.services.get_mut(usize::from(target.service.0)),
        };
        sides.map(|sides| sides.list_mut(target.group))
    }

    /// What the peers that serve `target` say.
    pub(super) fn crowd(&mut self, target: pick::Target, good: bool) -> peer::Crowd {
        let sides = match target.class {
            Some(class) => self.classes.get_mut(usize::from(class.0)),
            None => self.services.get_mut(usize::from(target.service.0)),
        };
        let list = sides.map(|sides| sides.list_mut(target.group));
        list.map(|l| l.crowd(&self.peers, good, self.turned)).unwrap_or_default()
    }

    /// Notes that a peer was ejected or has come back: how many are left is another number in every list.
    pub(super) const fn turned(&mut self) {
        self.turned = self.turned.wrapping_add(1);
    }

    /// The key of the peer at `index`.
    pub(super) fn key(&self, index: u32) -> pick::PeerKey {
        pick::PeerKey { index, generation: self.peers[index as usize].generation() }
    }

    /// The peer of `key`, unless the key is void.
    pub(super) fn peer_mut(&mut self, key: pick::PeerKey) -> Option<&mut pick::Peer> {
        let peer = self.peers.get_mut(key.index as usize)?;
        (peer.generation() == key.generation).then_some(peer)
    }

    /// Takes in a new view or mesh.
    pub(super) fn rebuild(
        &mut self,
        view: &view::View,
        mesh: &mesh::Mesh,
        rollouts: &rollout::Table,
        stand: &Stand,
        now: clock::Instant,
    ) {
        self.reset(mesh);
        for (key, class) in mesh.classes.iter().enumerate() {
            let service = mesh.service(class.service);
            let mut sides = rollouts.classifier(&service.name, now);
            for host in view.upstreams(&service.name) {
                let Some(upstream) = &host.upstream else { continue };
                if upstream.class != class.name {
                    continue;
                }
                let index = self.index(host.id);
                let peer = &mut self.peers[index as usize];
                peer.update(host, upstream, class.slots, service.queue, class.warmup, now);
                let tier = stand.tier(host);
                let open =
                    host.health == view::Health::Alive && upstream.phase != view::Phase::Draining;
                let Some(side) = sides.group_of(&upstream.version, open) else { continue };
                self.classes[key].push(side, index, tier);
                self.services[usize::from(class.service.0)].push(side, index, tier);
            }
        }
        self.sweep();
    }

    fn reset(&mut self, mesh: &mesh::Mesh) {
        self.services.resize_with(mesh.services.len(), Sides::default);
        self.classes.resize_with(mesh.classes.len(), Sides::default);
        self.services.iter_mut().chain(&mut self.classes).for_each(Sides::clear);
        self.peers.iter_mut().for_each(|p| p.listed = false);
    }

    /// Frees the peers that have left and have no call any more.
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

/// The lower median of `values`; `None` below two.
fn lower_median(values: &mut [f32]) -> Option<f32> {
    if values.len() < 2 {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f32::total_cmp);
    Some(*median)
}
