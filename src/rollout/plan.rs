//! How one node follows one order.

use std::time;

use crate::clock;
use crate::rollout;
use crate::rollout::judge;

/// Share of a service's calls that an unproven version gets, in thousandths: half of the tenth that the
/// users allow a bad version, so that a third of the nodes may be late, and the first steps of the move
/// fit beside it when the version turns bad then.
pub const TRIAL: u32 = 50;

/// Shares that a proven version gets one after the other, in thousandths.
const STEPS: [u32; 3] = [150, 400, 1000];

/// The part of the order's time after which a version that is not bad counts as proven: one that turns
/// bad by age is found while its share is small, and the steps and the last calls of the old version
/// still fit.
const PROVEN: f64 = 0.5;

/// The part of the order's time that each step lasts.
const STEP: f64 = 0.06;

/// The part of the order's time by which it has to be settled; what is not proven then is rolled back,
/// so that the word is out before the time is over.
const SETTLED: f64 = 0.85;

/// Answers without which a version is not proven.
const LEAST: u32 = 40;

/// The part of the order's time after which fewer will do: a service with few calls harms few callers.
const QUIET: f64 = 0.7;

/// Answers that will do then.
const FEW: u32 = 8;

/// Slots of warm new upstreams without which the calls are not moved, in hundredths of those of the old
/// ones.
const ROOM: u32 = 80;

/// Time for which the old version gets no calls before its end is said: its last calls are answered,
/// and nodes that follow the order a little later are done.
const LAST: time::Duration = time::Duration::from_millis(1500);

/// Which upstreams serve a call.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum VersionGroup {
    /// Every one: the service has no order.
    #[default]
    Any,
    /// Those of the version that is ordered.
    New,
    /// All others.
    Old,
}

/// How far the order is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The new version gets a small share.
    Trial,
    /// The new version is proven and gets more by steps.
    Moving {
        /// When it was proven.
        since: clock::Instant,
    },
    /// The new version serves; the old one may end.
    Completed,
    /// The new version is bad, or there was no room or time to prove it.
    RolledBack,
}

/// What a node knows at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Observations {
    /// Answers of the new version, on all hosts.
    pub new: rollout::AnswerCounts,
    /// Answers of the old version that this node and those beside new upstreams have seen.
    pub old: rollout::AnswerCounts,
    /// Whether another node has found the new version bad.
    pub rejected: bool,
    /// Slots of new upstreams that serve and are warm.
    pub ready: u32,
    /// Slots of old upstreams that serve.
    pub serving: u32,
}

/// One node's way through one order.
///
/// Invariant: an order that is completed or rolled back stays so, but for what the mesh says.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    since: clock::Instant,
    within: time::Duration,
    stage: Stage,
    /// Whether this node has itself found the version bad.
    found: bool,
}

impl Plan {
    /// An order that the node learns of at `now`.
    pub const fn new(within: time::Duration, now: clock::Instant) -> Self {
        Self { since: now, within, stage: Stage::Trial, found: false }
    }

    /// How far the order is.
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether this node has itself found the version bad.
    pub const fn has_rejected(&self) -> bool {
        self.found
    }

    /// Takes over the end that the mesh has said: it holds also where this node came to another one, as a
    /// node does that learned late of the order.
    pub fn settle(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// Takes in what is known at `now`.
    pub fn update(&mut self, known: &Observations, now: clock::Instant) {
        if self.is_over() {
            return;
        }
        self.found = judge::is_bad(known.new, known.old);
        if known.rejected || self.found {
            self.stage = Stage::RolledBack;
            return;
        }
        match self.stage {
            Stage::Trial if self.is_proven(known, now) => {
                self.stage = Stage::Moving { since: now };
            }
            Stage::Trial if now >= self.at(SETTLED) => self.stage = Stage::RolledBack,
            Stage::Moving { since } if now >= self.done(since) => self.stage = Stage::Completed,
            _ => {}
        }
    }

    /// The share of the service's calls that go to the new version at `now`, in thousandths.
    pub fn share(&self, now: clock::Instant) -> u32 {
        match self.stage {
            Stage::Trial => TRIAL,
            Stage::RolledBack => 0,
            Stage::Completed => 1000,
            Stage::Moving { since } => {
                let step = self.part(STEP).as_secs_f64().max(f64::EPSILON);
                let passed = now.since(since).as_secs_f64() / step;
                // Floats out of range end at the bounds.
                let index = (passed as usize).min(STEPS.len() - 1);
                STEPS[index]
            }
        }
    }

    const fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Completed | Stage::RolledBack)
    }

    fn is_proven(&self, known: &Observations, now: clock::Instant) -> bool {
        let roomy = known.ready > 0 && known.ready * 100 >= known.serving * ROOM;
        let least = if now >= self.at(QUIET) { FEW } else { LEAST };
        let seen = known.new.answers >= least;
        roomy && seen && now >= self.at(PROVEN) && now < self.at(SETTLED)
    }

    /// When the old version has had no call for long enough, in a move that began at `since`.
    fn done(&self, since: clock::Instant) -> clock::Instant {
        let steps = u32::try_from(STEPS.len() - 1).unwrap_or(u32::MAX);
        since + self.part(STEP) * steps + LAST.min(self.part(STEP) * 2)
    }

    fn part(&self, share: f64) -> time::Duration {
        self.within.mul_f64(share)
    }

    fn at(&self, share: f64) -> clock::Instant {
        self.since + self.part(share)
    }
}
