//! Snapshots preserve the state in a log whose records expire, in virtual time.

use std::time::Duration;

use crate::history::{self, NEWEST_FORMAT, TestRules};
use bytes::Bytes;
use dandelionspool::clock;
use dandelionspool::fold::{self, Verdict, outcomes, snapshot};
use dandelionspool::logs;
use dandelionspool::version::Version;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

const STEP_S: u64 = 5;
const HOUR_S: u64 = 3600;
const DAY_S: u64 = 24 * HOUR_S;
const RETENTION: Duration = Duration::from_secs(DAY_S);
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A log that keeps records for a day.
#[derive(Default)]
struct Log {
    records: Vec<logs::Record>,
    first: u64,
}

impl Log {
    fn append(&mut self, now_s: u64, body: Bytes) {
        let offset = self.records.len() as u64;
        self.records.push(logs::Record { offset, unix_millis: START_UNIX_MS + now_s * 1000, body });
    }

    fn expire(&mut self, now_s: u64) {
        let oldest = (START_UNIX_MS + now_s * 1000).saturating_sub(RETENTION.as_millis() as u64);
        let kept = |r: &&logs::Record| r.unix_millis > oldest;
        let end = self.records.len() as u64;
        self.first =
            self.records.iter().skip(self.first as usize).find(kept).map_or(end, |r| r.offset);
    }

    fn read(&self, from: u64) -> logs::Batch {
        let skip = from.max(self.first) as usize;
        let records = self.records.iter().skip(skip).take(64).cloned().collect();
        logs::Batch { epoch: 0, first: self.first, next: self.records.len() as u64, records }
    }
}

/// A node that reads the log.
struct Node {
    fold: fold::Fold<TestRules>,
    policy: snapshot::Policy,
    rank: u32,
}

impl Node {
    fn join(log: &Log, rank: u32, seed: u64) -> Self {
        let fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), log.first);
        let mut node = Self { fold, policy: snapshot::Policy::new(RETENTION, seed), rank };
        node.read(log);
        node
    }

    fn read(&mut self, log: &Log) {
        while !self.fold.apply_batch(&log.read(self.fold.next())).is_empty() {}
    }

    fn append_if_due(&mut self, now_s: u64, log: &mut Log) -> bool {
        let state = snapshot::State {
            replay_start: self
                .fold
                .replay_start()
                .filter(|_| self.fold.state_known() && self.fold.current().is_some()),
            first: log.first,
            next: log.records.len() as u64,
            rank: self.rank,
            unix_millis: START_UNIX_MS + now_s * 1000,
        };
        let now = clock::Instant::ZERO + Duration::from_secs(now_s);
        if self.policy.handle(now, &state).is_none() {
            return false;
        }
        log.append(now_s, self.fold.encode().unwrap().unwrap());
        true
    }
}

/// The result of a simulation.
struct Run {
    log: Log,
    nodes: Vec<Node>,
    snapshots: u64,
    publishes: u64,
}

/// Simulates a mesh for `days` with about `per_day` publishes a day. Each hour, a new node replaces
/// one of the nodes and must come to the same state. The log is down for `outage_h` hours from the
/// 30th hour on.
fn run(seed: u64, days: u64, per_day: u64, outage_h: u64) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut log = Log::default();
    log.append(0, history::publish(1, Version::NONE, [1; 16], b"first"));
    let nodes = [0, 1, 1, 2].map(|rank| Node::join(&log, rank, rng.random())).into();
    let mut run = Run { log, nodes, snapshots: 0, publishes: 1 };
    for now_s in (STEP_S..days * DAY_S).step_by(STEP_S as usize) {
        run.log.expire(now_s);
        if (30 * HOUR_S..(30 + outage_h) * HOUR_S).contains(&now_s) {
            continue;
        }
        if rng.random_ratio((per_day * STEP_S) as u32, DAY_S as u32) {
            let base = run.nodes[0].fold.version();
            run.log.append(now_s, history::publish(1, base, rng.random(), &now_s.to_le_bytes()));
            run.publishes += 1;
        }
        for node in &mut run.nodes {
            node.read(&run.log);
            run.snapshots += u64::from(node.append_if_due(now_s, &mut run.log));
        }
        if now_s % HOUR_S == 0 {
            check_new_node(&mut run, now_s, &mut rng);
        }
    }
    run
}

/// Replaces a node by a new one, which must come to the same state.
fn check_new_node(run: &mut Run, now_s: u64, rng: &mut SmallRng) {
    run.nodes.iter_mut().for_each(|n| n.read(&run.log));
    let index = rng.random_range(0..run.nodes.len());
    let new_node = Node::join(&run.log, run.nodes[index].rank, rng.random());
    assert!(
        new_node.fold.state_known(),
        "a node that joins after {now_s} s does not know the version"
    );
    assert_eq!(new_node.fold.encode().unwrap(), run.nodes[index].fold.encode().unwrap());
    run.nodes[index] = new_node;
}

#[rstest]
#[case::idle(0, 0)]
#[case::quiet(4, 0)]
#[case::busy(1000, 0)]
#[case::idle_with_outage(0, 8)]
#[case::busy_with_outage(1000, 8)]
fn a_node_that_joins_after_expiry_learns_the_version(
    #[case] per_day: u64,
    #[case] outage_h: u64,
    #[values(1, 2)] seed: u64,
) {
    const DAYS: u64 = 6;
    let run = run(seed, DAYS, per_day, outage_h);
    assert!(run.log.first > 0, "nothing expired");
    let expected = 2 * DAYS + run.publishes / snapshot::INTERVAL_RECORDS;
    assert!(run.snapshots >= DAYS, "{} snapshots", run.snapshots);
    assert!(run.snapshots <= 2 * expected, "{} snapshots, {expected} expected", run.snapshots);
}

#[test]
fn outcomes_of_publishes_survive_expiry() {
    let run = run(3, 5, 40, 0);
    let mut node = Node::join(&run.log, 0, 1);
    assert!(run.log.first > 0 && node.fold.version() > Version::new(100));
    let again = history::publish(1, Version::NONE, [1; 16], b"first");
    let verdict = node.fold.apply(node.fold.next(), 0, &again);
    let Verdict::Repeated { first: outcomes::Outcome::Accepted(version_id) } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(version_id.version, Version::new(1));
}

#[test]
fn a_running_node_restores_the_state_after_all_records_expired() {
    let mut log = Log::default();
    log.append(0, history::publish(1, Version::NONE, [1; 16], b"first"));
    let mut node = Node::join(&log, 0, 1);
    let expired_s = 3 * DAY_S;
    log.expire(expired_s);
    assert_eq!(log.first, 1);
    let mut new_node = Node::join(&log, 1, 2);
    assert!(!new_node.fold.state_known());
    let appended = (0..4).filter(|n| node.append_if_due(expired_s + n * STEP_S, &mut log)).count();
    assert_eq!(appended, 1);
    new_node.read(&log);
    assert_eq!(new_node.fold.version(), Version::new(1));
}

#[test]
fn a_node_of_a_later_rank_sees_the_snapshot_and_appends_none() {
    let mut log = Log::default();
    log.append(0, history::publish(1, Version::NONE, [1; 16], b"first"));
    let mut nodes = [0, 1, 2, 3].map(|rank| Node::join(&log, rank, u64::from(rank)));
    let mut appended = 0;
    for now_s in DAY_S / 2..DAY_S / 2 + 60 {
        nodes.iter_mut().for_each(|n| n.read(&log));
        for node in &mut nodes {
            appended += u64::from(node.append_if_due(now_s, &mut log));
        }
    }
    assert_eq!(appended, 1);
}

#[test]
fn no_snapshot_of_an_empty_or_unknown_state_is_appended() {
    let mut policy = snapshot::Policy::new(RETENTION, 1);
    for now_s in 0..1000 {
        let state = snapshot::State {
            replay_start: None,
            first: 500,
            next: 1000,
            rank: 0,
            unix_millis: START_UNIX_MS + now_s * DAY_S,
        };
        let now = clock::Instant::ZERO + Duration::from_secs(now_s);
        assert_eq!(policy.handle(now, &state), None);
    }
}
