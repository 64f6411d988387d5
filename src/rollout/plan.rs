//! How one node follows one order.

use std::time;

use crate::clock;
use crate::rollout;
use crate::rollout::judge;

/// Largest share of the calls of one route that an unproven version gets, in thousandths. Most
/// callers of a rare route must not meet a version that fails it.
const MAX_ROUTE_PERMILLE: u32 = 250;

/// Calls for which the estimates of the shares of the routes count before any call.
const PRIOR_CALLS: u32 = 20;

/// Share of a service's calls that an unproven version gets, in thousandths. It is half of the
/// tenth that the users allow a bad version, so that a third of the nodes may be late, and the
/// first steps of the move still fit in if the version turns bad during them.
pub const TRIAL_PERMILLE: u32 = 50;

/// Shares of the calls that a proven version gets in successive steps, in thousandths.
const STEPS_PERMILLE: [u32; 3] = [150, 400, 1000];

/// The part of the order's time after which a version that is not bad counts as proven. A version
/// that turns bad with time is found while its share is small, and there is time left for the steps
/// and for the last calls of the old version.
const PROVEN_AFTER: f64 = 0.5;

/// The part of the order's time that each step takes at least.
const MIN_STEP: f64 = 0.06;

/// The part that it takes at most.
const MAX_STEP: f64 = 0.12;

/// The part of the order's time by which the steps are over, unless they would be shorter than the
/// minimum. Longer steps let what the answers of one show become known before the next.
const STEPS_BEFORE: f64 = 0.9;

/// The part of the order's time after which a move that is under suspicion is rolled back.
const SUSPECT_BEFORE: f64 = 0.95;

/// The part of the order's time after which a version that is not proven is rolled back, so that
/// the operator learns of it before the time is over.
const PROVEN_BEFORE: f64 = 0.85;

/// Answers without which a version is not proven.
const MIN_ANSWERS: u32 = 40;

/// The part of the order's time after which fewer answers suffice: a service with few calls harms
/// few callers.
const FEWER_AFTER: f64 = 0.7;

/// Answers that suffice then.
const MIN_ANSWERS_LATE: u32 = 8;

/// Slots of warm new upstreams without which the calls are not moved, in percent of the slots of
/// the old ones.
const MIN_SLOTS_PERCENT: u32 = 80;

/// Time without calls for the old version before the order is reported as completed: its last calls
/// are answered, and nodes that follow the order a little later have moved their calls, too.
const IDLE_BEFORE_END: time::Duration = time::Duration::from_millis(1500);

/// A group of a service's upstreams, by their version.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum VersionGroup {
    /// All upstreams: the service has no order.
    #[default]
    Any,
    /// Upstreams of the version that is ordered.
    New,
    /// Upstreams of all other versions.
    Old,
}

/// How far the move is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The new version gets a small share of the calls.
    Trial,
    /// The new version is proven and gets a larger share with each step.
    Moving {
        /// When it was proven.
        since: clock::Instant,
    },
    /// The new version gets all calls; the old upstreams may stop.
    Completed,
    /// The new version is bad, or there were not enough slots, answers or time to prove it.
    RolledBack,
}

/// What a node knows of both versions at one moment.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Answers of the new version, on all hosts.
    pub new: rollout::AnswerCounts,
    /// Answers of the old version to this node and to the nodes beside new upstreams.
    pub old: rollout::AnswerCounts,
    /// Answers of both versions by route, as far as they are reported.
    pub routes: rollout::counts::Routes,
    /// Whether another node has found the new version bad.
    pub rejected: bool,
    /// Slots of new upstreams that serve and are warm.
    pub ready: u32,
    /// Slots of old upstreams that serve.
    pub serving: u32,
}

/// The progress of one node through one order.
///
/// Invariant: the plan of an order that is completed or rolled back changes only by
/// [`Plan::settle`].
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    since: clock::Instant,
    within: time::Duration,
    stage: Stage,
    /// Time that each step of the move takes.
    step: time::Duration,
    /// When it was last updated.
    updated: clock::Instant,
    /// Whether some route was under suspicion then.
    suspected: bool,
    /// Whether this node itself has found the version bad.
    rejected: bool,
}

impl Plan {
    /// A plan for an order that the node learns of at `now`.
    pub const fn new(within: time::Duration, now: clock::Instant) -> Self {
        Self {
            since: now,
            within,
            stage: Stage::Trial,
            step: time::Duration::ZERO,
            updated: now,
            suspected: false,
            rejected: false,
        }
    }

    /// How far the move is.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether this node itself has found the version bad.
    pub const fn has_rejected(&self) -> bool {
        self.rejected
    }

    /// Sets the final stage that the mesh has published. It replaces a different result of this
    /// node, which may have learned of the order late.
    pub fn settle(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// Updates the stage from what is known at `now`.
    pub fn update(&mut self, known: &Observations, now: clock::Instant) {
        if self.is_final() {
            return;
        }
        let finding = judge::examine(&known.routes);
        self.rejected = judge::is_bad(known.new, known.old) || finding == judge::Finding::Bad;
        if known.rejected || self.rejected {
            self.stage = Stage::RolledBack;
            return;
        }
        let passed = now.since(std::mem::replace(&mut self.updated, now));
        self.suspected = finding >= judge::Finding::Suspect;
        match self.stage {
            Stage::Trial if self.is_proven(known, finding, now) => {
                self.stage = Stage::Moving { since: now };
                self.step = self.step_from(now);
            }
            Stage::Moving { .. } if self.suspected && now >= self.at(SUSPECT_BEFORE) => {
                self.stage = Stage::RolledBack;
            }
            // The move stands still until the suspicion is settled, by the calls of a trial.
            Stage::Moving { since } if self.suspected => {
                self.stage = Stage::Moving { since: since + passed };
            }
            Stage::Trial if now >= self.at(PROVEN_BEFORE) => self.stage = Stage::RolledBack,
            Stage::Moving { since } if now >= self.completion(since) => {
                self.stage = Stage::Completed;
            }
            _ => {}
        }
    }

    /// The share of the service's calls that go to the new version at `now`, in thousandths.
    pub fn share(&self, now: clock::Instant) -> u32 {
        match self.stage {
            Stage::Trial => TRIAL_PERMILLE,
            Stage::Moving { .. } if self.suspected => TRIAL_PERMILLE,
            Stage::RolledBack => 0,
            Stage::Completed => 1000,
            Stage::Moving { since } => {
                let step = self.step.as_secs_f64().max(f64::EPSILON);
                let passed = now.since(since).as_secs_f64() / step;
                // The conversion saturates where the float is out of range.
                let index = (passed as usize).min(STEPS_PERMILLE.len() - 1);
                STEPS_PERMILLE[index]
            }
        }
    }

    /// The same for the calls of one route, which had `calls` of the `total` that came on `routes`
    /// routes.
    ///
    /// During the trial, half of the new version's calls are spread evenly over the routes, so that
    /// rare ones bring as many answers as others. The share of all calls is not exceeded.
    pub fn route_share(&self, (calls, total, routes): (u32, u32, u32), now: clock::Instant) -> u32 {
        let share = self.share(now);
        let is_trial = self.stage == Stage::Trial || self.suspected;
        if !is_trial || self.is_final() || routes == 0 {
            return share;
        }
        let total = u64::from(total) + u64::from(PRIOR_CALLS);
        let calls = u64::from(calls) * u64::from(routes) + u64::from(PRIOR_CALLS);
        let even = u64::from(share) * total / calls;
        let route_share = (u64::from(share) + even) / 2;
        u32::try_from(route_share).unwrap_or(u32::MAX).min(MAX_ROUTE_PERMILLE)
    }

    const fn is_final(&self) -> bool {
        matches!(self.stage, Stage::Completed | Stage::RolledBack)
    }

    fn is_proven(
        &self,
        known: &Observations,
        finding: judge::Finding,
        now: clock::Instant,
    ) -> bool {
        let has_slots = known.ready > 0 && known.ready * 100 >= known.serving * MIN_SLOTS_PERCENT;
        let is_late = now >= self.at(FEWER_AFTER);
        let min = if is_late { MIN_ANSWERS_LATE } else { MIN_ANSWERS };
        let max_finding = if is_late { judge::Finding::Open } else { judge::Finding::Clear };
        let has_answers = known.new.answers >= min && finding <= max_finding;
        has_slots && has_answers && now >= self.at(PROVEN_AFTER) && now < self.at(PROVEN_BEFORE)
    }

    /// When the old version has had no call for long enough, in a move that began at `since`.
    fn completion(&self, since: clock::Instant) -> clock::Instant {
        let steps = u32::try_from(STEPS_PERMILLE.len() - 1).unwrap_or(u32::MAX);
        since + self.step * steps + IDLE_BEFORE_END.min(self.step * 2)
    }

    /// The length of the steps of a move that begins at `now`.
    fn step_from(&self, now: clock::Instant) -> time::Duration {
        let steps = u32::try_from(STEPS_PERMILLE.len()).unwrap_or(u32::MAX);
        let share = self.at(STEPS_BEFORE).since(now) / steps;
        share.clamp(self.fraction(MIN_STEP), self.fraction(MAX_STEP))
    }

    fn fraction(&self, share: f64) -> time::Duration {
        self.within.mul_f64(share)
    }

    fn at(&self, share: f64) -> clock::Instant {
        self.since + self.fraction(share)
    }
}
