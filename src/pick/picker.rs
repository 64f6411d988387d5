//! The picker of one entry node.

use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::admit;
use crate::clock;
use crate::configs;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::pick::event;
use crate::pick::loss;
use crate::pick::overflow;
use crate::pick::peer;
use crate::pick::table;
use crate::rollout;
use crate::view;

mod results;

/// Cost of a likely refusal, in service times: as much as the transfer of a light call to another
/// zone. A light call that its zone would refuse is sent to another one; for a heavy call the
/// transfer would cost more.
pub(super) const REFUSAL_COST: f32 = 2.0;

/// Number of upstreams in a zone up to which the transfer to another zone costs what the settings
/// say. Over full days on simulated hosts, a cost four times as high took up to 0.12 off what a
/// deployment earns in zones of one to three upstreams, and added 0.01 at most; in zones of 18 it
/// added 0.02 to 0.04.
const SMALL_ZONE_UPSTREAMS: f32 = 4.0;

/// Largest factor on the cost of transfers out of larger zones; reached with 16 upstreams.
const MAX_ZONE_FACTOR: f32 = 4.0;

/// One call in this many is sent to a farther tier first, so that upstreams which are not in use
/// are measured, too.
const EXPLORE_ONE_IN: u32 = 200;

/// The search for the upstream of one attempt.
#[derive(Clone, Copy)]
struct Search<'a> {
    target: pick::Target,
    cost: pick::TransferCost,
    now: clock::Instant,
    avoid: &'a [host::HostId],
    /// Delay above which that of a node counts, in microseconds; computed by `delay::base_us`.
    base_delay_us: f32,
    candidates: loss::Candidates,
}

impl<'a> Search<'a> {
    /// The candidates among `members`.
    fn pool(
        &self,
        peers: &'a [pick::Peer],
        members: &'a [u32],
        rules: &'a peer::Rules,
    ) -> pick::Pool<'a> {
        pick::Pool {
            peers,
            members,
            rules,
            avoid: self.avoid,
            now: self.now,
            rank: self.cost.rank,
            base_delay_us: self.base_delay_us,
            candidates: self.candidates,
            urgency: self.cost.urgency,
        }
    }
}

/// Chooses upstreams for the calls of one entry node.
///
/// Draining upstreams, and those whose limit is used up, are never chosen. Unreachable and ejected
/// ones are chosen only if there is no other, so that a fault of many upstreams never leaves a call
/// without a candidate.
#[derive(Debug)]
pub struct Picker<P = pick::Cheapest> {
    origin: table::Origin,
    policy: P,
    rules: peer::Rules,
    rng: rngs::SmallRng,
    table: table::Table,
    counts: pick::Counts,
    loss_pace: event::Pace,
    slow_pace: event::Pace,
    /// A slow node that was found together with a loss of hosts; the next end of an attempt reports
    /// it.
    held_slow: Option<pick::SlowNode>,
}

impl Picker {
    /// A picker for an entry node in `locality`, without upstreams.
    pub fn new(locality: view::Locality, settings: &configs::call::Call, seed: u64) -> Self {
        let policy = pick::Cheapest { candidates: settings.candidates };
        Self::with_policy(policy, locality, settings, seed)
    }
}

impl<P: pick::Policy> Picker<P> {
    /// The same with a given `policy`.
    pub fn with_policy(
        policy: P,
        locality: view::Locality,
        settings: &configs::call::Call,
        seed: u64,
    ) -> Self {
        Self {
            origin: table::Origin { locality, host: None },
            policy,
            rules: peer::Rules::new(settings),
            rng: rngs::SmallRng::seed_from_u64(seed),
            table: table::Table::default(),
            counts: pick::Counts::default(),
            loss_pace: event::Pace::default(),
            slow_pace: event::Pace::default(),
            held_slow: None,
        }
    }

    /// Sets the host of the entry node, so that calls which stay on it have no transfer cost.
    pub fn with_host(mut self, host: host::HostId) -> Self {
        self.origin.host = Some(host);
        self
    }

    /// Sets the counters of slow nodes and of lost hosts.
    pub fn with_counts(mut self, counts: pick::Counts) -> Self {
        self.counts = counts;
        self
    }

    /// Sets the time-out of connection attempts to other nodes, `proxy.connect_ms`; the default is
    /// that of the setting.
    pub const fn with_connect_timeout(mut self, timeout: time::Duration) -> Self {
        self.rules.connect_timeout = timeout;
        self
    }

    /// Applies a new view or mesh without roll-outs; the state of hosts that stay is kept.
    pub fn rebuild(&mut self, view: &view::View, mesh: &mesh::Mesh, now: clock::Instant) {
        self.rebuild_with(view, mesh, &rollout::Table::default(), now);
    }

    /// The same with upstreams grouped by version according to `rollouts`.
    pub fn rebuild_with(
        &mut self,
        view: &view::View,
        mesh: &mesh::Mesh,
        rollouts: &rollout::Table,
        now: clock::Instant,
    ) {
        self.table.rebuild(view, mesh, rollouts, &self.origin, now);
    }

    /// Chooses the upstream for an attempt. Hosts of `avoid` are chosen only if there is no other;
    /// the result is `None` if there is no upstream, or all of them drain or have no room within the
    /// limits that they name.
    pub fn pick(
        &mut self,
        target: pick::Target,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<pick::Choice> {
        self.pick_with_cost(target, pick::TransferCost::FREE, now, avoid)
    }

    /// The same for a call with a cost of transfer to other hosts and zones.
    ///
    /// Heavy calls stay in their zone until waiting there costs more than the transfer; light calls
    /// that run long leave a full zone first.
    pub fn pick_with_cost(
        &mut self,
        target: pick::Target,
        cost: pick::TransferCost,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<pick::Choice> {
        let cost = self.scale_cost(target, cost);
        let base_delay_us = self.table.list(target).map_or(0.0, table::List::base_delay_us);
        let candidates = self.candidates(target, cost.idempotent, now, avoid);
        let mut search = Search { target, cost, now, avoid, base_delay_us, candidates };
        let mut usable = self.pick_usable(&search);
        while let Some(wider) = search.candidates.wider().filter(|_| usable.is_none()) {
            search.candidates = wider;
            usable = self.pick_usable(&search);
        }
        if usable.is_some() && matches!(search.candidates, loss::Candidates::Silent(_)) {
            self.counts.probes.inc();
        }
        let (index, tier) = usable.or_else(|| self.pick_fallback(&search))?;
        let host = self.table.peers[index as usize].host();
        Some(pick::Choice {
            host,
            key: self.table.key(index),
            same_zone: tier < table::OTHER_ZONE,
            target,
            rank: cost.rank,
        })
    }

    /// When an upstream for `target` first has room for a call of `rank` within the limit that it
    /// names; `None` if none of them is without room for that reason.
    pub fn room_at(
        &self,
        target: pick::Target,
        rank: admit::Rank,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        let peers = self.table.list(target)?.all().iter().map(|&i| &self.table.peers[i as usize]);
        peers.filter(|peer| peer.is_open()).filter_map(|peer| peer.room_at(rank, now)).min()
    }

    /// The candidates of a call during a simultaneous loss of hosts. Another attempt of a call that
    /// has failed before is not sent to a host that may be lost.
    fn candidates(
        &mut self,
        target: pick::Target,
        idempotent: bool,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> loss::Candidates {
        let window = self.rules.loss_window;
        let list = self.table.list_mut(target).filter(|_| !window.is_zero());
        list.map_or(loss::Candidates::All, |list| {
            list.loss.candidates(idempotent, avoid.is_empty(), window, now)
        })
    }

    /// The best choice of the nearest tier, unless the call would wait there and not in a farther
    /// tier.
    fn pick_usable(&mut self, search: &Search<'_>) -> Option<(u32, usize)> {
        let mut best: Option<(u32, usize, f32)> = None;
        let mut waits = true;
        // The transfer of a heavy call costs too much for exploration.
        let light = search.cost.cross_zone < peer::FULL;
        let explores = light && self.rng.random_ratio(1, EXPLORE_ONE_IN);
        let first = if explores { table::OTHER_ZONE } else { 0 };
        for tier in (first..table::TIERS).chain(0..first) {
            let Some((index, own)) = self.pick_tier(search, tier) else { continue };
            let chosen = &self.table.peers[index as usize];
            let extra = self.extra_cost(chosen, tier, search);
            if best.is_none_or(|(_, _, min)| own + extra < min) {
                best = Some((index, tier, own + extra));
                let late = self.late_cost(chosen, search);
                waits = chosen.fullness(&self.rules, search.now) + late + extra > peer::FULL;
            }
            // While a slot is free nearby, even at a slow upstream, no call is sent to a fast one
            // farther away.
            if tier >= table::OTHER_HOST && !waits {
                break;
            }
        }
        let (index, tier, min) = best?;
        if tier < table::OTHER_ZONE || explores {
            return Some((index, tier));
        }
        let near = self.best_in_zone(search);
        let near = near.filter(|&(near, _, cost)| {
            cost <= min || self.stays_in_zone(search, near, self.table.peers[index as usize].zone)
        });
        Some(near.map_or((index, tier), |(index, tier, _)| (index, tier)))
    }

    /// Whether a call stays in its zone, at the upstream at `near`, although a slot may be free in
    /// `other`, as that zone is not known to be emptier.
    ///
    /// That holds for calls that would merely wait. Other attempts than the first, and calls that
    /// would be refused or late because of their node, leave.
    fn stays_in_zone(&mut self, search: &Search<'_>, near: u32, other: overflow::ZoneKey) -> bool {
        let peer = &self.table.peers[near as usize];
        let refused = peer.is_saturated(&self.rules, search.now);
        let late = self.late_cost(peer, search) > peer::FULL;
        if !self.rules.zone_overflow || !search.avoid.is_empty() || refused || late {
            return false;
        }
        let Some(list) = self.table.list(search.target) else { return false };
        let Some(own) = self.zone_load(list, search) else { return false };
        let stays = self.rng.random::<f32>() >= list.overflow.leaving_share(other, own);
        if stays {
            self.counts.kept_in_zone.inc();
        }
        stays
    }

    /// Mean load of the upstreams in the own zone that the call may use; `None` if there are none.
    fn zone_load(&self, list: &table::List, search: &Search<'_>) -> Option<f32> {
        let (mut sum, mut count) = (0.0, 0_u16);
        for tier in 0..table::OTHER_ZONE {
            let pool = search.pool(&self.table.peers, list.tier(tier), &self.rules);
            for index in (0..pool.len()).filter(|&index| pool.is_usable(index)) {
                let peer = pool.peer(index);
                sum += peer.load_cost(search.base_delay_us, &self.rules, search.now);
                count += 1;
            }
        }
        (count > 0).then(|| sum / f32::from(count))
    }

    /// Scales the cost of a transfer to another zone with the size of the own zone: the more
    /// upstreams share a load, the fewer calls wait by chance while another upstream is free. Over
    /// full days of overload on simulated hosts, in zones of 18 upstreams, a quarter to a third
    /// fewer bytes crossed the zone's border, and as many calls were served.
    fn scale_cost(&self, target: pick::Target, cost: pick::TransferCost) -> pick::TransferCost {
        let near = self
            .table
            .list(target)
            .map_or(0, |list| (0..table::OTHER_ZONE).map(|tier| list.tier(tier).len()).sum());
        let factor = (near as f32 / SMALL_ZONE_UPSTREAMS).clamp(1.0, MAX_ZONE_FACTOR);
        pick::TransferCost { cross_zone: cost.cross_zone * factor, ..cost }
    }

    /// The best of all upstreams in the availability zone, with its tier and its cost.
    ///
    /// For most calls only a few of many upstreams are compared. Before a call is sent to another
    /// zone, all upstreams of the zone are, or else calls would leave zones in which an upstream is
    /// free.
    fn best_in_zone(&self, search: &Search<'_>) -> Option<(u32, usize, f32)> {
        let list = self.table.list(search.target)?;
        let near = (0..table::OTHER_ZONE).flat_map(|tier| {
            let pool = search.pool(&self.table.peers, list.tier(tier), &self.rules);
            let usable = (0..pool.len()).filter(move |&i| pool.is_usable(i));
            usable.map(move |i| {
                let extra = self.extra_cost(pool.peer(i), tier, search);
                (pool.members[i], tier, pool.cost(i) + extra)
            })
        });
        near.min_by(|a, b| a.2.total_cmp(&b.2))
    }

    /// What a call to `peer` costs because of the delay of its node, and because an urgent call
    /// misses its target there.
    fn late_cost(&self, peer: &pick::Peer, search: &Search<'_>) -> f32 {
        let &Search { cost, base_delay_us, now, .. } = search;
        let nested = cost.rank.nested;
        peer.delay_cost(base_delay_us, now)
            + peer.urgent_cost(cost.urgency, nested, base_delay_us, &self.rules, now)
    }

    /// What a call to `peer`, which is in `tier`, costs besides its share of the slots: the
    /// transfer, and a likely refusal.
    fn extra_cost(&self, peer: &pick::Peer, tier: usize, search: &Search<'_>) -> f32 {
        let saturated = peer.is_saturated(&self.rules, search.now);
        let refusal = if saturated { REFUSAL_COST } else { 0.0 };
        refusal + search.cost.for_tier(tier, peer.service_us())
    }

    /// The choice of the policy in `tier`, with its cost without the transfer.
    fn pick_tier(&mut self, search: &Search<'_>, tier: usize) -> Option<(u32, f32)> {
        let list = self.table.list(search.target)?;
        let mut cursor = list.cursors[tier];
        let pool = search.pool(&self.table.peers, list.tier(tier), &self.rules);
        let index = self.policy.choose(&pool, &mut cursor, &mut self.rng)?;
        let chosen = (pool.members[index], pool.cost(index));
        self.table.list_mut(search.target)?.cursors[tier] = cursor;
        Some(chosen)
    }

    /// The upstream with the lowest fallback rank among those that do not drain.
    fn pick_fallback(&self, search: &Search<'_>) -> Option<(u32, usize)> {
        let peers = &self.table.peers;
        let open = self.table.list(search.target)?.all().iter().copied().filter(|&i| {
            let peer = &peers[i as usize];
            peer.is_open() && !peer.is_used_up(search.cost.rank, search.now)
        });
        let index = open.min_by_key(|&i| {
            let peer = &peers[i as usize];
            (search.avoid.contains(&peer.host()), peer.fallback_rank(), peer.outstanding())
        })?;
        Some((index, table::TIERS))
    }
}
