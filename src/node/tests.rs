//! Tests of the life cycle of the process.

use std::time;

use rstest::rstest;

use crate::clock;
use crate::configs;
use crate::node;
use crate::node::lifecycle::{self, Event};
use crate::node::stop;

const LIMITS: lifecycle::Limits = lifecycle::Limits {
    serve: time::Duration::ZERO,
    settle: time::Duration::from_millis(500),
    drain: time::Duration::from_millis(5000),
};

fn run(steps: &[(u64, Event)]) -> node::Stage {
    run_with(LIMITS, steps)
}

fn run_with(limits: lifecycle::Limits, steps: &[(u64, Event)]) -> node::Stage {
    let mut machine = lifecycle::Machine::new(limits);
    let mut stage = node::Stage::Run;
    for (millis, event) in steps {
        stage = machine.handle(*event, clock::Instant::from_millis(*millis));
    }
    stage
}

#[rstest]
#[case::runs(&[(9000, Event::Tick)], node::Stage::Run)]
#[case::idle_alone_changes_nothing(&[(10, Event::Idle)], node::Stage::Run)]
#[case::drains(&[(10, Event::Stop)], node::Stage::Drain)]
#[case::the_drain_must_be_published(&[(10, Event::Stop), (20, Event::Idle)], node::Stage::Drain)]
#[case::ends_idle(
    &[(10, Event::Stop), (20, Event::Idle), (510, Event::Tick)],
    node::Stage::End
)]
#[case::waits_for_calls_in_flight(
    &[(10, Event::Stop), (5009, Event::Tick)],
    node::Stage::Drain
)]
#[case::drain_limit(&[(10, Event::Stop), (5010, Event::Tick)], node::Stage::End)]
#[case::second_request(&[(10, Event::Stop), (11, Event::Stop)], node::Stage::End)]
fn stage_after(#[case] steps: &[(u64, Event)], #[case] stage: node::Stage) {
    assert_eq!(run(steps), stage);
}

const SERVING: lifecycle::Limits =
    lifecycle::Limits { serve: time::Duration::from_millis(2000), ..LIMITS };

#[rstest]
#[case::keeps_serving(&[(10, Event::Stop), (2009, Event::Tick)], node::Stage::Leave)]
#[case::then_drains(&[(10, Event::Stop), (2010, Event::Tick)], node::Stage::Drain)]
#[case::second_request(&[(10, Event::Stop), (11, Event::Stop)], node::Stage::End)]
#[case::drain_limit_counts_from_the_drain(
    &[(10, Event::Stop), (2010, Event::Tick), (7009, Event::Tick)],
    node::Stage::Drain
)]
fn a_stop_lets_callers_choose_other_nodes_first(
    #[case] steps: &[(u64, Event)],
    #[case] stage: node::Stage,
) {
    assert_eq!(run_with(SERVING, steps), stage);
}

fn plan(kill_s: f64) -> stop::Plan {
    let settings = configs::stop::Stop {
        kill_s,
        serve_ms: 2300,
        flush_ms: 300,
        ..configs::stop::Stop::default()
    };
    stop::Plan::new(&settings)
}

/// Guards against calls at work that are cut by a schedule that was made for another supervisor:
/// with a kill after 10 s they were cut after 5 s.
#[rstest]
#[case::short(3.0)]
#[case::fraction(2.5)]
#[case::usual(6.0)]
#[case::long(10.0)]
#[case::half_a_minute(30.0)]
fn a_planned_stop_uses_the_time_until_the_kill(#[case] kill_s: f64) {
    let plan = plan(kill_s);
    let seconds = |time: time::Duration| time.as_secs_f64();
    assert!(seconds(plan.answer) > kill_s * 5.0 / 6.0, "{plan:?}");
    assert!(plan.serve < plan.answer && plan.answer < plan.cut, "{plan:?}");
    assert!(seconds(plan.cut + plan.flush) < kill_s - 0.1, "{plan:?}");
}

#[test]
fn without_the_time_of_a_kill_calls_in_flight_have_the_whole_drain() {
    let plan = plan(0.0);
    assert_eq!(plan.serve, time::Duration::from_millis(2300));
    assert_eq!(plan.cut, time::Duration::from_millis(32_300));
    assert_eq!(plan.answer, time::Duration::from_millis(32_100));
}
