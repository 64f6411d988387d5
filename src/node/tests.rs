//! Tests of the process's life cycle.

use std::time;

use rstest::rstest;

use crate::clock;
use crate::node;
use crate::node::life;

const LIMITS: life::Limits = life::Limits {
    serve: time::Duration::ZERO,
    settle: time::Duration::from_millis(500),
    drain: time::Duration::from_millis(5000),
};

fn run(steps: &[(u64, life::Event)]) -> node::Stage {
    run_with(LIMITS, steps)
}

fn run_with(limits: life::Limits, steps: &[(u64, life::Event)]) -> node::Stage {
    let mut machine = life::Machine::new(limits);
    let mut stage = node::Stage::Run;
    for (millis, event) in steps {
        stage = machine.handle(*event, clock::Instant::from_millis(*millis));
    }
    stage
}

#[rstest]
#[case::runs(&[(9000, life::Event::Tick)], node::Stage::Run)]
#[case::idle_alone_changes_nothing(&[(10, life::Event::Idle)], node::Stage::Run)]
#[case::drains(&[(10, life::Event::Stop)], node::Stage::Drain)]
#[case::news_must_spread(&[(10, life::Event::Stop), (20, life::Event::Idle)], node::Stage::Drain)]
#[case::ends_idle(
    &[(10, life::Event::Stop), (20, life::Event::Idle), (510, life::Event::Tick)],
    node::Stage::End
)]
#[case::in_flight_is_awaited(
    &[(10, life::Event::Stop), (5009, life::Event::Tick)],
    node::Stage::Drain
)]
#[case::limit(&[(10, life::Event::Stop), (5010, life::Event::Tick)], node::Stage::End)]
#[case::second_request(&[(10, life::Event::Stop), (11, life::Event::Stop)], node::Stage::End)]
fn stage_after(#[case] steps: &[(u64, life::Event)], #[case] stage: node::Stage) {
    assert_eq!(run(steps), stage);
}

const SERVING: life::Limits = life::Limits { serve: time::Duration::from_millis(2000), ..LIMITS };

#[rstest]
#[case::serves_on(&[(10, life::Event::Stop), (2009, life::Event::Tick)], node::Stage::Leave)]
#[case::then_drains(&[(10, life::Event::Stop), (2010, life::Event::Tick)], node::Stage::Drain)]
#[case::second_request(&[(10, life::Event::Stop), (11, life::Event::Stop)], node::Stage::End)]
#[case::drain_has_its_own_time(
    &[(10, life::Event::Stop), (2010, life::Event::Tick), (7009, life::Event::Tick)],
    node::Stage::Drain
)]
fn a_stop_lets_callers_turn_away_first(
    #[case] steps: &[(u64, life::Event)],
    #[case] stage: node::Stage,
) {
    assert_eq!(run_with(SERVING, steps), stage);
}
