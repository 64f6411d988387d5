//! Checks random steps of a gate against a simple model.

use std::collections;
use std::time;

use proptest::prelude::*;

use super::Harness;
use crate::admit;

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
    step_with_slots(4)
}

/// A step of a gate with less than `slots` slots.
fn step_with_slots(slots: u16) -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1_u32..4, 1_u64..400).prop_map(|(weight, timeout)| Step::Arrive {
            weight,
            timeout,
        }),
        5 => any::<prop::sample::Index>().prop_map(Step::End),
        1 => any::<prop::sample::Index>().prop_map(Step::Leave),
        1 => any::<prop::sample::Index>().prop_map(Step::Shed),
        1 => (0..slots, 0_u16..5).prop_map(|(slots, queue)| Step::Limits { slots, queue }),
        4 => (1_u64..60).prop_map(Step::Pass),
    ]
}

/// Weight of urgent calls: others are heavier, and others lighter.
const URGENT: u32 = 2;

/// Time after the last arrival of an urgent call at which no slot is reserved any more.
const MAX_SILENCE_MS: u64 = 1000;

/// At most one slot in this many is reserved.
const SLOTS_PER_RESERVED: usize = 3;

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
    /// Whether slots are reserved for urgent calls.
    reserves: bool,
    /// When an urgent call last arrived.
    last_urgent: u64,
}

impl Model {
    fn new(reserves: bool) -> Self {
        let mut harness = Harness::new(2, 3);
        harness.gate.set_urgent(reserves.then_some(|weight| weight == URGENT));
        Self {
            harness,
            now: 0,
            limit: 2,
            next: 0,
            running: Vec::new(),
            waiting: collections::BTreeMap::new(),
            drained: false,
            reserves,
            last_urgent: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { weight, timeout } => {
                self.next += 1;
                self.waiting.insert(self.next, weight);
                self.last_urgent = if weight == URGENT { self.now } else { self.last_urgent };
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
        assert!(self.drained || !self.waits_beside_a_free_slot(slots));
    }

    /// Whether a call waits although a slot is free that it may certainly use.
    fn waits_beside_a_free_slot(&self, slots: usize) -> bool {
        let recent = self.now < self.last_urgent + MAX_SILENCE_MS;
        let reserved = if self.reserves && recent { slots / SLOTS_PER_RESERVED } else { 0 };
        let kept = |weight| if self.is_urgent(weight) { 0 } else { reserved };
        let free = slots.saturating_sub(self.running.len());
        self.waiting.values().any(|weight| free > kept(*weight))
    }

    fn is_urgent(&self, weight: u32) -> bool {
        self.reserves && weight == URGENT
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
        // Reserved slots are taken by urgent calls in the order in which these wait.
        let urgent = self.is_urgent(weight);
        let ahead = |(t, w): (&u64, &u32)| {
            (*w > weight && (!urgent || self.is_urgent(*w))) || (*w == weight && *t < ticket)
        };
        assert!(!self.waiting.iter().any(ahead), "out of order");
        self.running.push(ticket);
        assert!(self.running.len() <= self.limit, "more than the slots run");
    }

    /// Checks that a call of the lowest weight, which comes last and has time, does not starve: it
    /// runs once enough calls have ended before it.
    fn check_last_runs(&mut self) {
        self.step(Step::Limits { slots: 6, queue: 100 });
        self.step(Step::Arrive { weight: 1, timeout: 1_000_000 });
        let last = self.next;
        while self.waiting.contains_key(&last) {
            let ticket = self.running.pop().expect("it waits for running calls");
            self.now += 10;
            let actions = self.harness.end(ticket, self.now);
            self.check(&actions);
        }
        assert!(self.running.contains(&last), "refused");
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
        let mut model = Model::new(false);
        for step in steps {
            model.step(step);
        }
        model.finish();
    }

    /// With reserved slots, too, slots are never exceeded, each arrival gets one answer, and no call
    /// waits while a slot is free that it may use, nor for ever.
    #[test]
    fn reserved_slots_keep_the_invariants_of_a_gate(
        steps in prop::collection::vec(step_with_slots(10), 1..160),
    ) {
        let mut model = Model::new(true);
        for step in steps {
            model.step(step);
        }
        model.check_last_runs();
        model.finish();
    }
}
