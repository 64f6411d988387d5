//! Tests of admission.

use std::collections;
use std::time;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

use crate::admit;
use crate::clock;
use crate::retry;

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

    /// The same with a target before the deadline.
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

    /// The same for a call of `kind`.
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
    let pause = harness.gate.retry_after(admit::Ticket(9), at(90));
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

/// A step of the model; an index selects one of the calls.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { weight: u32, timeout: u64 },
    End(prop::sample::Index),
    Shed(prop::sample::Index),
    Leave(prop::sample::Index),
    Limits { slots: u16, queue: u16 },
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1_u32..4, 1_u64..400).prop_map(|(weight, timeout)| Step::Arrive {
            weight,
            timeout,
        }),
        5 => any::<prop::sample::Index>().prop_map(Step::End),
        1 => any::<prop::sample::Index>().prop_map(Step::Leave),
        1 => any::<prop::sample::Index>().prop_map(Step::Shed),
        1 => (0_u16..4, 0_u16..5).prop_map(|(slots, queue)| Step::Limits { slots, queue }),
        4 => (1_u64..60).prop_map(Step::Pass),
    ]
}

/// Checks every action of a gate against a simple model of it.
struct Model {
    harness: Harness,
    now: u64,
    limit: usize,
    next: u64,
    running: Vec<u64>,
    /// Weight of each waiter; tickets rise with arrival.
    waiting: collections::BTreeMap<u64, u32>,
    drained: bool,
}

impl Model {
    fn new() -> Self {
        Self {
            harness: Harness::new(2, 3),
            now: 0,
            limit: 2,
            next: 0,
            running: Vec::new(),
            waiting: collections::BTreeMap::new(),
            drained: false,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { weight, timeout } => {
                self.next += 1;
                self.waiting.insert(self.next, weight);
                let actions = self.harness.arrive(self.next, weight, self.now + timeout, self.now);
                self.check(&actions);
            }
            Step::End(index) if !self.running.is_empty() => {
                let ticket = self.running.swap_remove(index.index(self.running.len()));
                let actions = self.harness.end(ticket, self.now);
                self.check(&actions);
            }
            Step::Shed(index) if !self.running.is_empty() => {
                let ticket = self.running.swap_remove(index.index(self.running.len()));
                self.handle(admit::Event::Shed { ticket: admit::Ticket(ticket) });
            }
            Step::Leave(index) if self.next > 0 => self.leave(index.index(self.next as usize)),
            Step::Limits { slots, queue } => {
                self.limit = usize::from(slots);
                let limits = admit::Limits { slots, connections: 100, queue };
                self.handle(admit::Event::Limits(limits));
            }
            Step::Pass(millis) => {
                self.now += millis;
                self.handle(admit::Event::Tick);
            }
            Step::End(_) | Step::Leave(_) | Step::Shed(_) => {}
        }
        let slots = usize::from(self.harness.gate.load().slots);
        assert!(slots <= self.limit);
        assert!(self.drained || self.waiting.is_empty() || self.running.len() >= slots);
    }

    fn leave(&mut self, ticket: usize) {
        let ticket = ticket as u64 + 1;
        self.running.retain(|t| *t != ticket);
        self.waiting.remove(&ticket);
        self.handle(admit::Event::Cancelled { ticket: admit::Ticket(ticket) });
    }

    fn handle(&mut self, event: admit::Event) {
        let actions = self.harness.handle(event, self.now);
        self.check(&actions);
    }

    fn check(&mut self, actions: &[admit::Action]) {
        for action in actions {
            match action {
                admit::Action::Run { ticket } => self.check_run(ticket.0),
                admit::Action::Refuse { ticket, retry_after, .. } => {
                    assert!(self.waiting.remove(&ticket.0).is_some(), "answered twice");
                    assert!(*retry_after > time::Duration::ZERO);
                }
            }
        }
    }

    fn check_run(&mut self, ticket: u64) {
        assert!(!self.drained, "admitted after a drain");
        let weight = self.waiting.remove(&ticket).expect("answered twice");
        let ahead = |(t, w): (&u64, &u32)| *w > weight || (*w == weight && *t < ticket);
        assert!(!self.waiting.iter().any(ahead), "out of order");
        self.running.push(ticket);
        assert!(self.running.len() <= self.limit, "more than the slots run");
    }

    fn finish(&mut self) {
        self.handle(admit::Event::Drain);
        self.drained = true;
        self.step(Step::Arrive { weight: 9, timeout: 100 });
        assert!(self.waiting.is_empty(), "a call has no answer");
        for ticket in std::mem::take(&mut self.running) {
            assert!(!self.harness.gate.is_drained());
            let actions = self.harness.end(ticket, self.now);
            self.check(&actions);
        }
        assert!(self.harness.gate.is_drained());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Slots are never exceeded, each arrival gets one answer, waiters run in order of weight and
    /// arrival, and nothing runs after a drain.
    #[test]
    fn a_gate_keeps_its_invariants(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
        }
        model.finish();
    }
}

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
