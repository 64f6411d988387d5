//! Tests of what the picker reports of slow nodes and of lost hosts.

use std::time;

use super::{SHOP, UNREACHABLE, at, id, locality, rebuild, report, serving};
use crate::configs;
use crate::host;
use crate::pick;
use crate::retry;

fn ms(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn picker(counts: &pick::Counts) -> pick::Picker {
    let call = configs::call::Call::default();
    let settings = configs::call::Call { node_delay: true, loss_window_ms: 2000, ..call };
    let mut picker = pick::Picker::new(locality("a"), &settings, 7).with_counts(counts.clone());
    rebuild(&mut picker, serving(&["a", "a", "a", "a"]), 0);
    picker
}

/// Ends a call at host `number` with a node delay of `measured`; without a response if it is
/// `None`.
fn end(
    picker: &mut pick::Picker,
    number: u8,
    measured: Option<time::Duration>,
    millis: u64,
) -> Option<pick::Event> {
    let others: Vec<host::HostId> = (1..10).filter(|n| *n != number).map(id).collect();
    let choice = picker.pick(SHOP, at(millis), &others).expect("a choice");
    assert_eq!(choice.host, id(number));
    picker.started(choice, at(millis));
    let outcome = measured.map_or(UNREACHABLE, |_| retry::Outcome::Ran);
    let responded_at = measured.map(|_| at(millis));
    let report = pick::Report { node_delay: measured, responded_at, ..report(outcome, 100_000) };
    picker.ended(choice, &report, at(millis))
}

#[test]
fn a_slow_node_is_reported_once_with_the_inputs_of_the_decision() {
    let counts = pick::Counts::default();
    let mut picker = picker(&counts);
    for round in 0..20 {
        assert_eq!(end(&mut picker, 1, Some(ms(1)), round), None);
        assert_eq!(end(&mut picker, 2, Some(ms(1)), round), None);
    }
    let slow = pick::SlowNode {
        host: id(3),
        measured: ms(301),
        excess: ms(300),
        base: ms(1),
        service: Some(ms(100)),
        skipped: 0,
    };
    assert_eq!(end(&mut picker, 3, Some(ms(301)), 20), Some(pick::Event::SlowNode(slow)));
    assert_eq!(end(&mut picker, 3, Some(ms(301)), 21), None);
    assert_eq!(counts.slow_nodes.get(), 1);
}

/// Guards against a flood of lines where many nodes become slow at once.
#[test]
fn events_are_counted_but_reported_once_a_second_at_most() {
    let counts = pick::Counts::default();
    let mut picker = picker(&counts);
    for round in 0..20 {
        end(&mut picker, 1, Some(ms(1)), round);
    }
    assert!(end(&mut picker, 2, Some(ms(500)), 20).is_some());
    assert_eq!(end(&mut picker, 3, Some(ms(500)), 30), None);
    end(&mut picker, 1, Some(ms(1)), 1100);
    let event = end(&mut picker, 4, Some(ms(500)), 1100);
    assert!(matches!(event, Some(pick::Event::SlowNode(slow)) if slow.skipped == 1), "{event:?}");
    assert_eq!(counts.slow_nodes.get(), 3);
}

#[test]
fn losses_and_probes_are_counted() {
    let counts = pick::Counts::default();
    let mut picker = picker(&counts);
    end(&mut picker, 1, None, 100);
    assert!(matches!(end(&mut picker, 2, None, 110), Some(pick::Event::HostsLost(_))));
    end(&mut picker, 3, Some(ms(1)), 120);
    assert_eq!((counts.losses.get(), counts.probes.get()), (1, 0));
    for _ in 0..80 {
        picker.pick(SHOP, at(130), &[]).expect("a choice");
    }
    assert_eq!(counts.probes.get(), 9);
}

/// Guards against a slow node that is counted and never reported, as the attempt that showed it has
/// shown a loss of hosts, too.
#[test]
fn a_slow_node_found_together_with_a_loss_is_reported_next() {
    let counts = pick::Counts::default();
    let mut picker = picker(&counts);
    for round in 0..20 {
        end(&mut picker, 3, Some(ms(1)), round);
    }
    let mut time_out = |number: u8, millis: u64| {
        let others: Vec<host::HostId> = (1..10).filter(|n| *n != number).map(id).collect();
        let choice = picker.pick(SHOP, at(millis), &others).expect("a choice");
        picker.started(choice, at(millis));
        let outcome = retry::Outcome::Unknown(retry::Reason::Timeout);
        let node_delay = (number == 2).then_some(ms(500));
        let silent = pick::Report { latency: ms(500), node_delay, ..report(outcome, 100_000) };
        picker.ended(choice, &silent, at(millis))
    };
    assert_eq!(time_out(1, 1000), None);
    assert!(matches!(time_out(2, 1010), Some(pick::Event::HostsLost(_))));
    let event = end(&mut picker, 3, Some(ms(1)), 1020);
    assert!(matches!(event, Some(pick::Event::SlowNode(slow)) if slow.host == id(2)), "{event:?}");
    assert_eq!(end(&mut picker, 3, Some(ms(1)), 1030), None);
    assert_eq!(counts.slow_nodes.get(), 1);
}
