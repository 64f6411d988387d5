//! Tests of the decisions on nested calls.

use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use crate::clock;
use crate::retry;

const SHED: retry::Outcome = retry::Outcome::NotRun(retry::Reason::UpstreamShed);
const KIND: &str = "part";
const NOW: clock::Instant = clock::Instant::from_millis(0);
const HALFWAY: clock::Instant = clock::Instant::from_millis(500);
const DEADLINE: clock::Instant = clock::Instant::from_millis(1000);

fn nested() -> retry::Call {
    retry::Call { depth: 1, deadline: DEADLINE, ..super::call(true) }
}

fn kind() -> SmolStr {
    SmolStr::new_static(KIND)
}

/// What is known after `runs` runs that lost a nested call, of which `survived` survived it.
fn survival(runs: u16, survived: u16) -> retry::Survival {
    let mut survival = retry::Survival::default();
    for number in 0..runs {
        let mut siblings = retry::Siblings::default();
        siblings.begin(&survival).unwrap();
        siblings.lose(&kind(), &mut survival);
        siblings.end();
        siblings.record_end(number < survived, &mut survival);
    }
    survival
}

/// A budget of ten of which `left` are left.
fn budget(left: u32) -> retry::Budget {
    let mut budget = retry::Budget::new(10, 10);
    while budget.remaining() > left {
        budget.take();
    }
    budget
}

fn decide(others: Option<retry::Others>, left: u32, now: clock::Instant) -> retry::NestedDecision {
    retry::decide_nested(&nested(), others, HALFWAY, SHED, &mut budget(left), now)
}

fn others(running: u16, waiting: u16, lost: bool) -> Option<retry::Others> {
    Some(retry::Others { running, waiting, lost })
}

const AGAIN: retry::NestedDecision =
    retry::NestedDecision::Decided(retry::Decision::Again { avoid: None });

const WAIT: retry::NestedDecision = retry::NestedDecision::Wait { until: HALFWAY };

fn is_final(decision: retry::NestedDecision) -> bool {
    let retry::NestedDecision::Decided(decision) = decision else { return false };
    matches!(decision, retry::Decision::Final { .. })
}

fn is_given_up(decision: retry::NestedDecision) -> bool {
    let retry::NestedDecision::GiveUp(decision) = decision else { return false };
    matches!(decision, retry::Decision::Final { .. })
}

#[test]
fn with_a_scarce_budget_a_nested_call_is_retried_only_beside_successful_ones() {
    assert_eq!(decide(others(0, 0, false), 4, NOW), AGAIN);
    assert_eq!(decide(others(1, 0, false), 4, NOW), WAIT);
    assert_eq!(decide(others(1, 0, false), 4, HALFWAY), AGAIN, "half of its time is left");
    assert!(is_given_up(decide(others(0, 0, true), 4, NOW)));
    assert!(is_given_up(decide(others(1, 0, true), 4, NOW)), "it must not wait for nothing");
    assert!(is_given_up(decide(others(0, 1, false), 4, NOW)), "the run needs two retries");
}

#[test]
fn with_half_of_the_budget_or_where_siblings_are_ignored_a_nested_call_is_retried_at_once() {
    for known in [others(1, 0, false), others(1, 1, true), None] {
        assert_eq!(decide(known, 5, NOW), AGAIN);
    }
    assert_eq!(decide(None, 4, NOW), AGAIN);
}

/// Nested calls can be several times as many as the calls that fill the budget, and would leave
/// nothing of it to them.
#[test]
fn nested_calls_leave_a_quarter_of_the_budget() {
    assert_eq!(decide(None, 3, NOW), AGAIN);
    assert!(is_final(decide(None, 2, NOW)));
    assert!(is_final(decide(others(1, 0, false), 2, NOW)), "it must not wait without a budget");
    let decision = retry::decide(&super::call(true), SHED, &mut budget(1), NOW);
    assert_eq!(decision, retry::Decision::Again { avoid: None }, "a caller may use all of it");
}

#[test]
fn a_small_budget_is_not_reserved_as_a_whole() {
    let mut one = retry::Budget::new(10, 1);
    let decision = retry::decide_nested(&nested(), None, HALFWAY, SHED, &mut one, NOW);
    assert_eq!(decision, AGAIN);
}

/// The rules on what may be sent twice hold for nested calls as for all others.
#[test]
fn a_nested_call_that_may_have_run_is_retried_only_if_idempotent() {
    let cut = retry::Outcome::Unknown(retry::Reason::Cut);
    let mut budget = retry::Budget::new(10, 10);
    let mut decide =
        |call: retry::Call| retry::decide_nested(&call, None, HALFWAY, cut, &mut budget, NOW);
    assert_eq!(decide(nested()), AGAIN);
    assert!(is_final(decide(retry::Call { idempotent: false, ..nested() })));
    assert!(is_final(decide(retry::Call { outer_attempt: 2, ..nested() })));
    assert!(is_final(decide(retry::Call { attempt: 2, ..nested() })));
}

#[test]
fn a_run_that_lost_a_nested_call_sends_no_more_where_such_runs_fail() {
    let mut known = survival(10, 1);
    let mut siblings = retry::Siblings::default();
    assert!(siblings.begin(&known).is_ok());
    siblings.lose(&kind(), &mut known);
    siblings.end();
    assert!(siblings.begin(&known).is_err());
}

/// The log shows why a nested call was not sent, with what was known at that time.
#[test]
fn the_loss_that_a_run_does_not_survive_is_told_with_what_is_known_of_it() {
    let mut known = survival(12, 1);
    let mut siblings = retry::Siblings::default();
    assert_eq!(siblings.begin(&known), Ok(()));
    siblings.lose(&SmolStr::new_static("other"), &mut known);
    assert_eq!(siblings.begin(&known), Ok(()));
    siblings.lose(&kind(), &mut known);
    let loss = retry::FatalLoss { kind: kind(), runs: 12, survived: 1, losses: 2 };
    assert_eq!(siblings.begin(&known), Err(loss));
}

/// Where a run can do without a nested call, refusing the others would take away answers that
/// callers get today. So would decisions on too few runs.
#[test]
fn siblings_are_ignored_where_runs_survive_or_little_is_known() {
    for mut known in [survival(10, 2), survival(9, 0), retry::Survival::default()] {
        let mut siblings = retry::Siblings::default();
        siblings.begin(&known).unwrap();
        siblings.lose(&kind(), &mut known);
        assert!(siblings.begin(&known).is_ok());
        assert_eq!(siblings.others(KIND, &known), None);
    }
}

/// A run that survives the loss of one nested call may fail after two. Were it taken to fail after
/// one, all further nested calls of such runs would be refused.
#[test]
fn runs_that_lost_several_nested_calls_teach_nothing_of_a_single_loss() {
    for losses in [1, 2, 3] {
        let mut known = retry::Survival::default();
        for _ in 0..50 {
            let mut siblings = retry::Siblings::default();
            for _ in 0..losses {
                siblings.begin(&known).unwrap();
            }
            for _ in 0..losses {
                siblings.lose(&kind(), &mut known);
                siblings.end();
            }
            siblings.record_end(false, &mut known);
        }
        assert_eq!(known.is_fatal(KIND), losses == 1, "{losses} losses a run");
    }
}

/// Without exempt runs, an upstream that learns to do without a nested call would never be noticed.
#[test]
fn a_change_of_the_upstream_is_noticed() {
    let mut known = survival(50, 0);
    assert!(known.is_fatal(KIND));
    let mut ended = 0;
    while known.is_fatal(KIND) {
        let mut siblings = retry::Siblings::default();
        siblings.begin(&known).unwrap();
        siblings.lose(&kind(), &mut known);
        siblings.end();
        // Refused, unless the run is exempt.
        let _ = siblings.begin(&known);
        siblings.record_end(true, &mut known);
        ended += 1;
        assert!(ended < 200, "still taken for fatal after {ended} runs that survived");
    }
}

#[test]
fn the_number_of_kinds_is_bounded() {
    let mut known = retry::Survival::default();
    for number in 0..1000 {
        let name = SmolStr::from(format!("kind-{number}"));
        for _ in 0..10 {
            let mut siblings = retry::Siblings::default();
            siblings.begin(&known).unwrap();
            siblings.lose(&name, &mut known);
            siblings.record_end(false, &mut known);
        }
    }
    let fatal = (0..1000).filter(|number| known.is_fatal(&format!("kind-{number}"))).count();
    assert_eq!(fatal, 64);
}

/// Runs with two nested calls at once, of which half of the attempts are shed at random.
struct Model {
    seed: u64,
    budget: retry::Budget,
    survival: retry::Survival,
    retries: u32,
    /// Runs that needed a retry and were served.
    rescued: u32,
}

impl Model {
    fn new(seed: u64) -> Self {
        let budget = retry::Budget::new(10, 10);
        Self { seed, budget, survival: survival(10, 0), retries: 0, rescued: 0 }
    }

    /// Whether the next attempt is shed: the high bit of a linear congruential generator.
    fn is_shed(&mut self) -> bool {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.seed >> 63 == 1
    }

    /// Ends one run, whose nested calls were `shed` at first and `served` in the end.
    fn end(&mut self, shed: [bool; 2], served: [bool; 2]) {
        self.budget.record_served();
        self.rescued += u32::from(shed != [false; 2] && served == [true; 2]);
    }

    /// A run whose nested calls are decided upon each for itself.
    fn run_each(&mut self) {
        let shed = [self.is_shed(), self.is_shed()];
        let served = shed.map(|shed| {
            let decision =
                |model: &mut Self| retry::decide(&nested(), SHED, &mut model.budget, NOW);
            !shed || matches!(decision(self), retry::Decision::Again { .. }) && self.retry()
        });
        self.end(shed, served);
    }

    /// A run whose nested calls are decided upon together.
    fn run_together(&mut self) {
        let mut siblings = retry::Siblings::default();
        assert!((0..2).all(|_| siblings.begin(&self.survival).is_ok()));
        let shed = [self.is_shed(), self.is_shed()];
        let mut served = [None; 2];
        let mut paused = [false; 2];
        while let Some(index) = (0..2).find(|&index| served[index].is_none()) {
            // While the first one waits, the second one ends.
            let index = if paused[index] && served[1].is_none() { 1 } else { index };
            if paused[index] {
                siblings.resume();
            }
            paused[index] = false;
            let decision = if shed[index] {
                let others = siblings.others(KIND, &self.survival);
                let budget = &mut self.budget;
                Some(retry::decide_nested(&nested(), others, HALFWAY, SHED, budget, NOW))
            } else {
                None
            };
            let success = match decision {
                Some(retry::NestedDecision::Wait { .. }) => {
                    siblings.pause();
                    paused[index] = true;
                    continue;
                }
                Some(decision) => decision == AGAIN && self.retry(),
                None => true,
            };
            if !success {
                siblings.lose(&kind(), &mut self.survival);
            }
            siblings.end();
            served[index] = Some(success);
        }
        siblings.record_end(served == [Some(true); 2], &mut self.survival);
        self.end(shed, served.map(|served| served == Some(true)));
    }

    fn retry(&mut self) -> bool {
        self.retries += 1;
        !self.is_shed()
    }
}

/// Runs of each model. The ratio of the rescued runs is 1.453 in the mean; over this many its
/// standard deviation is 0.013, so that a third more is nine of them below. Over a tenth of it, one
/// seed in 500 falls below by chance.
const MODEL_RUNS: u32 = 200_000;

/// Asserts that deciding on nested calls together rescues a third more runs, with no more retries.
fn assert_third_more(seed: u64) {
    let (mut each, mut together) = (Model::new(seed), Model::new(seed));
    for _ in 0..MODEL_RUNS {
        each.run_each();
        together.run_together();
    }
    assert!(together.retries <= each.retries);
    let (before, after) = (each.rescued, together.rescued);
    assert!(after * 3 >= before * 4, "{after} runs rescued in place of {before}");
}

/// Seeds for which the first 20,000 runs show less than a third more.
#[rstest]
#[case::ratio_1_327(7_302_231_562_124_634_303)]
#[case::ratio_1_306(10_664_321_601_229_123_758)]
fn a_third_more_runs_are_served_also_after_a_poor_start(#[case] seed: u64) {
    assert_third_more(seed);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// The load that the part answers: half of the nested calls are shed, two a run, with a budget
    /// of a tenth.
    #[test]
    fn a_third_more_runs_are_served_for_the_same_retries(seed: u64) {
        assert_third_more(seed);
    }
}
