//! How many harmless requests are refused beside a bad one, and how many upstreams it ends, in a model of
//! some nodes that hear of each other's ends a moment later.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use super::{BAD, at, host};
use crate::clock;
use crate::quarantine;
use crate::quarantine::Fingerprint;

/// Time of one step.
const STEP: time::Duration = time::Duration::from_millis(5);
/// How long a call runs, in steps.
const RUN: u64 = 12;
/// How long an upstream is gone, in steps.
const GONE: u64 = 600;
/// How long it takes until news have reached every host, in steps.
const NEWS: u64 = 40;
/// Slots of an upstream.
const SLOTS: usize = 9;
/// Time after the last proof by which a bad request may not reach an upstream more than [`REPEATS`] times,
/// in steps.
const KNOWN: u64 = 600;
const REPEATS: u64 = 3;
/// Length of a model, in steps.
const LENGTH: u64 = 12_000;

/// What the model is like.
#[derive(Clone, Copy, Debug)]
struct Plan {
    upstreams: usize,
    /// Harmless calls a step.
    calls: f64,
    /// Share of them that ask for one of a few paths.
    popular: f64,
    /// Tries of the bad request a step.
    bad: f64,
    /// Ends of upstreams without a cause a step.
    ends: f64,
    /// How often a call whose upstream ended is tried again.
    tries: u8,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    print: Fingerprint,
    until: u64,
    tries: u8,
}

/// An upstream with its node.
#[derive(Debug, Default)]
struct Place {
    running: Vec<Call>,
    gone: u64,
    ends: u64,
    proven: quarantine::RecentAnswers,
}

/// What all hosts know, and when they learn more.
#[derive(Debug, Default)]
struct News {
    table: quarantine::Table,
    known: quarantine::Snapshot,
    ends: collections::VecDeque<(u64, quarantine::Crash)>,
    answers: collections::VecDeque<(u64, Fingerprint, clock::Instant)>,
}

impl News {
    fn learn(&mut self, step: u64) {
        let ends = self.ends.partition_point(|(due, _)| *due <= step);
        let answers = self.answers.partition_point(|(due, ..)| *due <= step);
        for (_, end) in self.ends.drain(..ends) {
            self.table.record_crash(end, now(step));
        }
        for (_, print, at) in self.answers.drain(..answers) {
            self.table.record_answer(print, at);
        }
        if ends + answers > 0 {
            self.known = self.table.snapshot();
        }
    }
}

/// What came of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    harmless: u64,
    /// Harmless requests that were ever refused, and tries of them.
    convicted: u64,
    refused: u64,
    bad_ends: u64,
    /// Those of them later than [`KNOWN`] after the third.
    late_ends: u64,
    other_ends: u64,
}

fn now(step: u64) -> clock::Instant {
    at(1000 + step * STEP.as_millis() as u64)
}

struct Model {
    plan: Plan,
    rng: rngs::Xoshiro256PlusPlus,
    places: Vec<Place>,
    news: News,
    next: u64,
    /// When the third upstream ended under the bad request.
    proven: Option<u64>,
    sum: Sum,
    convicted: collections::HashSet<Fingerprint>,
}

impl Model {
    fn new(plan: Plan, seed: u64) -> Self {
        let places = (0..plan.upstreams).map(|_| Place::default()).collect();
        let rng = rngs::Xoshiro256PlusPlus::seed_from_u64(seed);
        let (news, sum) = Default::default();
        Self {
            plan,
            rng,
            places,
            news,
            next: 1000,
            proven: None,
            sum,
            convicted: Default::default(),
        }
    }

    fn run(mut self) -> Sum {
        for step in 0..LENGTH {
            self.news.learn(step);
            self.finish(step);
            if self.rng.random_bool(self.plan.ends) {
                let index = self.rng.random_range(0..self.places.len());
                if self.places[index].gone <= step {
                    self.sum.other_ends += 1;
                    self.end(index, step);
                }
            }
            self.arrive(step);
        }
        self.sum.convicted = self.convicted.len() as u64;
        self.sum
    }

    fn arrive(&mut self, step: u64) {
        let whole = self.plan.calls.trunc();
        let more = u64::from(self.rng.random_bool(self.plan.calls - whole));
        for _ in 0..whole as u64 + more {
            let popular = self.rng.random_bool(self.plan.popular);
            self.next += 1;
            let print = if popular { 100 + self.rng.random_range(0..5) } else { self.next };
            self.sum.harmless += 1;
            self.send(Call { print: Fingerprint(print), until: step + RUN, tries: 0 }, step);
        }
        if self.rng.random_bool(self.plan.bad) {
            self.send(Call { print: BAD, until: step + RUN, tries: 0 }, step);
        }
    }

    /// Sends a call to an upstream with room, if there is one that may run it.
    fn send(&mut self, call: Call, step: u64) {
        if self.news.known.remaining(call.print, 0.0, now(step)).is_some() {
            if call.print != BAD {
                self.sum.refused += 1;
                self.convicted.insert(call.print);
            }
            return;
        }
        let known = &self.news.known;
        let suspect = |print: Fingerprint| known.crashes(print) >= quarantine::SUSPICION_THRESHOLD;
        let free = (0..self.places.len()).filter(|index| {
            let place = &self.places[*index];
            let apart = !suspect(call.print)
                || !place.running.iter().any(|c| c.print != call.print && suspect(c.print));
            place.gone <= step && place.running.len() < SLOTS && apart
        });
        let free: Vec<usize> = free.collect();
        if !free.is_empty() {
            let index = free[self.rng.random_range(0..free.len())];
            self.places[index].running.push(call);
        }
    }

    /// Ends the calls that are over.
    fn finish(&mut self, step: u64) {
        for index in 0..self.places.len() {
            let place = &mut self.places[index];
            if place.running.iter().any(|call| call.print == BAD && call.until <= step) {
                self.sum.bad_ends += 1;
                self.sum.late_ends += u64::from(self.proven.is_some_and(|at| step > at + KNOWN));
                if self.sum.bad_ends == u64::from(quarantine::THRESHOLD) {
                    self.proven = Some(step);
                }
                self.end(index, step);
                continue;
            }
            let done = place.running.extract_if(.., |call| call.until <= step);
            for call in done {
                place.proven.record(call.print, now(step));
                if self.news.known.is_suspected(call.print) {
                    self.news.answers.push_back((step + NEWS, call.print, now(step)));
                }
            }
        }
    }

    /// Ends an upstream; what ran there is tried again.
    fn end(&mut self, index: usize, step: u64) {
        let place = &mut self.places[index];
        let calls = std::mem::take(&mut place.running);
        place.gone = step + GONE;
        place.ends += 1;
        let number = place.ends;
        let id = quarantine::CrashId { host: host(index as u16), number };
        let blamed =
            calls.iter().map(|c| c.print).filter(|p| !place.proven.contains(*p, now(step)));
        let end = quarantine::Crash { id, at: now(step), fingerprints: blamed.collect() };
        self.news.ends.push_back((step + NEWS, end));
        let tries = self.plan.tries;
        for call in calls.into_iter().filter(|call| call.tries < tries) {
            self.send(Call { until: step + RUN, tries: call.tries + 1, ..call }, step);
        }
    }
}

/// A bad request comes some times a second for a minute, among harmless ones of which some ask for the
/// same few paths, and each call whose upstream ends is tried again at once.
#[rstest]
#[case::eight_upstreams(8, 2.0, 0.02, 0.0, 10)]
#[case::four_upstreams(4, 1.0, 0.02, 0.0, 20)]
#[case::two_upstreams(2, 0.5, 0.02, 0.0, 40)]
#[case::many_upstreams(72, 18.0, 0.05, 0.0, 1)]
#[case::upstreams_end_besides(8, 2.0, 0.02, 0.005, 10)]
#[case::nothing_bad_among_ordinary_ends(8, 2.0, 0.0, 0.02, 10)]
fn harmless_requests_beside_it_pass(
    #[case] upstreams: usize,
    #[case] calls: f64,
    #[case] bad: f64,
    #[case] ends: f64,
    #[case] seeds: u64,
) {
    let plan = Plan { upstreams, calls, popular: 0.2, bad, ends, tries: 2 };
    let mut all = Sum::default();
    for seed in 0..seeds {
        let sum = Model::new(plan, seed).run();
        all.harmless += sum.harmless;
        all.convicted += sum.convicted;
        all.refused += sum.refused;
        all.bad_ends += sum.bad_ends;
        all.other_ends += sum.other_ends;
        assert!(sum.late_ends <= REPEATS, "seed {seed}: {sum:?}");
    }
    println!("{plan:?}, {seeds} seeds: {all:?}");
    assert_eq!(all.convicted, 0, "{all:?}");
    assert!(all.harmless > 100_000);
}
