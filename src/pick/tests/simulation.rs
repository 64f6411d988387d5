//! Entry nodes and upstreams in virtual time: calls arrive evenly, wait for a slot at their
//! upstream and run there; the node beside it may add a delay, or the host may be lost.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;

use super::{SHOP, UNREACHABLE, at, id, locality, rebuild, serving};
use crate::admit;
use crate::clock;
use crate::configs;
use crate::host;
use crate::pick;
use crate::retry;

/// Slots of each upstream.
const SLOTS: usize = 9;

/// Attempts of a call.
const MAX_ATTEMPTS: usize = 3;

/// Time after which a connection attempt to a lost host fails, the default of `proxy.connect_ms`.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time after which a call without a response fails.
const DEADLINE: time::Duration = time::Duration::from_secs(1);

/// Run time of long calls as a multiple of that of the others: 490 ms and 86 ms were observed.
pub(super) const LONG_FACTOR: f32 = 490.0 / 86.0;

/// The load and the faults of a simulation.
pub(super) struct Plan {
    /// Settings of the entry nodes.
    pub(super) settings: configs::call::Call,
    /// Upstreams; at most 200.
    pub(super) upstreams: u8,
    /// Entry nodes.
    pub(super) entries: usize,
    /// Availability zones, over which upstreams and entry nodes are spread in turn.
    pub(super) zones: &'static [&'static str],
    /// Share of the calls that arrive in each zone, as a weight.
    pub(super) demand: &'static [u32],
    /// Calls a second, all together.
    pub(super) rate: u64,
    /// Run times, evenly distributed.
    pub(super) run_ms: std::ops::Range<u64>,
    /// Run time at upstream number `n`, from 0, as a multiple of the mean.
    pub(super) speed: fn(u8) -> f32,
    /// Share of long calls, which run [`LONG_FACTOR`] times as long and start after the others.
    pub(super) long_share: f64,
    /// Whether calls that are not long are urgent.
    pub(super) urgent: bool,
    /// Time within which a call that is not long must be answered.
    pub(super) target: time::Duration,
    /// Delay that the node of upstream number `n`, from 0, adds to a call that arrives at a time.
    pub(super) delay: fn(u8, u64) -> time::Duration,
    /// Delay that the entry nodes add to each call.
    pub(super) entry_delay: time::Duration,
    /// Whether the host of upstream number `n`, from 0, is lost at a time.
    pub(super) lost: fn(u8, u64) -> bool,
    /// Period, in milliseconds, in which calls are counted for [`Results::direct`].
    pub(super) counted_ms: std::ops::Range<u64>,
    /// Virtual duration of the simulation.
    pub(super) seconds: u64,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Results {
    /// Calls that have ended and are not long.
    pub(super) calls: u32,
    /// Those that were answered within the target.
    pub(super) in_time: u32,
    /// Those that went to the first upstream.
    pub(super) first: u32,
    /// Attempts that went to another zone.
    pub(super) crossed: u32,
    /// Calls that arrived in the counted period.
    pub(super) counted: u32,
    /// Those of them that were sent to a live host at their first attempt.
    pub(super) direct: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    /// The call reaches its upstream.
    Reach(usize),
    /// The call has run.
    Ran(usize),
    /// The response reaches the entry node.
    Respond(usize),
    /// The attempt fails without a response.
    Fail(usize, retry::Outcome),
}

#[derive(Clone)]
struct Call {
    entry: usize,
    /// Hosts of the attempts that have failed.
    avoid: Vec<host::HostId>,
    choice: pick::Choice,
    long: bool,
    /// Run time as a multiple of the mean of its kind.
    relative_time: Option<f32>,
    upstream: usize,
    arrived: clock::Instant,
    /// Delays of the node and of the entry node.
    delay: time::Duration,
    load: Option<admit::Load>,
}

#[derive(Clone, Default)]
struct Upstream {
    running: usize,
    /// Mean service time.
    service_us: u32,
    waiting: collections::VecDeque<usize>,
}

struct Simulation {
    plan: Plan,
    rng: rngs::SmallRng,
    events: collections::BTreeMap<(clock::Instant, u64), Event>,
    sequence: u64,
    pickers: Vec<pick::Picker>,
    upstreams: Vec<Upstream>,
    calls: Vec<Call>,
    results: Results,
}

/// Runs a simulation; the same plan gives the same results.
pub(super) fn run(plan: Plan) -> Results {
    let zone = |number: usize| plan.zones[number % plan.zones.len()];
    let hosts = serving(&(0..usize::from(plan.upstreams)).map(zone).collect::<Vec<_>>());
    let pickers = (0..plan.entries).map(|entry| {
        let mut picker = pick::Picker::new(locality(zone(entry)), &plan.settings, entry as u64);
        rebuild(&mut picker, hosts.clone(), 0);
        picker
    });
    let pickers = pickers.collect();
    let mean_us = (plan.run_ms.start + plan.run_ms.end) as f32 * 500.0;
    let mixed_us = mean_us * (1.0 + (LONG_FACTOR - 1.0) * plan.long_share as f32);
    let upstreams = (0..plan.upstreams).map(|number| {
        let service_us = (mixed_us * (plan.speed)(number)) as u32;
        Upstream { service_us, ..Upstream::default() }
    });
    let upstreams = upstreams.collect();
    let mut simulation = Simulation {
        plan,
        rng: rngs::SmallRng::seed_from_u64(7),
        events: collections::BTreeMap::new(),
        sequence: 0,
        pickers,
        upstreams,
        calls: Vec::new(),
        results: Results::default(),
    };
    simulation.push(at(0), Event::Arrive);
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        simulation.handle(event, now);
    }
    simulation.results
}

impl Simulation {
    fn push(&mut self, at: clock::Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle(&mut self, event: Event, now: clock::Instant) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Reach(call) => {
                let upstream = &mut self.upstreams[self.calls[call].upstream];
                let waiting = &mut upstream.waiting;
                let ahead = |other: &usize| !self.calls[*other].long || self.calls[call].long;
                let position = waiting.iter().take_while(|other| ahead(other)).count();
                waiting.insert(position, call);
                self.start_waiting(call, now);
            }
            Event::Ran(call) => {
                let upstream = &mut self.upstreams[self.calls[call].upstream];
                upstream.running -= 1;
                let load = admit::Load {
                    running: upstream.running as u16,
                    waiting: upstream.waiting.len() as u16,
                    slots: SLOTS as u16,
                    service_us: upstream.service_us,
                };
                self.calls[call].load = Some(load);
                let Call { delay, arrived, upstream, .. } = self.calls[call];
                if self.is_lost(upstream, now) {
                    let timeout = retry::Outcome::Unknown(retry::Reason::Timeout);
                    self.push((arrived + DEADLINE).max(now), Event::Fail(call, timeout));
                } else {
                    self.push(now + delay, Event::Respond(call));
                }
                self.start_waiting(call, now);
            }
            Event::Respond(call) => self.respond(call, now),
            Event::Fail(call, outcome) => self.fail(call, outcome, now),
        }
    }

    fn is_lost(&self, upstream: usize, now: clock::Instant) -> bool {
        (self.plan.lost)(upstream as u8, now.as_micros() / 1000)
    }

    fn arrive(&mut self, now: clock::Instant) {
        let entry = self.draw_entry();
        let long = self.rng.random_bool(self.plan.long_share);
        self.attempt(entry, long, Vec::new(), now);
        let next = now + time::Duration::from_micros(1_000_000 / self.plan.rate);
        if next < at(self.plan.seconds * 1000) {
            self.push(next, Event::Arrive);
        }
    }

    /// An entry node, according to the demand of the zones.
    fn draw_entry(&mut self) -> usize {
        let (zones, demand) = (self.plan.zones.len(), self.plan.demand);
        let in_zone = self.rng.random_range(0..self.pickers.len() / zones);
        if zones == 1 {
            return in_zone;
        }
        let mut draw = self.rng.random_range(0..demand.iter().sum());
        let zone = demand.iter().position(|weight| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        in_zone * zones + zone.unwrap_or_default()
    }

    fn attempt(&mut self, entry: usize, long: bool, avoid: Vec<host::HostId>, now: clock::Instant) {
        let mean = time::Duration::from_millis((self.plan.run_ms.start + self.plan.run_ms.end) / 2);
        let deviation = mean / 4;
        let urgency = pick::Urgency { mean, deviation, left: self.plan.target };
        let urgency = Some(urgency).filter(|_| self.plan.urgent && !long);
        let cost = pick::TransferCost { idempotent: true, urgency, ..pick::TransferCost::FREE };
        let choice = self.pickers[entry].pick_with_cost(SHOP, cost, now, &avoid);
        let choice = choice.expect("a choice");
        self.pickers[entry].started(choice, now);
        let number = (0..self.plan.upstreams).find(|n| id(n + 1) == choice.host).expect("known");
        let millis = now.as_micros() / 1000;
        let delay = (self.plan.delay)(number, millis) + self.plan.entry_delay;
        let upstream = usize::from(number);
        let lost = self.is_lost(upstream, now);
        self.results.first += u32::from(number == 0);
        self.results.crossed += u32::from(!choice.same_zone);
        if avoid.is_empty() && self.plan.counted_ms.contains(&millis) {
            self.results.counted += 1;
            self.results.direct += u32::from(!lost);
        }
        self.calls.push(Call {
            entry,
            avoid,
            choice,
            long,
            relative_time: None,
            upstream,
            arrived: now,
            delay,
            load: None,
        });
        let call = self.calls.len() - 1;
        if lost {
            self.push(now + CONNECT_TIMEOUT, Event::Fail(call, UNREACHABLE));
        } else {
            self.push(now, Event::Reach(call));
        }
    }

    /// Starts a waiting call at the upstream of `call`, if a slot is free.
    fn start_waiting(&mut self, call: usize, now: clock::Instant) {
        let upstream = &mut self.upstreams[self.calls[call].upstream];
        if upstream.running >= SLOTS {
            return;
        }
        let Some(next) = upstream.waiting.pop_front() else { return };
        upstream.running += 1;
        let run = time::Duration::from_millis(self.rng.random_range(self.plan.run_ms.clone()));
        let next_call = &mut self.calls[next];
        let speed = (self.plan.speed)(next_call.upstream as u8);
        let mean = (self.plan.run_ms.start + self.plan.run_ms.end) as f32 / 2000.0;
        next_call.relative_time = Some(run.as_secs_f32() / mean * speed);
        let run = run.mul_f32(speed * if next_call.long { LONG_FACTOR } else { 1.0 });
        self.push(now + run, Event::Ran(next));
    }

    fn respond(&mut self, call: usize, now: clock::Instant) {
        let Call { entry, choice, long, relative_time, arrived, delay, load, .. } =
            self.calls[call];
        let latency = now.since(arrived);
        let outcome = retry::Outcome::Ran;
        let report = pick::Report {
            outcome,
            load,
            relative_time,
            notice: None,
            retry_after: None,
            latency,
            node_delay: Some(delay),
            responded_at: Some(now),
        };
        self.pickers[entry].ended(choice, &report, now);
        self.results.calls += u32::from(!long);
        self.results.in_time += u32::from(!long && latency <= self.plan.target);
    }

    fn fail(&mut self, call: usize, outcome: retry::Outcome, now: clock::Instant) {
        let Call { entry, choice, long, arrived, ref mut avoid, .. } = self.calls[call];
        let mut avoid = std::mem::take(avoid);
        let report = pick::Report {
            outcome,
            load: None,
            relative_time: None,
            notice: None,
            retry_after: None,
            latency: now.since(arrived),
            node_delay: None,
            responded_at: None,
        };
        self.pickers[entry].ended(choice, &report, now);
        avoid.push(choice.host);
        if avoid.len() < MAX_ATTEMPTS {
            self.attempt(entry, long, avoid, now);
        } else {
            self.results.calls += u32::from(!long);
        }
    }
}
