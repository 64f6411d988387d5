//! Decides which nested calls of a run are retried, and which are not sent at all.
//!
//! It answers upstreams that shed many calls at random: a run that makes several nested calls fails
//! with the first one that is lost, and retries of the others are spent for nothing. Where the
//! retry budget is scarce, it goes to runs that need a single retry.

use std::collections;

use smol_str::SmolStr;

use crate::clock;
use crate::retry;

/// Runs with a lost nested call that must have ended before it is known whether such runs survive:
/// fewer can't show a share of one in ten.
const MIN_RUNS: u16 = 10;

/// Where more than one run in this many survives the loss of a nested call, siblings are ignored.
const SURVIVES_ONE_IN: u16 = 10;

/// Number of runs at which all counts are halved, so that the latest ones weigh most.
const MAX_RUNS: u16 = 100;

/// One run in this many that lose a nested call is treated as if it could survive: its further
/// nested calls are sent, so that a change of the upstream is noticed.
const EXEMPT_ONE_IN: u16 = 16;

/// Maximum number of kinds whose losses are counted, and of kinds that one run is recorded to lose.
const MAX_KINDS: usize = 64;

/// How runs ended that lost just one nested call, of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    runs: u16,
    survived: u16,
    losses: u16,
}

/// A nested call that a run has lost and is known not to survive.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the run has lost a nested call of the kind {kind}")]
pub struct FatalLoss {
    /// Kind of that nested call.
    pub kind: SmolStr,
    /// Number of runs that lost just one nested call, of that kind; only the latest are counted.
    pub runs: u16,
    /// Number of those that survived.
    pub survived: u16,
    /// Number of nested calls that the run has lost.
    pub losses: u16,
}

/// What is known of how runs end that lose nested calls, by kind of the nested call.
#[derive(Clone, Debug, Default)]
pub struct Survival {
    kinds: collections::HashMap<SmolStr, Ends>,
}

impl Survival {
    /// Whether a run that loses a nested call of `kind` is known to fail.
    pub fn is_fatal(&self, kind: &str) -> bool {
        self.kinds.get(kind).is_some_and(|ends| {
            ends.runs >= MIN_RUNS && ends.survived.saturating_mul(SURVIVES_ONE_IN) <= ends.runs
        })
    }

    /// Records that a run ended that had lost just one nested call, of `kind`, and whether it
    /// `survived`.
    fn record_end(&mut self, kind: &SmolStr, survived: bool) {
        let Some(ends) = self.ends(kind) else { return };
        ends.runs += 1;
        ends.survived += u16::from(survived);
        if ends.runs >= MAX_RUNS {
            ends.runs /= 2;
            ends.survived /= 2;
        }
    }

    /// Records that a run lost its first nested call, of `kind`. Returns whether the run is exempt.
    fn record_loss(&mut self, kind: &SmolStr) -> bool {
        let Some(ends) = self.ends(kind) else { return false };
        ends.losses = ends.losses.wrapping_add(1);
        ends.losses.is_multiple_of(EXEMPT_ONE_IN)
    }

    fn ends(&mut self, kind: &SmolStr) -> Option<&mut Ends> {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            return None;
        }
        Some(self.kinds.entry(kind.clone()).or_default())
    }
}

/// The nested calls of one run.
#[derive(Clone, Debug, Default)]
pub struct Siblings {
    /// Number of those that are being attempted.
    running: u16,
    /// Number of those that wait for the end of others before a retry.
    waiting: u16,
    /// Number of those that have finally failed.
    losses: u16,
    /// The kinds of those that have finally failed, each once.
    lost: Vec<SmolStr>,
    /// Whether a nested call was not sent since another one was lost. What becomes of the run then
    /// shows nothing of the loss of a single one.
    refused: bool,
    exempt: bool,
}

impl Siblings {
    /// Records that a nested call is sent.
    ///
    /// # Errors
    ///
    /// It must not be sent, since the run has lost another one that it doesn't survive.
    pub fn begin(&mut self, survival: &Survival) -> Result<(), FatalLoss> {
        if let Some(loss) = self.fatal_loss(survival) {
            self.refused = true;
            return Err(loss);
        }
        self.running = self.running.saturating_add(1);
        Ok(())
    }

    /// Records that a nested call that is being attempted begins to wait for the others.
    pub fn pause(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.waiting = self.waiting.saturating_add(1);
    }

    /// Records that a nested call that waited is decided upon again.
    pub fn resume(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
        self.running = self.running.saturating_add(1);
    }

    /// Records that a nested call that was being attempted has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that a nested call of `kind` has finally failed.
    pub fn lose(&mut self, kind: &SmolStr, survival: &mut Survival) {
        self.losses = self.losses.saturating_add(1);
        if self.lost.is_empty() {
            self.exempt = survival.record_loss(kind);
        }
        if self.lost.len() < MAX_KINDS && !self.lost.contains(kind) {
            self.lost.push(kind.clone());
        }
    }

    /// Records the end of the run, which `survived` if its response is no server error.
    pub fn record_end(&self, survived: bool, survival: &mut Survival) {
        // A run that fails after several losses, also of one kind, may survive any single one.
        if let [kind] = self.lost.as_slice()
            && self.losses == 1
            && !self.refused
        {
            survival.record_end(kind, survived);
        }
    }

    /// Whether the run has lost a nested call that it doesn't survive.
    pub fn is_lost(&self, survival: &Survival) -> bool {
        !self.exempt && self.lost.iter().any(|kind| survival.is_fatal(kind))
    }

    /// The loss that the run doesn't survive, if there is one.
    fn fatal_loss(&self, survival: &Survival) -> Option<FatalLoss> {
        let mut lost = self.lost.iter().filter(|kind| survival.is_fatal(kind));
        let kind = lost.next().filter(|_| !self.exempt)?.clone();
        let Ends { runs, survived, .. } = survival.kinds.get(&kind).copied().unwrap_or_default();
        Some(FatalLoss { kind, runs, survived, losses: self.losses })
    }

    /// What a nested call of `kind` that is being attempted has to know of the others; `None` if
    /// they are ignored.
    pub fn others(&self, kind: &str, survival: &Survival) -> Option<Others> {
        (!self.exempt && survival.is_fatal(kind)).then(|| Others {
            running: self.running.saturating_sub(1),
            waiting: self.waiting,
            lost: self.is_lost(survival),
        })
    }

    /// Whether a nested call that waits must be decided upon again before its time: the others have
    /// ended, or one of them is lost.
    pub fn is_settled(&self, survival: &Survival) -> bool {
        self.running == 0 || self.is_lost(survival)
    }
}

/// The other nested calls of the same run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Others {
    /// Number of those that are being attempted.
    pub running: u16,
    /// Number of those that have failed and wait for the others.
    pub waiting: u16,
    /// Whether one of them has finally failed.
    pub lost: bool,
}

/// What to do next with a nested call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NestedDecision {
    /// What [`retry::decide`] would do, with the budget taken.
    Decided(retry::Decision),
    /// Decide again once the others have ended, or one is lost, at `until` at the latest.
    Wait {
        /// End of the wait.
        until: clock::Instant,
    },
    /// Answer the caller at once, with this decision: a retry would be allowed, but others of the
    /// run have failed.
    GiveUp(retry::Decision),
}

/// Decides what to do with the nested `call` after an attempt that ended with `outcome`. `others`
/// are the other nested calls of its run; `None` if they are ignored. It waits for them until
/// `wait_until` at the latest.
///
/// A nested call leaves a part of `budget` to the calls of callers. While less than half of it is
/// left, a nested call is retried only if none of the others has failed: a run that needs two
/// retries costs more of the budget and is served less often than two that need one each.
pub fn decide_nested(
    call: &retry::Call,
    others: Option<Others>,
    wait_until: clock::Instant,
    outcome: retry::Outcome,
    budget: &mut retry::Budget,
    now: clock::Instant,
) -> NestedDecision {
    if outcome.is_limited() {
        return NestedDecision::Decided(retry::decide(call, outcome, budget, now));
    }
    let again = retry::is_allowed(call, outcome, now) && budget.has_nested();
    if let Some(others) = others.filter(|_| again && budget.is_low()) {
        let failed = others.lost || others.waiting > 0;
        if !failed && others.running > 0 && now < wait_until {
            return NestedDecision::Wait { until: wait_until };
        }
        if failed {
            return NestedDecision::GiveUp(retry::refuse(call, outcome));
        }
    }
    if again && budget.take() {
        return NestedDecision::Decided(retry::Decision::Again { avoid: call.host });
    }
    NestedDecision::Decided(retry::refuse(call, outcome))
}
