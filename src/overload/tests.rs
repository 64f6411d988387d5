//! Tests of the overload protection.

use std::collections;
use std::time;

use rstest::rstest;

use crate::clock;
use crate::mesh;
use crate::overload;

/// Threshold of the standing delay in the tests.
const THRESHOLD: time::Duration = time::Duration::from_millis(20);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// The standing delay at `now` after measurements of the given delays, in milliseconds, each made
/// at its time.
fn standing(measured: &[(u64, u64)], now: u64) -> time::Duration {
    let mut delay = overload::Delay::default();
    for &(when, late) in measured {
        delay.record(millis(late), at(when));
    }
    delay.delay(at(now))
}

/// Guards against shedding calls because of a burst or a pause, and against missing a queue that
/// stands.
#[rstest]
#[case::nothing_measured(&[], 0)]
#[case::one_measurement(&[(300, 280)], 0)]
#[case::pause_of_the_process(&[(20, 0), (5040, 5000)], 0)]
#[case::pause_then_on_time(&[(20, 0), (5040, 5000), (5060, 0)], 0)]
#[case::burst(&[(20, 0), (100, 60), (120, 0), (190, 50)], 0)]
#[case::standing(&[(20, 0), (100, 60), (190, 70), (270, 60)], 60)]
#[case::standing_and_long(&[(20, 0), (400, 360), (820, 400)], 360)]
#[case::gone(&[(400, 360), (820, 400), (840, 0)], 0)]
fn the_delay_is_the_minimum_of_a_window(#[case] measured: &[(u64, u64)], #[case] expected: u64) {
    let now = measured.last().map_or(0, |(when, _)| *when);
    assert_eq!(standing(measured, now), millis(expected));
}

/// Guards against the use of measurements made before the calls in flight arrived.
#[rstest]
fn nothing_stands_after_the_measurements_are_cleared() {
    let mut delay = overload::Delay::default();
    delay.record(millis(90), at(100));
    delay.record(millis(90), at(200));
    assert_eq!(delay.delay(at(200)), millis(90));
    delay.clear();
    assert_eq!(delay.delay(at(200)), time::Duration::ZERO);
}

/// Guards against growth of memory when measurements come faster than planned.
#[rstest]
fn the_number_of_measurements_is_bounded() {
    let mut delay = overload::Delay::default();
    delay.record(time::Duration::ZERO, at(0));
    for _ in 0..1000 {
        delay.record(millis(5), at(1));
    }
    assert_eq!(delay.delay(at(1)), millis(5), "the first measurement has been dropped");
}

/// The priority of a call of a kind with the given priority, made by an organisation of priority 1.
fn priority(kind: u8) -> overload::Priority {
    overload::Priority::new(&kind_of(kind, 1), Some(1))
}

fn kind_of(priority: u8, weight: u32) -> mesh::Kind {
    mesh::Kind {
        name: "kind".into(),
        service: mesh::ServiceKey(0),
        weight,
        idempotent: true,
        body: 0,
        priority,
        timeout: None,
        latency: None,
        attempts: None,
    }
}

/// Task wake-ups of a call in a node.
const STAGES: u32 = 6;

/// Interval of the measuring timer.
const MEASURE: time::Duration = time::Duration::from_millis(20);

/// Time in which a call has to be answered.
const TARGET: time::Duration = time::Duration::from_millis(250);

/// Time after which a caller has given up.
const DEADLINE: time::Duration = time::Duration::from_secs(1);

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Calls that a [`Node`] can serve in a second.
const CAPACITY: u32 = 1000;

/// Number of tasks that a runtime polls between two looks at its sockets and timers.
const POLLS: usize = 61;

/// A task of a [`Node`] that is ready to run.
enum Task {
    /// The measuring timer, with the time when it was due.
    Timer(clock::Instant),
    /// Part of the work of a call: the first one reads it.
    Call { arrived: clock::Instant, stage: u32, of: (u8, u16) },
}

/// Calls of one kind and organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: u32,
    /// Answered within [`TARGET`].
    served: u32,
}

/// The thread of a node in virtual time: it runs one task after the other, in the order in which
/// they became ready.
struct Node {
    controller: Option<overload::Controller>,
    delay: overload::Delay,
    /// Work to read and refuse a request, as a part of that of a call.
    refusal: f64,
    tasks: collections::VecDeque<Task>,
    now: clock::Instant,
    /// When the measuring timer is due; `None` while its task waits.
    due: Option<clock::Instant>,
    counts: collections::BTreeMap<(u8, u16), Count>,
    changes: Vec<overload::Change>,
}

impl Node {
    fn new(protected: bool, refusal: f64) -> Self {
        Self {
            controller: protected.then(|| overload::Controller::new(THRESHOLD)),
            delay: overload::Delay::default(),
            refusal,
            tasks: collections::VecDeque::new(),
            now: at(0),
            due: Some(at(0) + MEASURE),
            counts: collections::BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Lets `calls` arrive, spread over `length`; `of` gives the kind and organisation of each.
    fn play(&mut self, calls: u32, length: time::Duration, of: impl Fn(u32) -> (u8, u16)) {
        let (start, step) = (self.now, length / calls);
        let mut next = 0;
        while self.now < start + length {
            while next < calls && start + step * next <= self.now {
                let arrived = start + step * next;
                self.tasks.push_back(Task::Call { arrived, stage: 0, of: of(next) });
                next += 1;
            }
            if let Some(due) = self.due.take_if(|due| *due <= self.now) {
                self.tasks.push_back(Task::Timer(due));
            }
            let before = self.now;
            for _ in 0..POLLS {
                let Some(task) = self.tasks.pop_front() else { break };
                self.run(task);
            }
            if self.now == before {
                self.now = self.now + step.min(time::Duration::from_millis(1));
            }
        }
    }

    fn run(&mut self, task: Task) {
        match task {
            Task::Timer(due) => self.measure(due),
            Task::Call { arrived, stage: 0, of } => {
                self.work(self.refusal);
                if self.admits(of) {
                    self.tasks.push_back(Task::Call { arrived, stage: 1, of });
                }
            }
            Task::Call { arrived, stage, of } => {
                self.work((1.0 - self.refusal) / f64::from(STAGES));
                let took = self.now.since(arrived);
                if stage < STAGES && took <= DEADLINE {
                    self.tasks.push_back(Task::Call { arrived, stage: stage + 1, of });
                } else if stage == STAGES && took <= TARGET {
                    self.counts.entry(of).or_default().served += 1;
                }
            }
        }
    }

    /// Spends the time for a part of the work of a call.
    fn work(&mut self, part: f64) {
        self.now = self.now + time::Duration::from_secs_f64(part / f64::from(CAPACITY));
    }

    fn measure(&mut self, due: clock::Instant) {
        self.delay.record(self.now.since(due), self.now);
        self.due = Some(self.now + MEASURE);
        let standing = self.delay.delay(self.now);
        let changed = self.controller.as_mut().and_then(|c| c.observe(standing, self.now));
        self.changes.extend(changed);
    }

    fn admits(&mut self, of: (u8, u16)) -> bool {
        self.counts.entry(of).or_default().arrived += 1;
        let organisation = Some(mesh::OrganisationKey(of.1));
        let controller = self.controller.as_mut().filter(|c| c.is_watching());
        let verdict = controller.map(|c| c.admit(priority(of.0), organisation, self.now));
        verdict != Some(overload::Verdict::Refuse)
    }

    /// The share of the arrived calls of each kind and organisation that were served.
    fn shares(&self) -> collections::BTreeMap<(u8, u16), f64> {
        let share = |count: &Count| f64::from(count.served) / f64::from(count.arrived);
        self.counts.iter().map(|(of, count)| (*of, share(count))).collect()
    }
}

/// Calls served in time in ten seconds with `times` as many calls as the node can serve, the first
/// three of which are not counted.
fn served(protected: bool, refusal: f64, times: u32) -> u32 {
    let mut node = Node::new(protected, refusal);
    node.play(CAPACITY * 8 / 10, SECOND, |_| (1, 0));
    node.play(CAPACITY * times * 3, 3 * SECOND, |_| (1, 0));
    node.counts.clear();
    node.play(CAPACITY * times * 10, 10 * SECOND, |_| (1, 0));
    node.counts.values().map(|count| count.served).sum()
}

/// Guards against the loss of calls in a node that has more of them than its CPU can serve: without
/// the controller nearly all calls are late.
#[rstest]
#[case::twice(2)]
#[case::four_times(4)]
#[case::eight_times(8)]
fn a_node_with_too_many_calls_serves_as_many_as_it_can(#[case] times: u32) {
    let refusal = 0.02;
    // The work of the refusals can't be used for calls.
    let refusals = f64::from(CAPACITY * times * 10) * refusal;
    let possible = (f64::from(CAPACITY * 10) - refusals) / (1.0 - refusal);
    let (with, without) = (served(true, refusal, times), served(false, refusal, times));
    assert!(f64::from(with) >= 0.95 * possible, "{with} of {possible:.0} calls served in time");
    assert!(without < 1000, "{without} calls served in time without the controller");
}

/// Guards against shedding at a load that the node can serve.
#[rstest]
fn a_node_with_enough_capacity_refuses_nothing() {
    let mut node = Node::new(true, 0.1);
    node.play(CAPACITY * 9, 10 * SECOND, |_| (1, 0));
    assert_eq!(node.changes, []);
    assert!(node.shares().values().all(|share| *share > 0.99), "{:?}", node.shares());
}

/// Guards against refusals that go on after the overload, and against a missing log line.
#[rstest]
fn shedding_ends_soon_after_the_overload() {
    let mut node = Node::new(true, 0.02);
    node.play(CAPACITY * 8 * 6, 6 * SECOND, |_| (1, 0));
    assert_eq!(node.changes, [overload::Change::Began]);
    node.play(CAPACITY / 2 * 4, 4 * SECOND, |_| (1, 0));
    assert_eq!(node.changes, [overload::Change::Began, overload::Change::Ended]);
    node.counts.clear();
    node.play(CAPACITY / 2, SECOND, |_| (1, 0));
    assert!(node.shares().values().all(|share| *share > 0.99), "{:?}", node.shares());
}

/// Guards against urgent calls that are refused while less urgent ones are admitted.
#[rstest]
fn the_least_urgent_calls_are_refused_first() {
    let mut node = Node::new(true, 0.02);
    let kind = |number: u32| (u8::try_from(number % 4).unwrap(), 0);
    node.play(CAPACITY * 2 * 3, 3 * SECOND, kind);
    node.counts.clear();
    node.play(CAPACITY * 2 * 10, 10 * SECOND, kind);
    let shares = node.shares();
    assert!(shares[&(0, 0)] > 0.97, "{shares:?}");
    assert!(shares[&(1, 0)] > 0.8, "{shares:?}");
    assert!(shares[&(3, 0)] < 0.05, "{shares:?}");
}

/// Guards against one organisation that takes the capacity of the others of its priority.
#[rstest]
fn an_organisation_that_exceeds_its_share_is_refused_first() {
    let mut node = Node::new(true, 0.02);
    // One organisation makes three calls of four; six others share the rest.
    let of = |number: u32| {
        let small = 1 + number / 4 % 6;
        (1, if number.is_multiple_of(4) { u16::try_from(small).unwrap() } else { 0 })
    };
    node.play(CAPACITY * 2 * 3, 3 * SECOND, of);
    node.counts.clear();
    node.play(CAPACITY * 2 * 10, 10 * SECOND, of);
    let shares = node.shares();
    assert!((1..=6).all(|small| shares[&(1, small)] > 0.9), "{shares:?}");
    assert!(shares[&(1, 0)] < 0.45, "{shares:?}");
}
