//! The picker of one entry.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use crate::clock;
use crate::configs;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::pick::peer;
use crate::pick::table;
use crate::retry;
use crate::rollout;
use crate::view;

/// What a likely refusal weighs, in service times: as much as the toll of a light call. A zone that
/// would refuse what another one can serve sends it there; heavy calls are worth less than the way.
const REFUSAL: f32 = 2.0;

/// Upstreams of a zone up to which the way to another one costs what the settings say: with one to three of
/// them a price four times as high took up to 0.12 off what a deployment earns and added 0.01 at most, where
/// with 18 it added 0.02 to 0.04 (full days on simulated hosts).
const FEW_NEAR: f32 = 4.0;

/// Most by which the way is dearer in a larger zone; reached with 16 upstreams.
const MOST_WEIGHT: f32 = 4.0;

/// One call in this many takes no heed of the distance, so that upstreams which are not in use
/// are known for comparison.
const EXPLORE: u32 = 200;

/// Chooses upstreams for the calls of one entry.
///
/// Draining upstreams are never chosen. Unreachable and ejected ones are chosen only when there
/// is nothing else, so that a mass fault never leaves a call without a candidate.
#[derive(Debug)]
pub struct Picker<P = pick::Cheapest> {
    stand: table::Stand,
    policy: P,
    rules: peer::Rules,
    rng: rngs::SmallRng,
    table: table::Table,
}

impl Picker {
    /// A picker for the entry at `place`, with no upstream yet.
    pub fn new(place: view::Locality, settings: &configs::call::Call, seed: u64) -> Self {
        let policy = pick::Cheapest { candidates: settings.candidates };
        Self::with_policy(policy, place, settings, seed)
    }
}

impl<P: pick::Policy> Picker<P> {
    /// A picker that chooses by `policy`.
    pub fn with_policy(
        policy: P,
        place: view::Locality,
        settings: &configs::call::Call,
        seed: u64,
    ) -> Self {
        Self {
            stand: table::Stand { locality: place, host: None },
            policy,
            rules: peer::Rules::new(settings),
            rng: rngs::SmallRng::seed_from_u64(seed),
            table: table::Table::default(),
        }
    }

    /// Tells `host`, the entry's own, apart from others of its zone: calls that stay on it pay
    /// nothing for the way.
    pub fn with_host(mut self, host: host::HostId) -> Self {
        self.stand.host = Some(host);
        self
    }

    /// Takes in a new view or mesh without roll-outs; what is known of hosts that stay is kept.
    pub fn rebuild(&mut self, view: &view::View, mesh: &mesh::Mesh, now: clock::Instant) {
        self.rebuild_with(view, mesh, &rollout::Table::default(), now);
    }

    /// The same with the versions of upstreams told apart as `rollouts` says.
    pub fn rebuild_with(
        &mut self,
        view: &view::View,
        mesh: &mesh::Mesh,
        rollouts: &rollout::Table,
        now: clock::Instant,
    ) {
        self.table.rebuild(view, mesh, rollouts, &self.stand, now);
    }

    /// Chooses the upstream for an attempt, none of `avoid` unless there is nothing else; `None`
    /// when every upstream drains or there is none.
    pub fn pick(
        &mut self,
        target: pick::Target,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<pick::Choice> {
        self.pick_with_cost(target, pick::TransferCost::FREE, now, avoid)
    }

    /// The same for a call that pays `toll` outside its own availability zone.
    ///
    /// Heavy calls stay where they are until waiting there costs more than the way; light ones with
    /// long work are what leaves a zone that is full.
    pub fn pick_with_cost(
        &mut self,
        target: pick::Target,
        toll: pick::TransferCost,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<pick::Choice> {
        let toll = self.weigh(target, toll);
        let usual = self.pick_usual(target, toll, now, avoid);
        let (index, tier) = usual.or_else(|| self.pick_any(target, avoid))?;
        let host = self.table.peers[index as usize].host();
        Some(pick::Choice {
            host,
            key: self.table.key(index),
            same_zone: tier < table::FAR,
            target,
        })
    }

    /// Notes that an attempt at `choice` has started.
    pub fn started(&mut self, choice: pick::Choice, now: clock::Instant) {
        if let Some(peer) = self.table.peer_mut(choice.key) {
            peer.started(&self.rules, now);
        }
    }

    /// Notes that an attempt at `choice` has ended; called once for each [`Picker::started`].
    pub fn ended(&mut self, choice: pick::Choice, report: &pick::Report, now: clock::Instant) {
        let good = report.outcome == retry::Outcome::Ran;
        let crowd = self.table.crowd(choice.target, good);
        let Some(peer) = self.table.peer_mut(choice.key) else { return };
        let before = peer.is_ejected();
        peer.ended(report, &crowd, &self.rules, now);
        if peer.is_ejected() != before {
            self.table.turned();
        }
    }

    /// What is known of the upstream of `choice`; `None` when it is forgotten.
    pub fn peer(&mut self, choice: pick::Choice) -> Option<&pick::Peer> {
        self.table.peer_mut(choice.key).map(|peer| &*peer)
    }

    /// The nearest tier's choice, unless it would wait where a farther one would not.
    fn pick_usual(
        &mut self,
        target: pick::Target,
        toll: pick::TransferCost,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<(u32, usize)> {
        let mut best: Option<(u32, usize, f32)> = None;
        let mut waits = true;
        // A heavy call is too dear to be sent away only to see what it is like there.
        let light = toll.cross_zone < peer::WAITS;
        let explores = light && self.rng.random_ratio(1, EXPLORE);
        let first = if explores { table::FAR } else { 0 };
        for tier in (first..table::TIERS).chain(0..first) {
            let Some((index, there)) = self.pick_tier(target, tier, toll.inner, now, avoid) else {
                continue;
            };
            let chosen = &self.table.peers[index as usize];
            let way = self.way(chosen, tier, toll, now);
            if best.is_none_or(|(_, _, least)| there + way < least) {
                best = Some((index, tier, there + way));
                waits = chosen.fullness(&self.rules, now) + way > peer::WAITS;
            }
            // While a slot is free nearby, even at a slow upstream, no call pays the way to a fast one
            // farther off.
            if tier >= table::AWAY && !waits {
                break;
            }
        }
        let (index, tier, least) = best?;
        if tier < table::FAR || explores {
            return Some((index, tier));
        }
        let near = self.search(target, toll, now, avoid).filter(|(_, _, cost)| *cost <= least);
        Some(near.map_or((index, tier), |(index, tier, _)| (index, tier)))
    }

    /// The toll with the way to another zone as dear as the own one is large: the more upstreams share a
    /// load, the less of it has to wait by chance while another one is free. In zones of 18 upstreams a
    /// quarter to a third fewer bytes crossed and as many calls were served (full days of overload,
    /// simulated hosts).
    fn weigh(&self, target: pick::Target, toll: pick::TransferCost) -> pick::TransferCost {
        let near = self
            .table
            .list(target)
            .map_or(0, |list| (0..table::FAR).map(|tier| list.tier(tier).len()).sum());
        let factor = (near as f32 / FEW_NEAR).clamp(1.0, MOST_WEIGHT);
        pick::TransferCost { cross_zone: toll.cross_zone * factor, ..toll }
    }

    /// The best of all upstreams in the availability zone, with its cost.
    ///
    /// A few of many are compared for each call; before one pays the way to another zone, all that are near
    /// are: by a few alone calls left zones in which an upstream was free.
    fn search(
        &self,
        target: pick::Target,
        toll: pick::TransferCost,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<(u32, usize, f32)> {
        let list = self.table.list(target)?;
        let near = (0..table::FAR).flat_map(|tier| {
            let pool = self.pool(list, tier, toll.inner, now, avoid);
            let usable = (0..pool.len()).filter(move |&place| pool.is_usable(place));
            usable.map(move |place| {
                let way = self.way(pool.peer(place), tier, toll, now);
                (pool.members[place], tier, pool.cost(place) + way)
            })
        });
        near.min_by(|a, b| a.2.total_cmp(&b.2))
    }

    /// What a call to `peer`, which stands in `tier`, costs beside its share of the slots: its toll, and
    /// a likely refusal.
    fn way(
        &self,
        peer: &pick::Peer,
        tier: usize,
        toll: pick::TransferCost,
        now: clock::Instant,
    ) -> f32 {
        let refusal = if peer.brims(&self.rules, now) { REFUSAL } else { 0.0 };
        refusal + toll.of(tier, peer.service_us())
    }

    /// The candidates of a call in `tier` of `list`.
    fn pool<'a>(
        &'a self,
        list: &'a table::List,
        tier: usize,
        inner: bool,
        now: clock::Instant,
        avoid: &'a [host::HostId],
    ) -> pick::Pool<'a> {
        let (peers, members) = (&self.table.peers[..], list.tier(tier));
        pick::Pool { peers, members, rules: &self.rules, avoid, now, inner }
    }

    fn pick_tier(
        &mut self,
        target: pick::Target,
        tier: usize,
        inner: bool,
        now: clock::Instant,
        avoid: &[host::HostId],
    ) -> Option<(u32, f32)> {
        let list = self.table.list(target)?;
        let members = list.tier(tier);
        let mut turn = list.turns[tier];
        let pool =
            pick::Pool { peers: &self.table.peers, members, rules: &self.rules, avoid, now, inner };
        let place = self.policy.choose(&pool, &mut turn, &mut self.rng)?;
        let chosen = (members[place], pool.cost(place));
        self.table.list_mut(target)?.turns[tier] = turn;
        Some(chosen)
    }

    /// The least hopeless of the upstreams that do not drain.
    fn pick_any(&self, target: pick::Target, avoid: &[host::HostId]) -> Option<(u32, usize)> {
        let peers = &self.table.peers;
        let open = self.table.list(target)?.all().iter().copied();
        let index = open.filter(|&i| peers[i as usize].is_open()).min_by_key(|&i| {
            let peer = &peers[i as usize];
            (avoid.contains(&peer.host()), peer.despair(), peer.outstanding())
        })?;
        Some((index, table::TIERS))
    }
}
