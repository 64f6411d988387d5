//! Replays load beyond what an upstream can carry, in virtual time.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

use super::{BROWSE, Harness, ORDER, nested, refused};
use crate::admit;

/// Served calls, and those of them in time, at 1.4 times the load that one upstream can carry: nine
/// slots, 45 to 135 ms a call, a target of 200 ms and a deadline of 1200 ms. With `targets`, the
/// gate knows the targets.
fn overload(targets: bool) -> (u32, u32) {
    const CALLS: u64 = 4000;
    const GAP_US: u64 = 7140;
    let mut harness = Harness::new(9, 16);
    let mut ends: collections::BTreeSet<(u64, u64)> = collections::BTreeSet::new();
    let mut began = collections::HashMap::new();
    let (mut served, mut timely) = (0, 0);
    for number in 0..CALLS {
        let now = number * GAP_US / 1000;
        while let Some((end, ticket)) = ends.first().copied().filter(|(end, _)| *end <= now) {
            ends.remove(&(end, ticket));
            served += 1;
            timely += u32::from(end <= began[&ticket] + 200);
            start(&harness.end(ticket, end), end, &mut ends);
        }
        began.insert(number, now);
        let target = if targets { now + 200 } else { now + 1200 };
        let actions = harness.arrive_for(number, BROWSE, target, now + 1200, now);
        start(&actions, now, &mut ends);
    }
    (served, timely)
}

/// Runs the calls that the gate admitted; a call takes 45 to 135 ms, depending on its ticket.
fn start(actions: &[admit::Action], now: u64, ends: &mut collections::BTreeSet<(u64, u64)>) {
    for action in actions {
        if let admit::Action::Run { ticket } = action {
            let took = 45 + ticket.0 * 37 % 91;
            ends.insert((now + took, ticket.0));
        }
    }
}

#[test]
fn calls_are_served_in_time_under_overload() {
    let ((before, late), (after, timely)) = (overload(false), overload(true));
    println!("served {before} before and {after} after, in time {late} and {timely}");
    assert!(after * 100 >= before * 97, "the slots stay busy: {after} of {before}");
    assert!(timely * 100 >= after * 60, "{timely} of {after} in time");
    assert!(late * 4 < timely, "{late} in time without targets, {timely} with them");
}

/// Calls in time under the same overload, counted from the first attempt, where refused callers
/// retry twice after the time that the refusal names. With `known`, the targets count from the
/// first attempt.
fn overload_with_retries(known: bool) -> u32 {
    const CALLERS: u64 = 4000;
    const GAP_US: u64 = 7140;
    const ATTEMPTS: u64 = 3;
    let mut harness = Harness::new(9, 16);
    let mut ends: collections::BTreeSet<(u64, u64)> = collections::BTreeSet::new();
    let first = |caller: u64| caller * GAP_US / 1000;
    // Attempts by time; a ticket holds the numbers of the caller and of its attempt.
    let mut attempts: collections::BTreeSet<(u64, u64)> =
        (0..CALLERS).map(|caller| (first(caller), caller * ATTEMPTS)).collect();
    let mut timely = 0;
    while let Some((now, ticket)) = attempts.pop_first() {
        while let Some((end, done)) = ends.first().copied().filter(|(end, _)| *end <= now) {
            ends.remove(&(end, done));
            timely += u32::from(end <= first(done / ATTEMPTS) + 200);
            start(&harness.end(done, end), end, &mut ends);
        }
        let since = first(ticket / ATTEMPTS);
        let target = if known { since + 200 } else { now + 200 };
        let actions = harness.arrive_for(ticket, BROWSE, target, since + 1200, now);
        start(&actions, now, &mut ends);
        for action in &actions {
            let admit::Action::Refuse { ticket, retry_after, .. } = action else { continue };
            if ticket.0 % ATTEMPTS + 1 < ATTEMPTS {
                let pause = u64::try_from(retry_after.as_millis()).expect("a short pause");
                attempts.insert((now + pause.max(1), ticket.0 + 1));
            }
        }
    }
    timely
}

#[test]
fn retries_do_not_displace_calls_in_time() {
    let (before, after) = (overload_with_retries(false), overload_with_retries(true));
    println!("in time {before} before and {after} after");
    assert!(after * 10 >= before * 11, "{after} instead of {before}");
}

/// Served calls and those of them in time, for less urgent and for urgent calls, at 1.3 times the
/// load that four slots can carry. Half of the calls are urgent, take 60 to 200 ms and have a
/// target of 500 ms; the others take 60 to 320 ms and have a target of 400 ms.
fn two_ranks() -> [(u32, u32); 2] {
    const CALLS: u64 = 6000;
    const URGENT: admit::Kind = admit::Kind(1);
    const OTHER: admit::Kind = admit::Kind(2);
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let mut harness = Harness::new(4, 16);
    let mut ends: collections::BTreeSet<(u64, u64)> = collections::BTreeSet::new();
    // When each call came and how long it runs.
    let mut calls = collections::HashMap::new();
    let mut counts = [(0, 0); 2];
    let mut now = 0;
    for ticket in 0..CALLS {
        now += rng.random_range(0..62);
        while let Some((end, done)) = ends.first().copied().filter(|(end, _)| *end <= now) {
            ends.remove(&(end, done));
            let (came, _): (u64, u64) = calls[&done];
            let urgent = done % 2 == 0;
            let (served, timely) = &mut counts[usize::from(urgent)];
            *served += 1;
            *timely += u32::from(end <= came + if urgent { 500 } else { 400 });
            for action in harness.end(done, end) {
                if let admit::Action::Run { ticket } = action {
                    ends.insert((end + calls[&ticket.0].1, ticket.0));
                }
            }
        }
        let urgent = ticket % 2 == 0;
        let took = if urgent { rng.random_range(60..200) } else { rng.random_range(60..320) };
        calls.insert(ticket, (now, took));
        let (kind, weight, target) =
            if urgent { (URGENT, ORDER, 500) } else { (OTHER, BROWSE, 400) };
        for action in harness.arrive_of(kind, ticket, weight, now + target, now + 2000, now) {
            if let admit::Action::Run { ticket } = action {
                ends.insert((now + calls[&ticket.0].1, ticket.0));
            }
        }
    }
    counts
}

#[test]
fn less_urgent_calls_are_admitted_if_they_can_be_in_time() {
    let [other, urgent] = two_ranks();
    println!("less urgent: {other:?} served and in time, urgent: {urgent:?}");
    assert!(other.1 * 100 >= other.0 * 80, "{other:?} in time");
    assert!(urgent.1 * 100 >= urgent.0 * 90, "{urgent:?} in time");
}

#[test]
fn refused_calls_are_retried_at_different_times_after_the_backlog() {
    let mut harness = Harness::new(1, 1);
    harness.arrive(0, BROWSE, 10_000, 0);
    harness.end(0, 100);
    harness.arrive(1, BROWSE, 10_000, 100);
    harness.arrive(2, BROWSE, 10_000, 100);
    let mut times = collections::BTreeSet::new();
    for ticket in 3..11 {
        let actions = harness.arrive(ticket, BROWSE, 10_000, 100);
        let [admit::Action::Refuse { retry_after, .. }] = actions[..] else {
            panic!("not refused: {actions:?}");
        };
        assert!(retry_after >= time::Duration::from_millis(200), "{retry_after:?}");
        assert!(retry_after <= time::Duration::from_millis(400), "{retry_after:?}");
        times.insert(retry_after);
    }
    assert_eq!(times.len(), 8, "{times:?}");
}

/// One slot and calls of 100 ms in sequence. With `overtaken`, three calls that run first come
/// after each call that waits. Returns whether, after that, a call is admitted that could start in
/// time judging by the queue.
fn is_admitted_after_waits(overtaken: bool) -> bool {
    let mut harness = Harness::new(1, 9);
    let (mut ticket, mut now) = (0, 0);
    harness.arrive(ticket, BROWSE, 1_000_000, now);
    for _ in 0..40 {
        let running = ticket;
        harness.arrive(ticket + 1, BROWSE, 1_000_000, now);
        let nested_calls = if overtaken { ticket + 2..ticket + 5 } else { ticket + 2..ticket + 2 };
        let mut last = running;
        for first in nested_calls.clone() {
            harness.handle(nested(first, 1_000_000, 1_000_000), now);
        }
        for first in nested_calls {
            now += 100;
            harness.end(last, now);
            last = first;
        }
        now += 100;
        harness.end(last, now);
        ticket += 1;
        if overtaken {
            now += 100;
            harness.end(ticket, now);
            ticket += 4;
            harness.arrive(ticket, BROWSE, 1_000_000, now);
        }
    }
    harness.arrive(ticket + 1, BROWSE, 1_000_000, now);
    refused(&harness.arrive_for(ticket + 2, BROWSE, now + 350, now + 10_000, now)).is_empty()
}

#[rstest]
#[case::as_expected(false, true)]
#[case::overtaken(true, false)]
fn waits_longer_than_expected_are_taken_into_account(
    #[case] overtaken: bool,
    #[case] admitted: bool,
) {
    assert_eq!(is_admitted_after_waits(overtaken), admitted);
}

/// One call of 100 ms runs and another one waits; a third would end in time if each took as long as
/// the mean.
#[rstest]
#[case::even(100, 100, true)]
#[case::uneven(10, 190, false)]
fn varying_service_times_leave_a_margin(
    #[case] short: u64,
    #[case] long: u64,
    #[case] admitted: bool,
) {
    let mut harness = Harness::new(1, 9);
    let mut now = 0;
    for ticket in 0..100 {
        harness.arrive(ticket, BROWSE, 1_000_000, now);
        now += if ticket % 2 == 0 { short } else { long };
        harness.end(ticket, now);
    }
    harness.arrive(100, BROWSE, 1_000_000, now);
    harness.arrive(101, BROWSE, 1_000_000, now);
    let refused = refused(&harness.arrive_for(102, BROWSE, now + 320, now + 10_000, now));
    assert_eq!(refused.is_empty(), admitted);
}
