//! Bounds on the results of the policies, in virtual time.

use rstest::rstest;

use crate::bench::policies;
use crate::bench::policies::case;

const SECONDS: u64 = 3;

/// Time of a run with a limited upstream: longer than the span over which its calls are counted.
const LIMITED_SECONDS: u64 = 6;

fn run(fault: case::Fault, percent: u32) -> policies::tally::Figures {
    let seconds = if fault == case::Fault::Limited { LIMITED_SECONDS } else { SECONDS };
    let (policy, retry) = (case::Policy::Cheapest3, case::Retry::Served);
    policies::measure(case::Case { policy, retry, fault, percent }, seconds, 1).figures
}

#[rstest]
#[case::full(90)]
#[case::overloaded(200)]
fn the_same_seed_gives_the_same_figures(#[case] percent: u32) {
    let figures = || format!("{:?}", run(case::Fault::Slow, percent));
    assert_eq!(figures(), figures());
}

#[rstest]
#[case::healthy(case::Fault::None)]
#[case::lying(case::Fault::Lying)]
#[case::many_entries(case::Fault::Many)]
fn overload_is_refused_quickly_and_hits_light_calls_only(#[case] fault: case::Fault) {
    let figures = run(fault, 200);
    assert!(figures.goodput >= 0.95, "{figures:?}");
    assert!(figures.orders >= 0.99, "{figures:?}");
    assert!(figures.attempts <= 1.1, "{figures:?}");
    assert!(figures.refused_p99_us <= 10_000, "{figures:?}");
}

#[test]
fn an_outage_costs_at_most_a_tenth_more_attempts() {
    let figures = run(case::Fault::Outage, 90);
    assert!(figures.attempts <= 1.1, "{figures:?}");
    assert_eq!(figures.unknown, 0);
}

#[test]
fn a_dead_upstream_causes_no_failed_call_at_half_load() {
    let figures = run(case::Fault::Dead, 50);
    assert_eq!((figures.refused, figures.unknown), (0, 0), "{figures:?}");
}

#[test]
fn a_slow_upstream_adds_at_most_half_to_the_p99_at_half_load() {
    let (slow, healthy) = (run(case::Fault::Slow, 50), run(case::Fault::None, 50));
    assert!(slow.p99_us * 2 <= healthy.p99_us * 3, "{slow:?} against {healthy:?}");
}

#[rstest]
#[case::half(50)]
#[case::full(90)]
#[case::overloaded(200)]
fn a_limited_upstream_of_the_largest_mesh_gets_what_its_limit_allows(#[case] percent: u32) {
    let figures = run(case::Fault::Limited, percent);
    assert!(figures.limit_share <= 1.0, "{figures:?}");
}

#[test]
fn no_call_is_refused_for_a_limit_while_there_is_room_elsewhere() {
    let figures = run(case::Fault::Limited, 50);
    assert_eq!((figures.refused, figures.unknown), (0, 0), "{figures:?}");
}
