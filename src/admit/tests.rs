//! Tests of admission.

use std::collections;
use std::time;

use rstest::rstest;

use crate::admit;
use crate::clock;
use crate::retry;

mod bodies;
mod invariants;
mod overload;
mod reservation;

const BROWSE: u32 = 1;
const ORDER: u32 = 10;

/// Kind of the calls in tests where the kind makes no difference.
const PLAIN: admit::Kind = admit::Kind(0);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// A gate and the actions of its last event.
struct Harness {
    gate: admit::Gate,
    actions: Vec<admit::Action>,
}

impl Harness {
    fn new(slots: u16, queue: u16) -> Self {
        let limits = admit::Limits { slots, connections: 100, queue };
        Self { gate: admit::Gate::new(limits), actions: Vec::new() }
    }

    fn handle(&mut self, event: admit::Event, millis: u64) -> Vec<admit::Action> {
        self.actions.clear();
        self.gate.handle(event, at(millis), &mut self.actions);
        self.actions.clone()
    }

    fn arrive(&mut self, ticket: u64, weight: u32, deadline: u64, now: u64) -> Vec<admit::Action> {
        self.arrive_for(ticket, weight, deadline, deadline, now)
    }

    /// Lets a call arrive whose target is before its deadline.
    fn arrive_for(
        &mut self,
        ticket: u64,
        weight: u32,
        target: u64,
        deadline: u64,
        now: u64,
    ) -> Vec<admit::Action> {
        self.arrive_of(PLAIN, ticket, weight, target, deadline, now)
    }

    /// Lets a call of `kind` arrive.
    fn arrive_of(
        &mut self,
        kind: admit::Kind,
        ticket: u64,
        weight: u32,
        target: u64,
        deadline: u64,
        now: u64,
    ) -> Vec<admit::Action> {
        let (ticket, target, deadline) = (admit::Ticket(ticket), at(target), at(deadline));
        let call =
            admit::Call { ticket, kind, weight, nested: false, returning: false, target, deadline };
        self.handle(admit::Event::Arrive(call), now)
    }

    fn end(&mut self, ticket: u64, now: u64) -> Vec<admit::Action> {
        self.handle(admit::Event::Ended { ticket: admit::Ticket(ticket) }, now)
    }
}

fn run(ticket: u64) -> admit::Action {
    admit::Action::Run { ticket: admit::Ticket(ticket) }
}

fn refused(actions: &[admit::Action]) -> Vec<(u64, retry::Reason)> {
    let refusal = |action: &admit::Action| match action {
        admit::Action::Refuse { ticket, reason, .. } => Some((ticket.0, *reason)),
        admit::Action::Run { .. } => None,
    };
    actions.iter().filter_map(refusal).collect()
}

#[test]
fn the_heaviest_waiter_gets_the_free_slot() {
    let mut harness = Harness::new(1, 4);
    assert_eq!(harness.arrive(1, BROWSE, 1000, 0), [run(1)]);
    assert_eq!(harness.arrive(2, BROWSE, 1000, 0), []);
    assert_eq!(harness.arrive(3, ORDER, 1000, 0), []);
    assert_eq!(harness.arrive(4, ORDER, 1000, 0), []);
    assert_eq!(harness.end(1, 10), [run(3)]);
    assert_eq!(harness.end(3, 20), [run(4)]);
    assert_eq!(harness.end(4, 30), [run(2)]);
}

#[test]
fn a_heavy_arrival_displaces_the_lightest_waiter_which_is_refused_at_once() {
    let mut harness = Harness::new(1, 2);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, BROWSE, 1000, 0);
    harness.arrive(3, BROWSE, 1000, 0);
    assert_eq!(refused(&harness.arrive(4, BROWSE, 1000, 0)), [(4, retry::Reason::Full)]);
    assert_eq!(refused(&harness.arrive(5, ORDER, 1000, 0)), [(3, retry::Reason::Full)]);
    assert_eq!(
        harness.gate.load(),
        admit::Load { running: 1, waiting: 2, slots: 1, service_us: 0 }
    );
}

#[test]
fn a_call_that_can_not_meet_its_deadline_is_refused_at_once() {
    let mut harness = Harness::new(1, 9);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.end(1, 100);
    assert_eq!(harness.arrive(2, BROWSE, 1000, 100), [run(2)]);
    let too_late = [(3, retry::Reason::TooLate)];
    assert_eq!(refused(&harness.arrive(3, BROWSE, 249, 100)), too_late);
    assert_eq!(harness.arrive(4, BROWSE, 251, 100), []);
}

#[test]
fn a_lighter_waiter_that_a_heavy_arrival_makes_too_late_is_refused_at_once() {
    let mut harness = Harness::new(1, 9);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.end(1, 100);
    harness.arrive(2, BROWSE, 1000, 100);
    assert_eq!(harness.arrive(3, BROWSE, 260, 100), []);
    let too_late = [(3, retry::Reason::TooLate)];
    assert_eq!(refused(&harness.arrive(4, ORDER, 1000, 100)), too_late);
}

#[test]
fn calls_that_hang_count_as_service_time() {
    let mut harness = Harness::new(1, 9);
    harness.arrive(1, BROWSE, 10_000, 0);
    let too_late = [(2, retry::Reason::TooLate)];
    assert_eq!(refused(&harness.arrive(2, BROWSE, 1400, 500)), []);
    assert_eq!(refused(&harness.handle(admit::Event::Tick, 1000)), too_late);
}

#[test]
fn the_next_tick_is_before_the_deadline_of_a_waiter() {
    let mut harness = Harness::new(1, 9);
    harness.arrive(1, BROWSE, 10_000, 0);
    harness.end(1, 100);
    harness.arrive(2, BROWSE, 10_000, 100);
    harness.arrive(3, BROWSE, 400, 100);
    assert_eq!(harness.gate.next_tick(), Some(at(350)));
    assert_eq!(refused(&harness.handle(admit::Event::Tick, 350)), [(3, retry::Reason::TooLate)]);
    assert_eq!(harness.gate.next_tick(), None);
}

#[rstest]
#[case::running(1)]
#[case::waiting(2)]
fn a_caller_that_leaves_frees_its_slot_or_position(#[case] leaves: u64) {
    let mut harness = Harness::new(1, 1);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, BROWSE, 1000, 0);
    harness.handle(admit::Event::Cancelled { ticket: admit::Ticket(leaves) }, 1);
    assert_eq!(refused(&harness.arrive(3, BROWSE, 1000, 2)), []);
}

#[test]
fn a_drain_refuses_waiters_and_lets_running_calls_end() {
    let mut harness = Harness::new(1, 4);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, ORDER, 1000, 0);
    let draining = [(2, retry::Reason::Draining)];
    assert_eq!(refused(&harness.handle(admit::Event::Drain, 1)), draining);
    assert!(!harness.gate.is_drained());
    assert_eq!(harness.end(1, 2), []);
    assert!(harness.gate.is_drained());
}

#[test]
fn waiters_are_refused_at_once_when_the_upstream_leaves() {
    let mut harness = Harness::new(1, 4);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, ORDER, 1000, 0);
    let limits = admit::Limits { slots: 0, connections: 0, queue: 4 };
    let refusal = [(2, retry::Reason::NoUpstream)];
    assert_eq!(refused(&harness.handle(admit::Event::Limits(limits), 1)), refusal);
}

/// Nine slots and no queue: a call comes each millisecond, half of the calls are shed whatever
/// runs, and the others take 20 ms.
#[test]
fn an_upstream_that_sheds_at_random_keeps_its_limit() {
    let mut harness = Harness::new(9, 0);
    let mut running = collections::VecDeque::new();
    let mut served = 0;
    for now in 0..2000 {
        while let Some(ticket) = running.front().copied().filter(|ticket| ticket + 20 <= now) {
            running.pop_front();
            harness.end(ticket, now);
            served += 1;
        }
        if harness.arrive(now, BROWSE, 1_000_000, now) != [run(now)] {
            continue;
        }
        if now * 37 % 101 % 2 == 0 {
            harness.handle(admit::Event::Shed { ticket: admit::Ticket(now) }, now);
        } else {
            running.push_back(now);
        }
    }
    let slots = harness.gate.load().slots;
    assert!(slots >= 7, "{slots} of 9 slots are used");
    assert!(served > 700, "{served} calls served");
}

/// An upstream that ran nine calls at once runs no more than three and sheds the others; the gate
/// learns the new limit within some rounds.
#[test]
fn the_limit_follows_an_upstream_that_loses_slots() {
    let mut harness = Harness::new(9, 0);
    let mut running = collections::VecDeque::new();
    let mut sheds = 0;
    for now in 0..2000 {
        while let Some(ticket) = running.front().copied().filter(|ticket| ticket + 20 <= now) {
            running.pop_front();
            harness.end(ticket, now);
        }
        if harness.arrive(now, BROWSE, 1_000_000, now) != [run(now)] {
            continue;
        }
        if now > 1000 && running.len() >= 3 {
            sheds += 1;
            harness.handle(admit::Event::Shed { ticket: admit::Ticket(now) }, now);
        } else {
            running.push_back(now);
        }
    }
    assert_eq!(harness.gate.load().slots, 3);
    assert!(sheds < 120, "{sheds} calls were shed");
}

#[test]
fn an_upstream_that_sheds_below_its_slots_gets_fewer_calls_for_a_while() {
    let mut harness = Harness::new(4, 0);
    for ticket in 1..=4 {
        assert_eq!(harness.arrive(ticket, BROWSE, 9000, 0), [run(ticket)]);
    }
    harness.handle(admit::Event::Shed { ticket: admit::Ticket(4) }, 1);
    assert_eq!(harness.gate.load().slots, 3);
    assert_eq!(refused(&harness.arrive(5, BROWSE, 9000, 2)), [(5, retry::Reason::Full)]);
    let mut ticket = 10;
    while harness.gate.load().slots < 4 {
        assert!(ticket < 100, "the limit never rises again");
        harness.end(if ticket == 10 { 3 } else { ticket - 1 }, ticket);
        assert_eq!(harness.arrive(ticket, BROWSE, 9000, ticket), [run(ticket)]);
        ticket += 1;
    }
    assert!(ticket > 13, "the limit rises at once");
}

#[test]
fn measurements_do_not_outlive_a_restart_of_the_upstream() {
    let mut harness = Harness::new(4, 9);
    (1..=4).for_each(|ticket| drop(harness.arrive(ticket, BROWSE, 9000, 0)));
    harness.handle(admit::Event::Shed { ticket: admit::Ticket(4) }, 1);
    harness.end(3, 100);
    assert_eq!((harness.gate.load().slots, harness.gate.load().service_us), (3, 100_000));
    harness.handle(admit::Event::Restart, 101);
    assert_eq!((harness.gate.load().slots, harness.gate.load().service_us), (4, 0));
}

/// The arrival of a nested call, for which a running call waits.
fn nested(ticket: u64, target: u64, deadline: u64) -> admit::Event {
    let (ticket, target, deadline) = (admit::Ticket(ticket), at(target), at(deadline));
    let call = admit::Call {
        ticket,
        kind: PLAIN,
        weight: BROWSE,
        nested: true,
        returning: false,
        target,
        deadline,
    };
    admit::Event::Arrive(call)
}

#[test]
fn nested_calls_run_before_new_work() {
    let mut harness = Harness::new(1, 2);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, ORDER, 1000, 0);
    harness.arrive(3, ORDER, 1000, 0);
    assert_eq!(refused(&harness.handle(nested(4, 1000, 1000), 1)), [(3, retry::Reason::Full)]);
    assert_eq!(harness.end(1, 10), [run(4)]);
    assert_eq!(harness.end(4, 20), [run(2)]);
}

/// The call would miss its own target, but without it the run of its caller would be lost.
#[test]
fn nested_calls_are_refused_only_for_their_deadline() {
    let mut harness = Harness::new(1, 9);
    harness.arrive(1, BROWSE, 10_000, 0);
    harness.end(1, 100);
    harness.arrive(2, BROWSE, 10_000, 100);
    harness.arrive(3, BROWSE, 10_000, 100);
    assert_eq!(refused(&harness.arrive_for(4, BROWSE, 150, 500, 100)), [(4, retry::Reason::Full)]);
    assert_eq!(refused(&harness.handle(nested(5, 150, 500), 100)), []);
    let too_late = [(6, retry::Reason::TooLate)];
    assert_eq!(refused(&harness.handle(nested(6, 150, 200), 100)), too_late);
}

#[test]
fn connections_limit_running_calls_as_slots_do() {
    let limits = admit::Limits { slots: 9, connections: 2, queue: 0 };
    let mut harness = Harness { gate: admit::Gate::new(limits), actions: Vec::new() };
    harness.arrive(1, BROWSE, 1000, 0);
    harness.arrive(2, BROWSE, 1000, 0);
    assert_eq!(refused(&harness.arrive(3, BROWSE, 1000, 0)), [(3, retry::Reason::Full)]);
}

#[test]
fn a_load_is_parsed_from_its_text() {
    let load = admit::Load { running: 7, waiting: 3, slots: 9, service_us: 1500 };
    assert_eq!(load.to_string(), "7/3/9/1500");
    assert_eq!("7/3/9/1500".parse(), Ok(load));
    assert_eq!("7/3/9".parse::<admit::Load>(), Err(admit::Malformed));
    assert_eq!("7/3/9/1/2".parse::<admit::Load>(), Err(admit::Malformed));
}

#[test]
fn a_call_that_is_shed_beside_free_slots_may_retry_soon() {
    let mut harness = Harness::new(9, 16);
    harness.arrive(0, BROWSE, 10_000, 0);
    harness.end(0, 90);
    (1..9).for_each(|ticket| drop(harness.arrive(ticket, BROWSE, 10_000, 90)));
    let shed = admit::Call {
        ticket: admit::Ticket(9),
        kind: PLAIN,
        weight: BROWSE,
        nested: false,
        returning: false,
        target: at(10_000),
        deadline: at(10_000),
    };
    let pause = harness.gate.retry_after(&shed, at(90));
    assert!(pause >= time::Duration::from_millis(10), "{pause:?}");
    assert!(pause <= time::Duration::from_millis(20), "{pause:?}");
}

#[test]
fn a_wait_before_the_gate_is_expressed_as_waiting_calls() {
    let load = admit::Load { running: 7, waiting: 3, slots: 9, service_us: 100_000 };
    assert_eq!(load.and_wait(0.0), load);
    assert_eq!(load.and_wait(200_000.0).waiting, 3 + 18);
    assert_eq!(load.and_wait(f32::MAX).waiting, u16::MAX);
    let fresh = admit::Load { service_us: 0, ..load };
    assert_eq!(
        fresh.and_wait(200_000.0),
        fresh,
        "without a service time the wait cannot be converted"
    );
}

/// Nine slots are taken by uploads of 250 ms; short calls of 40 ms have a target of 150 ms.
#[test]
fn a_short_call_is_judged_by_its_own_kind() {
    const LONG: admit::Kind = admit::Kind(1);
    const SHORT: admit::Kind = admit::Kind(2);
    let mut harness = Harness::new(9, 16);
    harness.arrive_of(SHORT, 0, BROWSE, 1000, 1000, 0);
    harness.end(0, 40);
    (1..10).for_each(|n| drop(harness.arrive_of(LONG, n, BROWSE, 2000, 2000, 40)));
    (1..10).for_each(|n| drop(harness.end(n, 290)));
    (10..19).for_each(|n| drop(harness.arrive_of(LONG, n, BROWSE, 2000, 2000, 290)));
    let admitted = (19..22).map(|n| harness.arrive_of(SHORT, n, BROWSE, 440, 790, 290));
    assert_eq!(admitted.flatten().collect::<Vec<_>>(), []);
    assert_eq!(
        harness.arrive_of(SHORT, 22, BROWSE, 440, 790, 290),
        [],
        "it waits for 45 ms and runs for 40 ms"
    );
    let late = harness.arrive_of(LONG, 23, BROWSE, 440, 790, 290);
    assert_eq!(refused(&late), [(23, retry::Reason::Full)], "it runs for 250 ms");
}

/// Uploads of 200 ms with a target of 800 ms wait when a call of 40 ms with a closer target comes.
/// It runs first, unless an upload has to start as well.
#[test]
fn a_call_that_has_to_start_sooner_runs_before_others_of_its_weight() {
    const LONG: admit::Kind = admit::Kind(1);
    const SHORT: admit::Kind = admit::Kind(2);
    let mut harness = Harness::new(1, 16);
    harness.arrive_of(SHORT, 0, BROWSE, 1000, 1000, 0);
    harness.end(0, 40);
    harness.arrive_of(LONG, 1, BROWSE, 2000, 2000, 40);
    harness.end(1, 240);
    harness.arrive_of(LONG, 2, BROWSE, 1040, 5000, 240);
    harness.arrive_of(LONG, 3, BROWSE, 1040, 5000, 240);
    harness.arrive_of(LONG, 4, BROWSE, 1041, 5000, 241);
    harness.arrive_of(SHORT, 5, BROWSE, 590, 590, 250);
    assert_eq!(harness.end(2, 440), [run(5)]);
    assert_eq!(harness.end(5, 480), [run(3)]);
    harness.arrive_of(SHORT, 6, BROWSE, 910, 1200, 760);
    assert_eq!(
        harness.end(3, 780),
        [run(4)],
        "it has to start by 841 ms, the short call by 870 ms"
    );
}

#[test]
fn a_call_that_would_be_late_may_wait_if_no_other_does() {
    let mut harness = Harness::new(3, 9);
    harness.arrive(1, BROWSE, 1000, 0);
    harness.end(1, 100);
    (2..5).for_each(|ticket| drop(harness.arrive(ticket, BROWSE, 1000, 100)));
    assert_eq!(harness.arrive_for(5, BROWSE, 110, 1000, 100), []);
    let refusal = [(6, retry::Reason::Full)];
    assert_eq!(refused(&harness.arrive_for(6, BROWSE, 110, 1000, 100)), refusal);
}
