//! Tests of the selection for urgent calls.

use std::time;

use rstest::rstest;

use super::simulation;
use super::{SHOP, at, id, locality, rebuild, report, serving};
use crate::admit;
use crate::configs;
use crate::host;
use crate::pick;
use crate::retry;

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Short calls of 86 ms that must be answered within 250 ms, among long ones, at upstreams of which
/// a third takes 1.6 times as long as the mean.
fn mixed(urgent: bool) -> simulation::Plan {
    simulation::Plan {
        settings: configs::call::Call::default(),
        upstreams: 18,
        entries: 8,
        zones: &["a"],
        demand: &[1],
        rate: 1000,
        run_ms: 60..113,
        speed: |number| if number.is_multiple_of(3) { 1.6 } else { 0.7 },
        long_share: 0.25,
        urgent,
        target: ms(250),
        delay: |_, _| time::Duration::ZERO,
        entry_delay: time::Duration::ZERO,
        lost: |_, _| false,
        counted_ms: 0..0,
        seconds: 20,
    }
}

/// Guards against urgent calls that wait for, or run too long at, one upstream while another one
/// would answer them in time.
#[test]
fn urgent_calls_go_where_they_are_answered_in_time() {
    let (on, off) = (simulation::run(mixed(true)), simulation::run(mixed(false)));
    println!("{on:?} with urgency, {off:?} without");
    let share =
        |results: simulation::Results| f64::from(results.in_time) / f64::from(results.calls);
    assert!(share(on) >= 0.98, "{}", share(on));
    assert!(share(off) < 0.97, "{}", share(off));
}

#[rstest]
#[case::in_time(250, 0.0, 1.0, 0.0)]
#[case::slow(150, 0.0, 1.6, 0.3)]
#[case::fast(150, 0.0, 0.7, 0.0)]
#[case::waits(150, 55.0, 1.0, 0.25)]
#[case::far_too_late(0, 500.0, 1.0, 1.0)]
#[case::target_is_past(0, 0.0, 0.7, 0.9)]
fn the_lateness_is_the_excess_over_the_time_left(
    #[case] left: u64,
    #[case] wait_ms: f32,
    #[case] relative: f32,
    #[case] wanted: f32,
) {
    let urgency = pick::Urgency { mean: ms(100), deviation: ms(20), left: ms(left) };
    assert!((urgency.lateness(wait_ms * 1000.0, relative) - wanted).abs() < 0.001);
}

/// A picker for a fast upstream with eight calls of other entry nodes and a slow one with one.
fn fast_and_slow() -> pick::Picker {
    let mut picker = pick::Picker::new(locality("a"), &configs::call::Call::default(), 7);
    rebuild(&mut picker, serving(&["a", "a"]), 0);
    for round in 0..200 {
        for (number, ratio, running) in [(1, 0.7, 8), (2, 1.6, 1)] {
            let other: [host::HostId; 1] = [id(3 - number)];
            let choice = picker.pick(SHOP, at(round), &other).expect("a choice");
            picker.started(choice, at(round));
            let load = admit::Load { running, waiting: 0, slots: 9, service_us: 100_000 };
            let ran = report(retry::Outcome::Ran, 0);
            let report = pick::Report { load: Some(load), relative_time: Some(ratio), ..ran };
            picker.ended(choice, &report, at(round));
        }
    }
    picker
}

#[rstest]
#[case::not_urgent(None, 2)]
#[case::time_for_both(Some(250), 2)]
#[case::time_for_the_fast_one_alone(Some(120), 1)]
fn an_urgent_call_takes_the_last_slot_of_a_fast_upstream(
    #[case] left: Option<u64>,
    #[case] wanted: u8,
) {
    let mut picker = fast_and_slow();
    let urgency =
        left.map(|left| pick::Urgency { mean: ms(86), deviation: ms(20), left: ms(left) });
    let cost = pick::TransferCost { urgency, ..pick::TransferCost::FREE };
    for _ in 0..20 {
        let choice = picker.pick_with_cost(SHOP, cost, at(199), &[]).expect("a choice");
        assert_eq!(choice.host, id(wanted));
    }
}
