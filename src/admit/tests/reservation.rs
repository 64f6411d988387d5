//! Replays the load of long and urgent calls at one upstream, in virtual time.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

use super::{Harness, at, nested, refused, run};
use crate::admit;
use crate::retry;

const SLOTS: u16 = 9;
const QUEUE: u16 = 16;

/// How often the gate is told that time has passed, in milliseconds.
const TICK_MS: u64 = 100;

/// Weight of urgent calls and of the others.
const URGENT: u32 = 1000;
const PLAIN: u32 = 1;

const fn is_urgent(weight: u32) -> bool {
    weight >= URGENT
}

/// A source of calls of one kind.
#[derive(Clone, Copy, Debug)]
struct Source {
    kind: admit::Kind,
    per_second: f64,
    /// Mean run time; a call runs between half and one and a half times as long.
    run_ms: u64,
    weight: u32,
    nested: bool,
    target_ms: u64,
    deadline_ms: u64,
}

const URGENT_CALLS: Source = Source {
    kind: admit::Kind(0),
    per_second: 10.8,
    run_ms: 86,
    weight: URGENT,
    nested: false,
    target_ms: 250,
    deadline_ms: 1000,
};

const NESTED_CALLS: Source = Source {
    kind: admit::Kind(1),
    per_second: 20.0,
    run_ms: 31,
    weight: PLAIN,
    nested: true,
    target_ms: 250,
    deadline_ms: 1000,
};

const LONG_CALLS: Source = Source {
    kind: admit::Kind(2),
    per_second: 10.0,
    run_ms: 490,
    weight: PLAIN,
    nested: false,
    target_ms: 3000,
    deadline_ms: 3000,
};

impl Source {
    fn times(self, factor: f64) -> Self {
        Self { per_second: self.per_second * factor, ..self }
    }
}

/// A call of the replay.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    ticket: u64,
    at_ms: u64,
    took_ms: u64,
    source: usize,
}

/// What became of the calls of one source.
#[derive(Clone, Debug, Default)]
struct Counts {
    came: u32,
    /// The waits of the calls that started, in milliseconds.
    waits: Vec<u64>,
    in_time: u32,
    /// Those that were refused although the queue had capacity.
    beside_room: u32,
    /// The delays named to those that were refused, and to those that ran as if they had been shed.
    delays: Vec<time::Duration>,
}

impl Counts {
    /// Calls that started within `millis`.
    fn within(&self, millis: u64) -> u32 {
        u32::try_from(self.waits.iter().filter(|wait| **wait <= millis).count()).unwrap()
    }
}

struct Replay<'a> {
    harness: Harness,
    sources: &'a [Source],
    calls: collections::BTreeMap<u64, Arrival>,
    ends: collections::BTreeSet<(u64, u64)>,
    counts: Vec<Counts>,
}

impl<'a> Replay<'a> {
    fn new(reserves: bool, sources: &'a [Source]) -> Self {
        let mut harness = Harness::new(SLOTS, QUEUE);
        harness.gate.set_urgent(reserves.then_some(is_urgent));
        let counts = vec![Counts::default(); sources.len()];
        Self {
            harness,
            sources,
            calls: collections::BTreeMap::new(),
            ends: collections::BTreeSet::new(),
            counts,
        }
    }

    /// Handles the events until `now`.
    fn advance(&mut self, now: u64) {
        while let Some((end, ticket)) = self.ends.first().copied().filter(|(end, _)| *end <= now) {
            self.ends.remove(&(end, ticket));
            let call = self.calls[&ticket];
            let target_ms = self.sources[call.source].target_ms;
            self.counts[call.source].in_time += u32::from(end <= call.at_ms + target_ms);
            let actions = self.harness.end(ticket, end);
            self.apply(&actions, end);
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let source = self.sources[arrival.source];
        self.counts[arrival.source].came += 1;
        self.calls.insert(arrival.ticket, arrival);
        let call = admit::Call {
            ticket: admit::Ticket(arrival.ticket),
            kind: source.kind,
            weight: source.weight,
            nested: source.nested,
            returning: false,
            target: at(arrival.at_ms + source.target_ms),
            deadline: at(arrival.at_ms + source.deadline_ms),
        };
        let actions = self.harness.handle(admit::Event::Arrive(call), arrival.at_ms);
        self.apply(&actions, arrival.at_ms);
        if actions.contains(&run(arrival.ticket)) {
            let delay = self.harness.gate.retry_after(&call, at(arrival.at_ms));
            self.counts[arrival.source].delays.push(delay);
        }
    }

    fn apply(&mut self, actions: &[admit::Action], now: u64) {
        for action in actions {
            match action {
                admit::Action::Run { ticket } => {
                    let call = self.calls[&ticket.0];
                    self.counts[call.source].waits.push(now - call.at_ms);
                    self.ends.insert((now + call.took_ms, ticket.0));
                }
                admit::Action::Refuse { ticket, retry_after, .. } => {
                    let counts = &mut self.counts[self.calls[&ticket.0].source];
                    let full = self.harness.gate.load().waiting >= QUEUE;
                    counts.beside_room += u32::from(!full);
                    counts.delays.push(*retry_after);
                }
            }
        }
    }
}

/// The arrivals of `sources` in `seconds`.
fn arrivals(sources: &[Source], seconds: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut list = Vec::new();
    for (index, source) in sources.iter().enumerate() {
        let mut now = 0.0;
        while now < seconds as f64 * 1000.0 {
            now -= (1.0 - rng.random::<f64>()).ln() * 1000.0 / source.per_second;
            let took_ms = rng.random_range(source.run_ms / 2..=source.run_ms * 3 / 2);
            list.push(Arrival { ticket: 0, at_ms: now as u64, took_ms, source: index });
        }
    }
    list.sort_by_key(|arrival| arrival.at_ms);
    (0..).zip(&mut list).for_each(|(number, arrival)| arrival.ticket = number);
    list
}

/// Replays `arrivals` and counts what became of them.
fn replay(reserves: bool, sources: &[Source], arrivals: &[Arrival]) -> Vec<Counts> {
    let mut replay = Replay::new(reserves, sources);
    let mut tick = 0;
    for arrival in arrivals {
        while tick + TICK_MS <= arrival.at_ms {
            tick += TICK_MS;
            replay.advance(tick);
            let actions = replay.harness.handle(admit::Event::Tick, tick);
            replay.apply(&actions, tick);
        }
        replay.advance(arrival.at_ms);
        replay.arrive(*arrival);
    }
    replay.advance(u64::MAX);
    replay.counts
}

/// Length of a replay, in seconds.
const LENGTH: u64 = 120;

/// The usual load, seven tenths of what the slots can carry.
const BUSY: [Source; 3] = [URGENT_CALLS, NESTED_CALLS, LONG_CALLS];

fn peak() -> [Source; 3] {
    [URGENT_CALLS.times(1.9), NESTED_CALLS.times(1.9), LONG_CALLS.times(2.4)]
}

/// Sums over four seeds what became of the calls of `sources`: those that came, that started within
/// 30 ms, that were answered in time, and that were refused while the queue had capacity.
fn sums(reserves: bool, sources: &[Source]) -> Vec<[u32; 4]> {
    let mut sums = vec![[0; 4]; sources.len()];
    for seed in 1..=4 {
        let counts = replay(reserves, sources, &arrivals(sources, LENGTH, seed));
        for (sum, counts) in sums.iter_mut().zip(counts) {
            let one = [counts.came, counts.within(30), counts.in_time, counts.beside_room];
            sum.iter_mut().zip(one).for_each(|(sum, one)| *sum += one);
        }
    }
    sums
}

/// Guards against long calls that take all slots: an urgent call then waits for a long one to end.
/// The goal, 0.97 within 30 ms, is reached at the usual load but not at the peak, where the calls
/// that may take any slot need as many slots as are reserved at most.
#[test]
fn urgent_calls_start_beside_long_ones() {
    for (sources, before, after) in [(BUSY, 0.90, 0.97), (peak(), 0.35, 0.84)] {
        let ([off, ..], [on, ..]) = (&sums(false, &sources)[..], &sums(true, &sources)[..]) else {
            panic!("no sources");
        };
        println!("came, within 30 ms, in time, refused beside room: {off:?} without, {on:?} with");
        let share = |[came, within, ..]: &[u32; 4]| f64::from(*within) / f64::from(*came);
        assert!(share(off) <= before, "{} without reserved slots", share(off));
        assert!(share(on) >= after, "{} with reserved slots", share(on));
        assert!(f64::from(on[2]) >= 0.99 * f64::from(on[0]), "in time: {on:?}");
    }
}

/// Guards against refusals of long calls that only have to wait.
#[test]
fn long_calls_wait_while_the_queue_has_capacity() {
    for sources in [BUSY, peak()] {
        let [.., long] = sums(true, &sources)[..] else { panic!("no sources") };
        println!("came, within 30 ms, in time, refused beside room: {long:?}");
        assert!(long[3] * 1000 <= long[0], "{long:?}");
        assert!(long[2] * 100 >= long[0] * 40, "{long:?}");
    }
}

/// Runs of 100 ms on three slots, where nested calls overtake each waiting call for 400 ms, so that
/// waits are expected to be four times as long as the queue suggests. Two nested calls and an urgent
/// one run at the end. Returns the next free ticket and the time.
fn overtaken(harness: &mut Harness) -> (u64, u64) {
    let (mut ticket, mut now) = (0, 0);
    for _ in 0..100 {
        let (waiter, first) = (ticket + 12, ticket);
        (first..first + 3).for_each(|n| drop(harness.handle(nested(n, 1_000_000, 1_000_000), now)));
        harness.arrive(waiter, PLAIN, 1_000_000, now);
        for n in first + 3..first + 12 {
            harness.handle(nested(n, 1_000_000, 1_000_000), now);
        }
        for batch in 0..4 {
            now += 100;
            (0..3).for_each(|n| drop(harness.end(first + batch * 3 + n, now)));
        }
        now += 100;
        harness.end(waiter, now);
        ticket = waiter + 1;
    }
    harness.handle(nested(ticket, now + 10_000, now + 10_000), now);
    harness.handle(nested(ticket + 1, now + 10_000, now + 10_000), now);
    harness.arrive(ticket + 2, URGENT, now + 10_000, now);
    (ticket + 3, now)
}

/// A call behind one that waits is expected to start after 100 ms, and runs for 100 ms.
#[test]
fn a_call_waits_if_its_target_leaves_twice_its_expected_wait_and_run() {
    let mut harness = Harness::new(3, 16);
    harness.gate.set_urgent(Some(is_urgent));
    let (ticket, now) = overtaken(&mut harness);
    harness.arrive(ticket, PLAIN, now + 10_000, now);
    let late = harness.arrive_for(ticket + 1, PLAIN, now + 390, now + 10_000, now);
    assert_eq!(refused(&late), [(ticket + 1, retry::Reason::Full)]);
    assert_eq!(harness.arrive_for(ticket + 2, PLAIN, now + 410, now + 10_000, now), []);
    let too_late = harness.arrive_for(ticket + 3, PLAIN, now + 160, now + 160, now);
    assert_eq!(refused(&too_late), [(ticket + 3, retry::Reason::TooLate)]);
}

/// Without urgent calls, and where all calls are urgent, nothing is reserved.
#[rstest]
#[case::no_urgent_calls(PLAIN)]
#[case::only_urgent_calls(URGENT)]
fn nothing_differs_while_all_calls_have_the_same_urgency(#[case] weight: u32) {
    let sources = peak().map(|source| Source { weight, ..source });
    let list = arrivals(&sources, LENGTH, 1);
    let counts = |reserves| {
        let counts = replay(reserves, &sources, &list);
        counts.into_iter().map(|c| (c.came, c.waits, c.in_time, c.delays)).collect::<Vec<_>>()
    };
    assert_eq!(counts(true), counts(false));
}

/// Guards against slots that idle where there is room for all calls.
#[test]
fn a_load_below_half_of_the_slots_is_served_as_without_reserved_slots() {
    let sources = [URGENT_CALLS, NESTED_CALLS, LONG_CALLS.times(0.5)];
    let [off, on] = [sums(false, &sources), sums(true, &sources)];
    println!("came, within 30 ms, in time, refused beside room: {off:?} without, {on:?} with");
    for (off, on) in off.iter().zip(&on) {
        assert!(on[2] >= off[2], "in time");
        assert!(on[1] * 100 >= off[1] * 95, "within 30 ms");
        assert_eq!(on[3], 0, "refused");
    }
}

/// Guards against calls that are overtaken for ever by urgent and nested calls, which come all the
/// time and occupy more than a third of the slots.
#[test]
fn calls_that_tolerate_a_delay_do_not_starve() {
    let sources = [
        URGENT_CALLS.times(3.0),
        NESTED_CALLS,
        Source { target_ms: 60_000, deadline_ms: 60_000, ..LONG_CALLS.times(0.6) },
    ];
    for seed in 1..=4 {
        let list = arrivals(&sources, LENGTH, seed);
        let counts = replay(true, &sources, &list);
        let [.., long] = &counts[..] else { panic!("no sources") };
        assert_eq!(long.waits.len(), usize::try_from(long.came).unwrap(), "all start");
        let longest = long.waits.iter().max();
        println!("{longest:?} ms");
        assert!(longest.is_some_and(|wait| *wait < 3000), "{longest:?} ms");
    }
}

/// Guards against slots that stay reserved for calls that no longer come.
#[test]
fn a_reservation_ends_a_second_after_the_last_urgent_call() {
    let mut harness = Harness::new(3, 9);
    harness.gate.set_urgent(Some(is_urgent));
    harness.arrive(1, URGENT, 10_000, 0);
    harness.end(1, 500);
    assert_eq!(harness.arrive(2, PLAIN, 10_000, 500), [run(2)]);
    assert_eq!(harness.arrive(3, PLAIN, 10_000, 500), [run(3)]);
    assert_eq!(harness.arrive(4, PLAIN, 10_000, 500), [], "the last slot is reserved");
    assert_eq!(harness.handle(admit::Event::Tick, 999), []);
    assert_eq!(harness.handle(admit::Event::Tick, 1000), [run(4)]);
}

/// Guards against run times of a process that has ended.
#[test]
fn a_restart_of_the_upstream_ends_the_reservation_until_a_call_has_run() {
    let mut harness = Harness::new(3, 9);
    harness.gate.set_urgent(Some(is_urgent));
    harness.arrive(1, URGENT, 10_000, 0);
    harness.end(1, 500);
    harness.handle(admit::Event::Restart, 500);
    (2..5).for_each(|n| assert_eq!(harness.arrive(n, PLAIN, 10_000, 500), [run(n)]));
}

/// Guards against an urgent call that waits behind a call that may not take the free slot.
#[test]
fn an_urgent_call_takes_a_reserved_slot_before_heavier_calls() {
    const HEAVY: u32 = 999;
    let mut harness = Harness::new(3, 9);
    harness.gate.set_urgent(Some(|weight| weight == PLAIN));
    harness.arrive(1, PLAIN, 10_000, 0);
    harness.end(1, 900);
    harness.arrive(2, HEAVY, 10_000, 900);
    harness.arrive(3, HEAVY, 10_000, 900);
    assert_eq!(harness.arrive(4, HEAVY, 10_000, 900), []);
    assert_eq!(harness.arrive(5, PLAIN, 10_000, 900), [run(5)]);
    assert_eq!(harness.arrive(6, PLAIN, 10_000, 900), []);
    assert_eq!(harness.end(2, 910), [run(6)]);
    assert_eq!(harness.end(5, 920), [], "one urgent call is left, and a slot is kept for another");
    assert_eq!(harness.end(6, 930), [run(4)]);
}

/// Guards against the cost of the measurements at a gate that reserves nothing.
#[test]
fn nothing_is_measured_unless_it_is_switched_on() {
    let mut harness = Harness::new(3, 9);
    harness.handle(nested(1, 10_000, 10_000), 0);
    harness.end(1, 500);
    assert_eq!(harness.gate.reserved(at(500)).per_second.to_bits(), 0.0_f64.to_bits());
}
