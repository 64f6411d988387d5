//! Tests of the overflow of calls to other availability zones.

use std::time;

use proptest::prelude::*;

use super::simulation;
use crate::configs;
use crate::pick::overflow;

/// Three zones of nine upstreams with nine slots each.
fn three_zones(zone_overflow: bool, rate: u64, demand: &'static [u32]) -> simulation::Plan {
    simulation::Plan {
        settings: configs::call::Call { zone_overflow, ..configs::call::Call::default() },
        upstreams: 27,
        entries: 63,
        zones: &["a", "b", "c"],
        demand,
        rate,
        run_ms: 80..121,
        speed: |_| 1.0,
        long_share: 0.0,
        urgent: false,
        target: time::Duration::from_millis(250),
        delay: |_, _| time::Duration::from_millis(1),
        entry_delay: time::Duration::ZERO,
        lost: |_, _| false,
        counted_ms: 0..0,
        seconds: 20,
    }
}

fn share(part: u32, results: simulation::Results) -> f64 {
    f64::from(part) / f64::from(results.calls)
}

/// Guards against calls that cross between zones in both directions while all of them are busy.
#[test]
fn calls_cross_less_between_zones_that_are_equally_busy() {
    let [on, off] = [true, false].map(|on| simulation::run(three_zones(on, 2200, &[1, 1, 1])));
    println!("on {on:?}, off {off:?}");
    assert!(share(on.crossed, on) <= 0.5 * share(off.crossed, off));
    assert!(share(on.in_time, on) >= 0.99 * share(off.in_time, off));
}

/// Guards against calls that wait in a zone with too little capacity for its demand.
#[test]
fn calls_leave_the_busier_zone() {
    let [on, off] = [true, false].map(|on| simulation::run(three_zones(on, 2000, &[2, 3, 4])));
    println!("on {on:?}, off {off:?}");
    assert!(share(on.in_time, on) >= 0.99 * share(off.in_time, off));
    assert!(on.crossed < off.crossed);
}

/// Guards against a change of any choice where zones have free slots.
#[test]
fn nothing_differs_while_no_call_would_wait() {
    let [on, off] = [true, false].map(|on| simulation::run(three_zones(on, 600, &[1, 1, 1])));
    assert_eq!(on, off);
}

/// Guards against calls that stay in a zone whose nodes are all slow.
#[test]
fn calls_leave_a_zone_whose_nodes_are_slow() {
    let slow_zone =
        |number: u8, _| time::Duration::from_millis(if number.is_multiple_of(3) { 300 } else { 1 });
    let plan = |zone_overflow| simulation::Plan {
        settings: configs::call::Call {
            node_delay: true,
            zone_overflow,
            ..configs::call::Call::default()
        },
        delay: slow_zone,
        ..three_zones(true, 1200, &[1, 1, 1])
    };
    let [on, off] = [true, false].map(|on| simulation::run(plan(on)));
    println!("on {on:?}, off {off:?}");
    // The goal of the selection by the delay of nodes.
    assert!(share(on.in_time, on) >= 0.95 * share(off.in_time, off));
}

/// Guards against calls that queue at the survivors of a zone of which most hosts are lost, as the
/// lost ones look empty.
#[test]
fn calls_leave_a_zone_that_has_lost_most_of_its_hosts() {
    let lost = |number: u8, millis| number.is_multiple_of(3) && number < 18 && millis > 2000;
    let plan = |on| simulation::Plan { lost, ..three_zones(on, 1700, &[1, 1, 1]) };
    let [on, off] = [true, false].map(|on| simulation::run(plan(on)));
    println!("on {on:?}, off {off:?}");
    assert!(share(on.in_time, on) >= 0.98 * share(off.in_time, off));
}

/// Guards against one false report that keeps calls out of a zone for long.
#[test]
fn a_false_report_is_outweighed_by_a_few_others() {
    let (zone, mut overflow) = (overflow::ZoneKey(1), overflow::Overflow::default());
    overflow.record(zone, 65_536.0);
    for _ in 0..8 {
        overflow.record(zone, 0.3);
    }
    assert!(overflow.leaving_share(zone, 1.0) > 0.9);
}

proptest! {
    /// A share of zero would never show that a zone has become emptier; one above 1 is no share.
    #[test]
    fn the_share_is_bounded(
        reports in prop::collection::vec((0_u8.., 0.0_f32..1e6), 0..50),
        own in 0.0_f32..1e6,
    ) {
        let mut overflow = overflow::Overflow::default();
        for (zone, fullness) in reports {
            overflow.record(overflow::ZoneKey(zone), fullness);
            let share = overflow.leaving_share(overflow::ZoneKey(zone), own);
            prop_assert!(share > 0.0 && share <= 1.0);
        }
    }
}
