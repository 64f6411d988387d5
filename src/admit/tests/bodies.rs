//! Replays calls with bodies that share a link, in virtual time.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use super::{BROWSE, Harness, PLAIN, at, refused};
use crate::admit;
use crate::retry;

/// Time of a body of 60 KB on a link of 15 Mbit/s, in milliseconds.
const BODY_MS: u64 = 32;

/// Time that a call runs, and until it should be answered and until its caller gives up, in
/// milliseconds.
const RUN_MS: u64 = 86;
const TARGET_MS: u64 = 250;
const DEADLINE_MS: u64 = 1000;

fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

fn call(ticket: u64, now: u64) -> admit::Call {
    admit::Call {
        ticket: admit::Ticket(ticket),
        kind: PLAIN,
        weight: BROWSE,
        nested: false,
        returning: false,
        target: at(now + TARGET_MS),
        deadline: at(now + DEADLINE_MS),
    }
}

/// A gate that knows the run time, without calls.
fn measured() -> Harness {
    let mut harness = Harness::new(9, 16);
    harness.arrive(u64::MAX, BROWSE, 10_000, 0);
    harness.end(u64::MAX, RUN_MS);
    harness
}

/// Bodies received and calls answered in time, of those that come in 20 s at 1.3 times the rate that
/// the link can carry. With `room`, the time of the bodies is known when a call comes.
fn replay(room: bool) -> [u32; 3] {
    const SPAN_MS: u64 = 20_000;
    const PER_SECOND: f64 = 1300.0 / BODY_MS as f64;
    let mut rng = rngs::SmallRng::seed_from_u64(3);
    let mut harness = measured();
    // Bodies received and calls ended, with the calls and the times when they came.
    let mut events = collections::BTreeSet::new();
    let (mut next, mut ticket, mut link_free) = (1000.0, 0, 0);
    let [mut came, mut bodies, mut timely] = [0; 3];
    while next < SPAN_MS as f64 {
        let now = next as u64;
        next -= (1.0 - rng.random::<f64>()).ln() * 1000.0 / PER_SECOND;
        while let Some((at, end, ticket, since)) = events.pop_first() {
            if at > now {
                events.insert((at, end, ticket, since));
                break;
            }
            let actions = if end {
                timely += u32::from(at <= since + TARGET_MS);
                harness.end(ticket, at)
            } else {
                harness.handle(admit::Event::Arrive(call(ticket, since)), at)
            };
            for action in actions {
                if let admit::Action::Run { ticket } = action {
                    events.insert((at + RUN_MS, true, ticket.0, since));
                }
            }
        }
        (came, ticket) = (came + 1, ticket + 1);
        let pending = link_free.max(now) - now;
        let transfer = admit::Transfer { before: millis(pending), own: millis(BODY_MS) };
        let transfer = if room { transfer } else { admit::Transfer::default() };
        let action = harness.gate.preview(&call(ticket, now), &transfer, at(now));
        // Without the switch, a body is read until its call's deadline.
        let is_read = !matches!(action, Some(admit::Action::Refuse { .. }));
        if is_read && pending < DEADLINE_MS {
            bodies += 1;
            link_free = link_free.max(now) + BODY_MS;
            events.insert((link_free, false, ticket, now));
        }
    }
    [came, bodies, timely]
}

/// Guards against bodies on the link of calls that will be late: those behind them are late, too.
#[test]
fn bodies_of_calls_that_would_be_late_are_not_read() {
    let [off, on] = [replay(false), replay(true)];
    println!("calls, bodies read, answered in time: {off:?} without, {on:?} with");
    assert!(off[2] * 4 < off[0], "{off:?}");
    assert!(on[2] * 100 >= on[0] * 70, "{on:?}");
    assert!(on[2] * 100 >= on[1] * 98, "{on:?}");
}

fn preview(
    harness: &mut Harness,
    call: &admit::Call,
    before: u64,
    own: u64,
) -> Vec<(u64, retry::Reason)> {
    let transfer = admit::Transfer { before: millis(before), own: millis(own) };
    let action = harness.gate.preview(call, &transfer, at(RUN_MS));
    refused(&action.into_iter().collect::<Vec<_>>())
}

/// A call runs for 86 ms, and one that gets a slot 43 ms before its deadline is still admitted.
#[test]
fn a_call_is_refused_if_its_body_is_received_too_late() {
    let mut harness = measured();
    let call = call(1, RUN_MS);
    assert_eq!(preview(&mut harness, &call, 100, 63), []);
    assert_eq!(preview(&mut harness, &call, 100, 64), [(1, retry::Reason::Full)]);
    assert_eq!(preview(&mut harness, &call, 100, 856), [(1, retry::Reason::Full)]);
    assert_eq!(preview(&mut harness, &call, 100, 857), [(1, retry::Reason::TooLate)]);
    assert_eq!(preview(&mut harness, &call, 2000, 64), [(1, retry::Reason::TooLate)]);
}

/// Another node would need as long for the body, and nothing waits behind it here.
#[test]
fn a_body_that_makes_its_call_late_by_itself_is_read_on_an_idle_link() {
    let mut harness = measured();
    let call = call(1, RUN_MS);
    assert_eq!(preview(&mut harness, &call, 0, 956), []);
    assert_eq!(preview(&mut harness, &call, 0, 957), [(1, retry::Reason::TooLate)]);
}

/// Without it, the run of its caller would be lost.
#[test]
fn a_nested_call_is_refused_only_if_its_body_misses_the_deadline() {
    let mut harness = measured();
    let call = admit::Call { nested: true, ..call(1, RUN_MS) };
    assert_eq!(preview(&mut harness, &call, 956, 0), []);
    assert_eq!(preview(&mut harness, &call, 957, 0), [(1, retry::Reason::TooLate)]);
}

/// A retry comes back after its target: refusing it because of the link would be wrong.
#[test]
fn a_call_that_is_late_already_is_not_refused_for_the_link() {
    let mut harness = measured();
    let call = admit::Call { target: at(RUN_MS), ..call(1, RUN_MS) };
    assert_eq!(preview(&mut harness, &call, 100, 64), []);
}

/// A caller that returns before the link is free would be refused again.
#[test]
fn a_call_refused_for_the_link_may_be_retried_when_the_pending_bodies_are_received() {
    let mut harness = measured();
    let transfer = admit::Transfer { before: millis(400), own: millis(BODY_MS) };
    let action = harness.gate.preview(&call(1, RUN_MS), &transfer, at(RUN_MS));
    let Some(admit::Action::Refuse { retry_after, .. }) = action else {
        panic!("not refused: {action:?}");
    };
    assert!(retry_after >= millis(400), "{retry_after:?}");
}

/// Guards against delays beyond the caller's deadline, where the pending bodies take longer.
#[test]
fn the_delay_of_a_call_refused_for_the_link_ends_at_its_deadline() {
    let mut harness = measured();
    let transfer = admit::Transfer { before: millis(60_000), own: millis(BODY_MS) };
    let action = harness.gate.preview(&call(1, RUN_MS), &transfer, at(RUN_MS));
    let Some(admit::Action::Refuse { retry_after, .. }) = action else {
        panic!("not refused: {action:?}");
    };
    assert_eq!(retry_after, millis(DEADLINE_MS));
}

/// Guards against an overflow where the link is so slow that a body takes for ever.
#[test]
fn a_call_whose_body_takes_for_ever_is_too_late() {
    let mut harness = measured();
    let transfer = admit::Transfer { before: time::Duration::MAX, own: time::Duration::MAX };
    let action = harness.gate.preview(&call(1, RUN_MS), &transfer, at(RUN_MS));
    let too_late = [(1, retry::Reason::TooLate)];
    assert_eq!(refused(&action.into_iter().collect::<Vec<_>>()), too_late);
}
