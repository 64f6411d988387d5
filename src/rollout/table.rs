//! The roll-out orders that one node follows.

use std::collections;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::mesh;
use crate::rollout;
use crate::rollout::counts;
use crate::rollout::judge;
use crate::view;

/// How long the table still counts as active after a version without an order may get calls, so
/// that the upstreams are classified once more.
const IDLE_DELAY: time::Duration = time::Duration::from_secs(1);

/// How long a new version without an order gets no calls while another version serves. An order
/// takes some seconds to reach a node, or longer if the node is cut off. Without this delay, nodes
/// that learn of an order late, up to a third of all, would send half of their calls to an
/// untested version.
const UNORDERED_DELAY: time::Duration = time::Duration::from_secs(10);

/// Answers of the old version at which the counts are halved: half a minute of one node's calls.
const MAX_OLD_ANSWERS: u32 = 1000;

/// Thousandths in one.
const PERMILLE: u32 = 1000;

/// Routes whose calls take turns of their own; further ones share one turn.
const MAX_TURNS: usize = 1024;

/// Fewest new upstreams in a trial. Their speeds differ, and a single slow one says little about
/// its version.
const MIN_TRIAL_UPSTREAMS: usize = 3;

/// An order and its state on this node.
#[derive(Clone, Debug)]
struct Entry {
    order: rollout::Order,
    plan: rollout::Plan,
    /// Answers of the old version to calls of this node.
    old: rollout::AnswerCounts,
    /// The same by route.
    routes: counts::Routes,
    /// Calls of this node.
    turns: Turns,
    /// New upstreams that get calls before the version is proven.
    trial_size: usize,
}

/// The calls that a node has assigned to version groups, by route.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    /// Calls of all routes.
    total: u32,
    routes: collections::BTreeMap<rollout::RouteId, Turn>,
}

/// The calls of one route.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    /// How many there were.
    calls: u32,
    /// Their counter, modulo a thousand, that assigns each call to a version group.
    position: u32,
}

impl Turns {
    /// Whether the next call of `route` goes to the new version of `plan`.
    pub(super) fn next_is_new(
        &mut self,
        plan: &rollout::Plan,
        route: rollout::RouteId,
        now: clock::Instant,
    ) -> bool {
        /// Coprime to a thousand, so that the calls of the new version are spread evenly among the
        /// others.
        const STRIDE: u32 = 617;
        let is_known = self.routes.contains_key(&route) || self.routes.len() < MAX_TURNS;
        let route = if is_known { route } else { rollout::RouteId::default() };
        self.total = self.total.saturating_add(1);
        // Routes with few calls would get no call of the new version if all began at the same
        // place.
        let position = self.total.wrapping_mul(STRIDE) % PERMILLE;
        let turn = self.routes.entry(route).or_insert(Turn { calls: 0, position });
        turn.calls = turn.calls.saturating_add(1);
        turn.position = (turn.position + STRIDE) % PERMILLE;
        let Turn { calls, position } = *turn;
        let routes = u32::try_from(self.routes.len()).unwrap_or(u32::MAX);
        position < plan.route_share((calls, self.total, routes), now)
    }
}

/// What the node beside a new upstream has counted.
#[derive(Clone, Debug, Default)]
pub struct Counted {
    /// Number of the order under which it was counted; 0 if there is none.
    pub order: u64,
    /// All answers.
    pub new: rollout::AnswerCounts,
    /// The same by route.
    pub routes: counts::Routes,
}

/// Assigns the upstreams of one service to version groups.
#[derive(Debug)]
pub struct Classifier<'a> {
    entry: Option<&'a Entry>,
    seen: &'a [SeenVersion],
    now: clock::Instant,
    /// New upstreams that may still join the trial.
    remaining: usize,
}

impl Classifier<'_> {
    /// The group of the next upstream, which has `version`; `None` if it gets no calls. An upstream
    /// that is not `open` to calls does not count towards the size of the trial.
    ///
    /// An unproven version gets its small share of the calls at few upstreams, the same ones at all
    /// nodes, so that each of these runs as many calls at once as an old one does. If the share
    /// were spread over all new upstreams, a version that fails under load would fail only once it
    /// gets all calls.
    pub fn group_of(&mut self, version: &str, open: bool) -> Option<rollout::VersionGroup> {
        let Some(entry) = self.entry else {
            let waits = |v: &SeenVersion| v.version == version && v.after > self.now;
            return (!self.seen.iter().any(waits)).then_some(rollout::VersionGroup::Any);
        };
        if entry.order.version != version {
            return Some(rollout::VersionGroup::Old);
        }
        if open {
            self.remaining = self.remaining.checked_sub(1)?;
        }
        Some(rollout::VersionGroup::New)
    }
}

/// How far one order is on this node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The service that is moved.
    pub service: SmolStr,
    /// The order that is followed.
    pub order: rollout::Order,
    /// How far the move is.
    pub stage: rollout::Stage,
}

/// A version that upstreams of a service have announced.
#[derive(Clone, Debug)]
struct SeenVersion {
    version: SmolStr,
    /// When it may get calls without an order.
    after: clock::Instant,
}

/// All orders that a node follows, and the versions that upstreams have announced, by service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<SmolStr, Entry>,
    seen: collections::BTreeMap<SmolStr, Vec<SeenVersion>>,
}

impl Table {
    /// Updates the orders from a configuration and from what the hosts announce.
    pub fn update(&mut self, mesh: &mesh::Mesh, view: &view::View, now: clock::Instant) {
        let ordered = |service: &SmolStr| mesh.rollouts.iter().any(|r| r.service == *service);
        self.entries.retain(|service, _| ordered(service));
        for rollout in &mesh.rollouts {
            self.add(rollout, now);
        }
        self.update_versions(view, now);
        for (service, entry) in &mut self.entries {
            let known = observe(service, entry, view);
            entry.trial_size = trial_size(service, entry, view);
            let before = entry.plan.stage();
            entry.plan.update(&known, now);
            log_stage_change(service, entry, &known, before);
        }
    }

    /// Updates the versions that upstreams announce. Those that are there when a service is first
    /// seen may get calls at once.
    fn update_versions(&mut self, view: &view::View, now: clock::Instant) {
        self.seen.retain(|service, _| view.services.contains_key(service));
        for service in view.services.keys() {
            let known = self.seen.get(service).map_or(&[][..], Vec::as_slice);
            let after = if known.is_empty() { now } else { now + UNORDERED_DELAY };
            let mut current: Vec<SeenVersion> = Vec::new();
            for upstream in view.upstreams(service).filter_map(|host| host.upstream.as_ref()) {
                if current.iter().any(|v| v.version == upstream.version) {
                    continue;
                }
                let old = known.iter().find(|v| v.version == upstream.version);
                let new = || SeenVersion { version: upstream.version.clone(), after };
                current.push(old.cloned().unwrap_or_else(new));
            }
            self.seen.insert(service.clone(), current);
        }
    }

    /// Starts to follow an order, unless it is known already.
    fn add(&mut self, rollout: &mesh::Rollout, now: clock::Instant) {
        let known = self.entries.get_mut(&rollout.service);
        if let Some(entry) = known {
            if entry.order.number >= rollout.order.number {
                return;
            }
            if entry.order.is_reread_as(&rollout.order) {
                entry.order.number = rollout.order.number;
                return;
            }
        }
        log::info!(
            service = rollout.service.as_str(), version = rollout.order.version.as_str(),
            order = rollout.order.number, within_ms = millis(rollout.order.within);
            "following a roll-out order"
        );
        let plan = rollout::Plan::new(rollout.order.within, now);
        let order = rollout.order.clone();
        let entry = Entry {
            order,
            plan,
            old: rollout::AnswerCounts::default(),
            routes: counts::Routes::default(),
            turns: Turns::default(),
            trial_size: 0,
        };
        self.entries.insert(rollout.service.clone(), entry);
    }

    /// Sets the final stage that the mesh has published for the order `number` of `service`.
    pub fn settle(&mut self, service: &str, number: u64, stage: rollout::Stage) {
        if let Some(entry) = self.entries.get_mut(service).filter(|e| e.order.number == number) {
            entry.plan.settle(stage);
        }
    }

    /// The version group that serves the next call for `service`, which came on `route`.
    pub fn next_group(
        &mut self,
        service: &str,
        route: rollout::RouteId,
        now: clock::Instant,
    ) -> rollout::VersionGroup {
        let Some(entry) = self.entries.get_mut(service) else { return rollout::VersionGroup::Any };
        let new = entry.turns.next_is_new(&entry.plan, route, now);
        if new { rollout::VersionGroup::New } else { rollout::VersionGroup::Old }
    }

    /// A classifier for the upstreams of `service`, which have to be passed in the order of their
    /// hosts.
    pub fn classifier(&self, service: &str, now: clock::Instant) -> Classifier<'_> {
        let seen = self.seen.get(service).map_or(&[][..], Vec::as_slice);
        // If all versions wait, no other one is left, and waiting for an order would gain nothing.
        let waits = |v: &&SeenVersion| v.after > now;
        let seen = if seen.iter().all(|v| waits(&v)) { &[] } else { seen };
        let entry = self.entries.get(service);
        let trial = entry.is_some_and(|e| e.plan.stage() == rollout::Stage::Trial);
        let remaining = if trial { entry.map_or(0, |e| e.trial_size) } else { usize::MAX };
        Classifier { entry, seen, now, remaining }
    }

    /// The group that serves a call for `service` if `group` has no upstream; `None` if there is
    /// none. While an order is under way each group replaces the other, but a version that was
    /// found bad serves no calls.
    pub fn fallback(
        &self,
        service: &str,
        group: rollout::VersionGroup,
    ) -> Option<rollout::VersionGroup> {
        let stage = self.entries.get(service)?.plan.stage();
        match group {
            rollout::VersionGroup::New => Some(rollout::VersionGroup::Old),
            rollout::VersionGroup::Old if stage != rollout::Stage::RolledBack => {
                Some(rollout::VersionGroup::New)
            }
            rollout::VersionGroup::Old | rollout::VersionGroup::Any => None,
        }
    }

    /// The report to the other nodes on the order for the service of this node's `upstream`.
    /// `counted` holds the answers of the upstream.
    pub fn trial(&self, upstream: &view::Upstream, counted: &Counted) -> rollout::TrialReport {
        let Some(entry) = self.entries.get(&upstream.service) else {
            return rollout::TrialReport::default();
        };
        let rejected = entry.plan.has_rejected();
        let order = entry.order.number;
        if upstream.version != entry.order.version {
            // The report is sent to all hosts, so a node beside an old upstream sends one only if
            // it has found the new version bad.
            let order = if rejected { order } else { 0 };
            return rollout::TrialReport { order, rejected, ..rollout::TrialReport::default() };
        }
        let none = Counted::default();
        let counted = if counted.order == order { counted } else { &none };
        let routes = counted.routes.most_answers(&entry.routes);
        rollout::TrialReport { order, new: counted.new, old: entry.old, rejected, routes }
    }

    /// Number of the order that moves `service` to `version`; 0 if there is none.
    pub fn trial_order(&self, service: &str, version: &str) -> u64 {
        let entry = self.entries.get(service).filter(|e| e.order.version == version);
        entry.map_or(0, |entry| entry.order.number)
    }

    /// Records an answer of the old version of `service` on `route`.
    pub fn record_old(
        &mut self,
        service: &str,
        route: rollout::RouteId,
        verdict: rollout::Verdict,
    ) {
        let Some(entry) = self.entries.get_mut(service) else { return };
        entry.routes.record_old(route, verdict);
        entry.old.record(verdict.is_bad());
        if entry.old.answers >= MAX_OLD_ANSWERS {
            entry.old = entry.old.halved();
        }
    }

    /// How far each order is on this node.
    pub fn progress(&self) -> Vec<Progress> {
        let progress = |(service, entry): (&SmolStr, &Entry)| Progress {
            service: service.clone(),
            order: entry.order.clone(),
            stage: entry.plan.stage(),
        };
        self.entries.iter().map(progress).collect()
    }

    /// Whether any order is followed.
    pub fn has_orders(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Whether the groups don't change with time at `now`: there is no order, and no version that
    /// waits for calls.
    pub fn is_idle(&self, now: clock::Instant) -> bool {
        let waits = |seen: &Vec<SeenVersion>| seen.iter().any(|v| v.after + IDLE_DELAY > now);
        self.entries.is_empty() && !self.seen.values().any(waits)
    }
}

/// What `view` shows of the order of `entry`.
fn observe(service: &str, entry: &Entry, view: &view::View) -> rollout::plan::Observations {
    let mut known = rollout::plan::Observations {
        new: rollout::AnswerCounts::default(),
        old: entry.old,
        routes: entry.routes.clone(),
        rejected: false,
        ready: 0,
        serving: 0,
    };
    for host in view.upstreams(service) {
        let Some(upstream) = &host.upstream else { continue };
        let alive = host.health == view::Health::Alive;
        let slots = if alive { u32::from(upstream.slots) } else { 0 };
        if upstream.trial.order == entry.order.number {
            known.new = known.new.plus(upstream.trial.new);
            known.old = known.old.plus(upstream.trial.old);
            known.routes.add(&upstream.trial.routes);
            known.rejected |= upstream.trial.rejected;
        }
        if upstream.version == entry.order.version {
            known.ready += if upstream.phase == view::Phase::Serving { slots } else { 0 };
        } else {
            known.serving += if upstream.phase == view::Phase::Draining { 0 } else { slots };
        }
    }
    known
}

/// Number of new upstreams in the trial: the same share of the old upstreams as of the calls.
fn trial_size(service: &str, entry: &Entry, view: &view::View) -> usize {
    let upstreams = view.upstreams(service).filter_map(|host| host.upstream.as_ref());
    let old = upstreams.filter(|upstream| upstream.version != entry.order.version).count();
    (old * rollout::plan::TRIAL_PERMILLE as usize)
        .div_ceil(PERMILLE as usize)
        .max(MIN_TRIAL_UPSTREAMS)
}

/// Logs a change of the stage with the observations that caused it.
fn log_stage_change(
    service: &str,
    entry: &Entry,
    known: &rollout::plan::Observations,
    before: rollout::Stage,
) {
    let stage = entry.plan.stage();
    if stage == before {
        return;
    }
    log::info!(
        service, version = entry.order.version.as_str(), order = entry.order.number,
        stage:? = stage, answers = known.new.answers, bad = known.new.bad,
        old_answers = known.old.answers, old_bad = known.old.bad, condemned = known.rejected,
        ready = known.ready, serving = known.serving,
        routes = known.routes.iter().count(), finding:? = judge::examine(&known.routes);
        "stage of a roll-out changed"
    );
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
