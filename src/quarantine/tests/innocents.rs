//! How many harmless requests are refused beside a bad one, and how many upstreams the bad one
//! crashes, in a model of some nodes that learn of each other's crashes with a delay.

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

/// Duration of one step.
const STEP: time::Duration = time::Duration::from_millis(5);
/// How long a call runs, in steps.
const RUN_STEPS: u64 = 12;
/// How long an upstream takes to restart, in steps.
const RESTART_STEPS: u64 = 600;
/// How long it takes until an update has reached every host, in steps.
const UPDATE_STEPS: u64 = 40;
/// Slots of an upstream.
const SLOTS: usize = 9;
/// Steps after the crash that proves a request bad; later it reaches an upstream at most
/// [`MAX_LATE_CRASHES`] times.
const QUARANTINE_STEPS: u64 = 600;
const MAX_LATE_CRASHES: u64 = 3;
/// Length of a run of the model, in steps.
const MODEL_STEPS: u64 = 12_000;

/// Parameters of the model.
#[derive(Clone, Copy, Debug)]
struct Plan {
    upstreams: usize,
    /// Harmless calls a step.
    calls: f64,
    /// Share of them that ask for one of a few paths.
    popular: f64,
    /// Runs of the bad request a step.
    bad: f64,
    /// Crashes a step that no request causes.
    crashes: f64,
    /// How often a call whose upstream crashed is retried.
    retries: u8,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    fingerprint: Fingerprint,
    until: u64,
    retries: u8,
}

/// An upstream with its node.
#[derive(Debug, Default)]
struct Node {
    running: Vec<Call>,
    /// Step at which the upstream runs again.
    back: u64,
    crashes: u64,
    answers: quarantine::RecentAnswers,
}

/// What all hosts know, and the updates that have not reached them yet.
#[derive(Debug, Default)]
struct Updates {
    table: quarantine::Table,
    snapshot: quarantine::Snapshot,
    crashes: collections::VecDeque<(u64, quarantine::Crash)>,
    answers: collections::VecDeque<(u64, Fingerprint, clock::Instant)>,
}

impl Updates {
    fn learn(&mut self, step: u64) {
        let crashes = self.crashes.partition_point(|(due, _)| *due <= step);
        let answers = self.answers.partition_point(|(due, ..)| *due <= step);
        for (_, crash) in self.crashes.drain(..crashes) {
            self.table.record_crash(crash, now(step));
        }
        for (_, fingerprint, at) in self.answers.drain(..answers) {
            self.table.record_answer(fingerprint, at);
        }
        if crashes + answers > 0 {
            self.snapshot = self.table.snapshot();
        }
    }
}

/// Results of a run of the model.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    harmless: u64,
    /// Harmless requests that were ever refused.
    quarantined: u64,
    /// Calls of harmless requests that were refused.
    refused: u64,
    bad_crashes: u64,
    /// Those of them later than [`QUARANTINE_STEPS`] after the third.
    late_crashes: u64,
    other_crashes: u64,
}

fn now(step: u64) -> clock::Instant {
    at(1000 + step * STEP.as_millis() as u64)
}

struct Model {
    plan: Plan,
    rng: rngs::Xoshiro256PlusPlus,
    nodes: Vec<Node>,
    updates: Updates,
    next: u64,
    /// When the third upstream crashed under the bad request.
    proven: Option<u64>,
    sum: Sum,
    quarantined: collections::HashSet<Fingerprint>,
}

impl Model {
    fn new(plan: Plan, seed: u64) -> Self {
        let nodes = (0..plan.upstreams).map(|_| Node::default()).collect();
        let rng = rngs::Xoshiro256PlusPlus::seed_from_u64(seed);
        let (updates, sum) = Default::default();
        Self {
            plan,
            rng,
            nodes,
            updates,
            next: 1000,
            proven: None,
            sum,
            quarantined: Default::default(),
        }
    }

    fn run(mut self) -> Sum {
        for step in 0..MODEL_STEPS {
            self.updates.learn(step);
            self.finish(step);
            if self.rng.random_bool(self.plan.crashes) {
                let index = self.rng.random_range(0..self.nodes.len());
                if self.nodes[index].back <= step {
                    self.sum.other_crashes += 1;
                    self.crash(index, step);
                }
            }
            self.arrive(step);
        }
        self.sum.quarantined = self.quarantined.len() as u64;
        self.sum
    }

    fn arrive(&mut self, step: u64) {
        let calls = self.plan.calls.trunc();
        let more = u64::from(self.rng.random_bool(self.plan.calls - calls));
        for _ in 0..calls as u64 + more {
            let popular = self.rng.random_bool(self.plan.popular);
            self.next += 1;
            let fingerprint = if popular { 100 + self.rng.random_range(0..5) } else { self.next };
            self.sum.harmless += 1;
            self.send(
                Call { fingerprint: Fingerprint(fingerprint), until: step + RUN_STEPS, retries: 0 },
                step,
            );
        }
        if self.rng.random_bool(self.plan.bad) {
            self.send(Call { fingerprint: BAD, until: step + RUN_STEPS, retries: 0 }, step);
        }
    }

    /// Sends a call to an upstream with a free slot, if there is one that may run it.
    fn send(&mut self, call: Call, step: u64) {
        if self.updates.snapshot.remaining(call.fingerprint, 0.0, now(step)).is_some() {
            if call.fingerprint != BAD {
                self.sum.refused += 1;
                self.quarantined.insert(call.fingerprint);
            }
            return;
        }
        let snapshot = &self.updates.snapshot;
        let suspected = |fingerprint: Fingerprint| {
            snapshot.crashes(fingerprint) >= quarantine::SUSPICION_THRESHOLD
        };
        let free = (0..self.nodes.len()).filter(|index| {
            let node = &self.nodes[*index];
            let apart = !suspected(call.fingerprint)
                || !node
                    .running
                    .iter()
                    .any(|c| c.fingerprint != call.fingerprint && suspected(c.fingerprint));
            node.back <= step && node.running.len() < SLOTS && apart
        });
        let free: Vec<usize> = free.collect();
        if !free.is_empty() {
            let index = free[self.rng.random_range(0..free.len())];
            self.nodes[index].running.push(call);
        }
    }

    /// Ends the calls that have run long enough; the bad request crashes its upstream.
    fn finish(&mut self, step: u64) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.running.iter().any(|call| call.fingerprint == BAD && call.until <= step) {
                self.sum.bad_crashes += 1;
                self.sum.late_crashes +=
                    u64::from(self.proven.is_some_and(|at| step > at + QUARANTINE_STEPS));
                if self.sum.bad_crashes == u64::from(quarantine::THRESHOLD) {
                    self.proven = Some(step);
                }
                self.crash(index, step);
                continue;
            }
            let done = node.running.extract_if(.., |call| call.until <= step);
            for call in done {
                node.answers.record(call.fingerprint, now(step));
                if self.updates.snapshot.is_suspected(call.fingerprint) {
                    self.updates.answers.push_back((
                        step + UPDATE_STEPS,
                        call.fingerprint,
                        now(step),
                    ));
                }
            }
        }
    }

    /// Crashes an upstream; the calls that ran there are retried.
    fn crash(&mut self, index: usize, step: u64) {
        let node = &mut self.nodes[index];
        let calls = std::mem::take(&mut node.running);
        node.back = step + RESTART_STEPS;
        node.crashes += 1;
        let number = node.crashes;
        let id = quarantine::CrashId { host: host(index as u16), number };
        let reported =
            calls.iter().map(|c| c.fingerprint).filter(|f| !node.answers.contains(*f, now(step)));
        let crash = quarantine::Crash { id, at: now(step), fingerprints: reported.collect() };
        self.updates.crashes.push_back((step + UPDATE_STEPS, crash));
        let retries = self.plan.retries;
        for call in calls.into_iter().filter(|call| call.retries < retries) {
            self.send(Call { until: step + RUN_STEPS, retries: call.retries + 1, ..call }, step);
        }
    }
}

/// A bad request is sent some times a second for a minute, together with harmless ones, some of
/// which ask for the same few paths. Each call whose upstream crashes is retried at once.
#[rstest]
#[case::eight_upstreams(8, 2.0, 0.02, 0.0, 10)]
#[case::four_upstreams(4, 1.0, 0.02, 0.0, 20)]
#[case::two_upstreams(2, 0.5, 0.02, 0.0, 40)]
#[case::many_upstreams(72, 18.0, 0.05, 0.0, 1)]
#[case::upstreams_crash_without_cause_too(8, 2.0, 0.02, 0.005, 10)]
#[case::no_bad_request_among_crashes_without_cause(8, 2.0, 0.0, 0.02, 10)]
fn harmless_requests_beside_a_bad_one_are_not_refused(
    #[case] upstreams: usize,
    #[case] calls: f64,
    #[case] bad: f64,
    #[case] crashes: f64,
    #[case] seeds: u64,
) {
    let plan = Plan { upstreams, calls, popular: 0.2, bad, crashes, retries: 2 };
    let mut all = Sum::default();
    for seed in 0..seeds {
        let sum = Model::new(plan, seed).run();
        all.harmless += sum.harmless;
        all.quarantined += sum.quarantined;
        all.refused += sum.refused;
        all.bad_crashes += sum.bad_crashes;
        all.other_crashes += sum.other_crashes;
        assert!(sum.late_crashes <= MAX_LATE_CRASHES, "seed {seed}: {sum:?}");
    }
    println!("{plan:?}, {seeds} seeds: {all:?}");
    assert_eq!(all.quarantined, 0, "{all:?}");
    assert!(all.harmless > 100_000);
}
