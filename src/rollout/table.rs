//! The orders of one node.

use std::collections;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::mesh;
use crate::rollout;
use crate::view;

/// Time for which a version that may get calls now is still looked at, so that it gets them.
const SETTLED: time::Duration = time::Duration::from_secs(1);

/// Time for which a version gets no calls that comes beside another one and that no order names: an
/// order takes some seconds to reach a node, or longer where that is cut off. Without this a third of
/// the nodes that know of an order late would send half of their calls to a version that nobody has tried.
const UNORDERED: time::Duration = time::Duration::from_secs(10);

/// Answers of the old version after which those seen so far count half: half a minute of one node's calls.
const SPAN: u32 = 1000;

/// Thousandths in a whole.
const WHOLE: u32 = 1000;

/// Fewest new upstreams that are tried: their speeds differ, and one that is slow by itself says little of
/// its version.
const LEAST_TRIED: usize = 3;

/// One order as this node follows it.
#[derive(Clone, Debug)]
struct Entry {
    order: rollout::Order,
    plan: rollout::Plan,
    /// Answers of the old version seen here.
    old: rollout::AnswerCounts,
    /// Calls divided so far; each gets its side by its place among a thousand.
    calls: u32,
    /// New upstreams that are tried before the version is proven.
    tried: usize,
}

/// The upstreams of one service told apart by version.
#[derive(Debug)]
pub struct Classifier<'a> {
    entry: Option<&'a Entry>,
    met: &'a [Met],
    now: clock::Instant,
    /// New upstreams that may still be tried.
    left: usize,
}

impl Classifier<'_> {
    /// The side of the next upstream, which has `version`; `None` when no call goes to it. One that is not
    /// `open` to calls does not count among those that are tried.
    ///
    /// An unproven version gets its small share at few upstreams, the same ones everywhere, where it runs as
    /// many calls at once as the old one does: spread over all of them one that fails under load would
    /// show it only once it has all the calls.
    pub fn group_of(&mut self, version: &str, open: bool) -> Option<rollout::VersionGroup> {
        let Some(entry) = self.entry else {
            let waits = |m: &Met| m.version == version && m.after > self.now;
            return (!self.met.iter().any(waits)).then_some(rollout::VersionGroup::Any);
        };
        if entry.order.version != version {
            return Some(rollout::VersionGroup::Old);
        }
        if open {
            self.left = self.left.checked_sub(1)?;
        }
        Some(rollout::VersionGroup::New)
    }
}

/// What this node believes of one order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Progress {
    /// The service that is moved.
    pub service: SmolStr,
    /// The order.
    pub order: rollout::Order,
    /// How far it is.
    pub stage: rollout::Stage,
}

/// A version that upstreams of a service announce.
#[derive(Clone, Debug)]
struct Met {
    version: SmolStr,
    /// From when on it gets calls although nobody has ordered it.
    after: clock::Instant,
}

/// All orders that this node knows, by service, and the versions that it has met without one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<SmolStr, Entry>,
    met: collections::BTreeMap<SmolStr, Vec<Met>>,
}

impl Table {
    /// Takes in the orders of a configuration and what the hosts tell.
    pub fn update(&mut self, mesh: &mesh::Mesh, view: &view::View, now: clock::Instant) {
        let ordered = |service: &SmolStr| mesh.rollouts.iter().any(|r| r.service == *service);
        self.entries.retain(|service, _| ordered(service));
        for rollout in &mesh.rollouts {
            self.learn(rollout, now);
        }
        self.meet(view, now);
        for (service, entry) in &mut self.entries {
            let known = known(service, entry, view);
            entry.tried = tried(service, entry, view);
            let before = entry.plan.stage();
            entry.plan.update(&known, now);
            tell(service, entry, &known, before);
        }
    }

    /// Takes in the versions that upstreams announce. Those that are there when a service is seen first
    /// get calls at once.
    fn meet(&mut self, view: &view::View, now: clock::Instant) {
        self.met.retain(|service, _| view.services.contains_key(service));
        for service in view.services.keys() {
            let known = self.met.get(service).map_or(&[][..], Vec::as_slice);
            let after = if known.is_empty() { now } else { now + UNORDERED };
            let mut met: Vec<Met> = Vec::new();
            for upstream in view.upstreams(service).filter_map(|host| host.upstream.as_ref()) {
                if met.iter().any(|m| m.version == upstream.version) {
                    continue;
                }
                let old = known.iter().find(|m| m.version == upstream.version);
                let new = || Met { version: upstream.version.clone(), after };
                met.push(old.cloned().unwrap_or_else(new));
            }
            self.met.insert(service.clone(), met);
        }
    }

    fn learn(&mut self, rollout: &mesh::Rollout, now: clock::Instant) {
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
            "follows the order of a roll-out"
        );
        let plan = rollout::Plan::new(rollout.order.within, now);
        let order = rollout.order.clone();
        let old = rollout::AnswerCounts::default();
        self.entries
            .insert(rollout.service.clone(), Entry { order, plan, old, calls: 0, tried: 0 });
    }

    /// Takes over the end that the mesh has said of the order `number` for `service`.
    pub fn settle(&mut self, service: &str, number: u64, stage: rollout::Stage) {
        if let Some(entry) = self.entries.get_mut(service).filter(|e| e.order.number == number) {
            entry.plan.settle(stage);
        }
    }

    /// The upstreams that serve the next call for `service`.
    pub fn next_group(&mut self, service: &str, now: clock::Instant) -> rollout::VersionGroup {
        /// Prime to a thousand, so that the new version's calls lie evenly among the others.
        const STRIDE: u32 = 617;
        let Some(entry) = self.entries.get_mut(service) else { return rollout::VersionGroup::Any };
        entry.calls = entry.calls.wrapping_add(STRIDE) % WHOLE;
        let new = entry.calls < entry.plan.share(now);
        if new { rollout::VersionGroup::New } else { rollout::VersionGroup::Old }
    }

    /// Tells the upstreams of `service` apart, in the order of their hosts.
    pub fn classifier(&self, service: &str, now: clock::Instant) -> Classifier<'_> {
        let met = self.met.get(service).map_or(&[][..], Vec::as_slice);
        // Where no other version is left, nothing is gained by waiting for an order.
        let late = |m: &&Met| m.after > now;
        let met = if met.iter().all(|m| late(&m)) { &[] } else { met };
        let entry = self.entries.get(service);
        let trial = entry.is_some_and(|e| e.plan.stage() == rollout::Stage::Trial);
        let left = if trial { entry.map_or(0, |e| e.tried) } else { usize::MAX };
        Classifier { entry, met, now, left }
    }

    /// The versions that serve a call for `service` where `side` has no upstream: both while an order is
    /// open, but never one that was found bad.
    pub fn fallback(
        &self,
        service: &str,
        side: rollout::VersionGroup,
    ) -> Option<rollout::VersionGroup> {
        let stage = self.entries.get(service)?.plan.stage();
        match side {
            rollout::VersionGroup::New => Some(rollout::VersionGroup::Old),
            rollout::VersionGroup::Old if stage != rollout::Stage::RolledBack => {
                Some(rollout::VersionGroup::New)
            }
            rollout::VersionGroup::Old | rollout::VersionGroup::Any => None,
        }
    }

    /// What this node tells the others of the order for the service of its `upstream`, of which it has
    /// seen the answers `new` under the order they are told with.
    pub fn trial(
        &self,
        upstream: &view::Upstream,
        seen: rollout::TrialReport,
    ) -> rollout::TrialReport {
        let Some(entry) = self.entries.get(&upstream.service) else {
            return rollout::TrialReport::default();
        };
        let condemned = entry.plan.has_rejected();
        let order = entry.order.number;
        if upstream.version != entry.order.version {
            // Only news are worth the way to all hosts.
            let order = if condemned { order } else { 0 };
            return rollout::TrialReport {
                order,
                rejected: condemned,
                ..rollout::TrialReport::default()
            };
        }
        let new = if seen.order == order { seen.new } else { rollout::AnswerCounts::default() };
        rollout::TrialReport { order, new, old: entry.old, rejected: condemned }
    }

    /// Number of the order under which an upstream of `version` is tried; 0 when it is not.
    pub fn trial_order(&self, service: &str, version: &str) -> u64 {
        let entry = self.entries.get(service).filter(|e| e.order.version == version);
        entry.map_or(0, |entry| entry.order.number)
    }

    /// Notes an answer of the old version of `service`.
    pub fn record_old(&mut self, service: &str, bad: bool) {
        let Some(entry) = self.entries.get_mut(service) else { return };
        entry.old.record(bad);
        if entry.old.answers >= SPAN {
            entry.old = entry.old.halved();
        }
    }

    /// What this node believes of its orders.
    pub fn progress(&self) -> Vec<Progress> {
        let belief = |(service, entry): (&SmolStr, &Entry)| Progress {
            service: service.clone(),
            order: entry.order.clone(),
            stage: entry.plan.stage(),
        };
        self.entries.iter().map(belief).collect()
    }

    /// Whether there are orders.
    pub fn has_orders(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Whether nothing changes with time at `now`: no order, and no version that waits for one.
    pub fn is_idle(&self, now: clock::Instant) -> bool {
        let waits = |met: &Vec<Met>| met.iter().any(|m| m.after + SETTLED > now);
        self.entries.is_empty() && !self.met.values().any(waits)
    }
}

/// What `view` tells of the order of `entry`.
fn known(service: &str, entry: &Entry, view: &view::View) -> rollout::plan::Observations {
    let mut known = rollout::plan::Observations {
        new: rollout::AnswerCounts::default(),
        old: entry.old,
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

/// How many new upstreams are tried: the same share of the old ones as of the calls.
fn tried(service: &str, entry: &Entry, view: &view::View) -> usize {
    let upstreams = view.upstreams(service).filter_map(|host| host.upstream.as_ref());
    let old = upstreams.filter(|upstream| upstream.version != entry.order.version).count();
    (old * rollout::plan::TRIAL as usize).div_ceil(WHOLE as usize).max(LEAST_TRIED)
}

/// Logs a step of an order with what decided it.
fn tell(service: &str, entry: &Entry, known: &rollout::plan::Observations, before: rollout::Stage) {
    let stage = entry.plan.stage();
    if stage == before {
        return;
    }
    log::info!(
        service, version = entry.order.version.as_str(), order = entry.order.number,
        stage:? = stage, answers = known.new.answers, bad = known.new.bad,
        old_answers = known.old.answers, old_bad = known.old.bad, condemned = known.rejected,
        ready = known.ready, serving = known.serving;
        "a roll-out has come to another stage"
    );
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
