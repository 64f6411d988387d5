//! How one node follows one order.

use std::time;

use crate::clock;
use crate::rollout;
use crate::rollout::judge;

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

/// The part of the order's time that each step takes.
const STEP_LENGTH: f64 = 0.06;

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
#[derive(Clone, Copy, Debug)]
pub struct Observations {
    /// Answers of the new version, on all hosts.
    pub new: rollout::AnswerCounts,
    /// Answers of the old version to this node and to the nodes beside new upstreams.
    pub old: rollout::AnswerCounts,
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
    /// Whether this node itself has found the version bad.
    rejected: bool,
}

impl Plan {
    /// A plan for an order that the node learns of at `now`.
    pub const fn new(within: time::Duration, now: clock::Instant) -> Self {
        Self { since: now, within, stage: Stage::Trial, rejected: false }
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
        self.rejected = judge::is_bad(known.new, known.old);
        if known.rejected || self.rejected {
            self.stage = Stage::RolledBack;
            return;
        }
        match self.stage {
            Stage::Trial if self.is_proven(known, now) => {
                self.stage = Stage::Moving { since: now };
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
            Stage::RolledBack => 0,
            Stage::Completed => 1000,
            Stage::Moving { since } => {
                let step = self.fraction(STEP_LENGTH).as_secs_f64().max(f64::EPSILON);
                let passed = now.since(since).as_secs_f64() / step;
                // The conversion saturates where the float is out of range.
                let index = (passed as usize).min(STEPS_PERMILLE.len() - 1);
                STEPS_PERMILLE[index]
            }
        }
    }

    const fn is_final(&self) -> bool {
        matches!(self.stage, Stage::Completed | Stage::RolledBack)
    }

    fn is_proven(&self, known: &Observations, now: clock::Instant) -> bool {
        let has_slots = known.ready > 0 && known.ready * 100 >= known.serving * MIN_SLOTS_PERCENT;
        let min = if now >= self.at(FEWER_AFTER) { MIN_ANSWERS_LATE } else { MIN_ANSWERS };
        let has_answers = known.new.answers >= min;
        has_slots && has_answers && now >= self.at(PROVEN_AFTER) && now < self.at(PROVEN_BEFORE)
    }

    /// When the old version has had no call for long enough, in a move that began at `since`.
    fn completion(&self, since: clock::Instant) -> clock::Instant {
        let steps = u32::try_from(STEPS_PERMILLE.len() - 1).unwrap_or(u32::MAX);
        let step = self.fraction(STEP_LENGTH);
        since + step * steps + IDLE_BEFORE_END.min(step * 2)
    }

    fn fraction(&self, share: f64) -> time::Duration {
        self.within.mul_f64(share)
    }

    fn at(&self, share: f64) -> clock::Instant {
        self.since + self.fraction(share)
    }
}
