//! Tests of the selection by the delay of nodes.

use std::time;

use proptest::prelude::*;
use rstest::rstest;

use super::simulation;
use super::{SHOP, at, crossing, id, locality, rebuild, report, serving};
use crate::configs;
use crate::host;
use crate::pick;
use crate::pick::delay;
use crate::retry;

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn settings(node_delay: bool) -> configs::call::Call {
    configs::call::Call { node_delay, ..configs::call::Call::default() }
}

/// A fifth of the nodes takes 300 ms longer; the others run at 0.8 of their slots if they get all
/// calls.
fn fifth_slowed(node_delay: bool, delay: fn(u8, u64) -> time::Duration) -> simulation::Plan {
    simulation::Plan {
        settings: settings(node_delay),
        upstreams: 20,
        entries: 8,
        zones: &["a"],
        demand: &[1],
        rate: 1152,
        run_ms: 80..121,
        speed: |_| 1.0,
        long_share: 0.0,
        urgent: false,
        target: ms(250),
        delay,
        entry_delay: time::Duration::ZERO,
        lost: |_, _| false,
        counted_ms: 0..0,
        seconds: 20,
    }
}

fn slowed(number: u8, _millis: u64) -> time::Duration {
    if number.is_multiple_of(5) { ms(300) } else { ms(1) }
}

fn even(_number: u8, _millis: u64) -> time::Duration {
    ms(1)
}

/// Guards against calls that are late at nodes whose CPU is saturated while their upstreams have
/// free slots.
#[test]
fn calls_avoid_slow_nodes_while_the_others_have_capacity() {
    let without = simulation::run(fifth_slowed(true, even)).in_time;
    let with = simulation::run(fifth_slowed(true, slowed));
    let unaware = simulation::run(fifth_slowed(false, slowed)).in_time;
    println!("in time: {without} without slow nodes, {with:?}, {unaware} with the switch off");
    assert!(f64::from(with.in_time) >= 0.95 * f64::from(without));
    assert!(f64::from(unaware) < 0.85 * f64::from(without));
}

/// Guards against nodes that are left out for good after they have recovered.
#[test]
fn a_node_that_has_recovered_gets_calls_again() {
    let recovers = |number, millis| if number == 0 && millis < 5000 { ms(300) } else { ms(1) };
    let with = simulation::run(simulation::Plan { seconds: 30, ..fifth_slowed(true, recovers) });
    let share = f64::from(with.first) / f64::from(with.calls);
    println!("share of the first upstream: {share}");
    // It is left out for 5 s of 30 s, and for some seconds more; an equal share is 0.05.
    assert!(share > 0.03, "{share}");
}

/// Guards against calls that leave their zone or crowd at some upstreams since the entry node
/// itself, or all nodes alike, are late.
#[rstest]
#[case::entry_node(ms(300), even)]
#[case::all_nodes(time::Duration::ZERO, |_, _| ms(300))]
fn a_delay_that_all_upstreams_have_in_common_changes_no_share(
    #[case] entry_delay: time::Duration,
    #[case] delay: fn(u8, u64) -> time::Duration,
) {
    let plan = |on| simulation::Plan { entry_delay, ..fifth_slowed(on, delay) };
    let (on, off) = (simulation::run(plan(true)), simulation::run(plan(false)));
    let share = |results: simulation::Results| f64::from(results.first) / f64::from(results.calls);
    println!("{on:?} {off:?}");
    assert!((share(on) - share(off)).abs() < 0.005, "{} {}", share(on), share(off));
}

/// Guards against a change of any choice where the switch is off.
#[test]
fn with_the_switch_off_measured_delays_change_no_choice() {
    let choices = |measured: Option<time::Duration>| {
        let mut picker = pick::Picker::new(locality("a"), &settings(false), 7);
        rebuild(&mut picker, serving(&["a", "a", "a", "b"]), 0);
        let mut choices = Vec::new();
        for millis in 0..500 {
            let choice = picker.pick_with_cost(SHOP, crossing(0.5), at(millis), &[]);
            let choice = choice.expect("a choice");
            picker.started(choice, at(millis));
            let node_delay = measured.filter(|_| choice.host != id(2));
            let ran = report(retry::Outcome::Ran, 100_000);
            picker.ended(choice, &pick::Report { node_delay, ..ran }, at(millis));
            choices.push(choice);
        }
        choices
    };
    assert_eq!(choices(Some(ms(500))), choices(None));
}

/// Ends a call at host `number` of `picker`, whose hosts are the first nine, with a node delay.
fn measure(picker: &mut pick::Picker, number: u8, measured: time::Duration, millis: u64) {
    let others: Vec<host::HostId> = (1..10).filter(|n| *n != number).map(id).collect();
    let choice = picker.pick(SHOP, at(millis), &others).expect("a choice");
    assert_eq!(choice.host, id(number));
    picker.started(choice, at(millis));
    let ran = report(retry::Outcome::Ran, 100_000);
    picker.ended(choice, &pick::Report { node_delay: Some(measured), ..ran }, at(millis));
}

/// How many of 100 calls leave the zone, in which the nodes have these delays; that of the other
/// zone has 1 ms.
fn leaving(near: [time::Duration; 2], nested: bool) -> usize {
    let mut picker = pick::Picker::new(locality("a"), &settings(true), 7);
    rebuild(&mut picker, serving(&["a", "a", "b"]), 0);
    for round in 0..20 {
        measure(&mut picker, 1, near[0], round);
        measure(&mut picker, 2, near[1], round);
        measure(&mut picker, 3, ms(1), round);
    }
    let mut cost = crossing(0.5);
    cost.rank.nested = nested;
    let picks = (0..100).filter_map(|_| picker.pick_with_cost(SHOP, cost, at(20), &[]));
    picks.filter(|choice| !choice.same_zone).count()
}

/// One call in 200 explores other zones.
#[rstest]
#[case::one_is_fast([ms(300), ms(1)], false, 0..=3)]
#[case::all_are_slow([ms(300), ms(300)], false, 100..=100)]
#[case::all_are_slow_for_nested_calls([ms(300), ms(300)], true, 100..=100)]
#[case::all_are_a_little_slow([ms(30), ms(30)], false, 0..=3)]
fn calls_leave_a_zone_whose_nodes_are_all_slow(
    #[case] near: [time::Duration; 2],
    #[case] nested: bool,
    #[case] wanted: std::ops::RangeInclusive<usize>,
) {
    let left = leaving(near, nested);
    assert!(wanted.contains(&left), "{left} of 100 calls leave");
}

#[test]
fn the_first_measurement_counts_in_full_and_decays() {
    let mut one = delay::Delay::default();
    one.record(ms(300), at(0));
    assert_eq!(one.excess_us(0.0, at(0)), 300_000.0);
    assert!((one.excess_us(0.0, at(2000)) - 150_000.0).abs() < 1.0);
    assert!(one.excess_us(0.0, at(60_000)) < 1.0);
}

/// Guards against a single slow response that keeps a busy node without calls for seconds.
#[test]
fn one_measurement_of_many_counts_for_an_eighth() {
    let mut one = delay::Delay::default();
    for millis in 0..100 {
        one.record(ms(0), at(millis));
    }
    one.record(ms(800), at(100));
    assert!((one.excess_us(0.0, at(100)) - 100_000.0).abs() < 1.0);
}

#[test]
fn the_base_is_the_lower_quartile_of_the_recent_delays() {
    let base = |measured: &[(u64, u64)]| {
        let delays = measured.iter().map(|(delay, millis)| {
            let mut one = delay::Delay::default();
            one.record(ms(*delay), at(*millis));
            one
        });
        let mut delays: Vec<_> = delays.collect();
        delays.push(delay::Delay::default());
        delay::base_us(delays.iter(), at(5000), &mut Vec::new())
    };
    assert_eq!(base(&[]), 0.0);
    assert_eq!(base(&[(300, 5000), (5, 0)]), 300_000.0);
    assert_eq!(base(&[(300, 5000), (5, 5000)]), 5000.0);
    assert_eq!(base(&[(300, 5000), (0, 5000), (5, 5000), (6, 5000), (7, 5000)]), 5000.0);
}

/// Guards against a node that attracts the calls of others by claiming that it has no delay, where
/// any difference decides, as calls come one by one.
#[test]
fn a_node_that_claims_no_delay_gets_no_more_calls_when_idle() {
    let claims = |number, _| if number == 0 { ms(0) } else { ms(3) };
    let plan = fifth_slowed(true, claims);
    let results = simulation::run(simulation::Plan { rate: 5, seconds: 200, entries: 1, ..plan });
    let share = f64::from(results.first) / f64::from(results.calls);
    println!("share of the first upstream: {share}");
    assert!(share < 0.1, "{share}");
}

/// Guards against a node that attracts the calls of others by claiming that it has no delay: at
/// load, the few milliseconds of the others weigh little beside the slots that are taken.
#[test]
fn a_node_that_claims_no_delay_gets_few_more_calls_at_load() {
    let claims = |number, _| if number == 0 { ms(0) } else { ms(3) };
    let results = simulation::run(fifth_slowed(true, claims));
    let share = f64::from(results.first) / f64::from(results.calls);
    println!("share of the first upstream: {share}");
    assert!((0.045..0.06).contains(&share), "{share}");
}

proptest! {
    /// No measurement, however wrong, makes an upstream cheaper than one without delay, or gives a
    /// delay beyond the largest measurement.
    #[test]
    fn a_delay_stays_within_its_measurements(
        measurements in prop::collection::vec((0..u64::MAX, 0_u64..5000), 1..50),
        base in 0_u64..u64::MAX,
    ) {
        let mut one = delay::Delay::default();
        let (mut now, mut max) = (0, 0.0_f32);
        for (micros, pause) in measurements {
            now += pause;
            one.record(time::Duration::from_micros(micros), at(now));
            max = max.max(micros as f32);
            let excess = one.excess_us(base as f32, at(now));
            prop_assert!(excess >= 0.0 && excess <= max * 1.001, "{} {}", excess, max);
        }
    }
}
