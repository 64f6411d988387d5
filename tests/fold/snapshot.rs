//! Snapshots keep the state in a log that forgets, in virtual time.

use std::time::Duration;

use crate::history::{self, NEWEST, Toy};
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
const EPOCH_MS: u64 = 1_700_000_000_000;

/// A log that keeps records for a day.
#[derive(Default)]
struct Log {
    records: Vec<logs::Record>,
    first: u64,
}

impl Log {
    fn append(&mut self, now_s: u64, body: Bytes) {
        let offset = self.records.len() as u64;
        self.records.push(logs::Record { offset, unix_millis: EPOCH_MS + now_s * 1000, body });
    }

    fn expire(&mut self, now_s: u64) {
        let oldest = (EPOCH_MS + now_s * 1000).saturating_sub(RETENTION.as_millis() as u64);
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
    fold: fold::Fold<Toy>,
    policy: snapshot::Policy,
    rank: u32,
}

impl Node {
    fn join(log: &Log, rank: u32, seed: u64) -> Self {
        let fold = fold::Fold::starting_at(Toy(NEWEST), log.first);
        let mut node = Self { fold, policy: snapshot::Policy::new(RETENTION, seed), rank };
        node.read(log);
        node
    }

    fn read(&mut self, log: &Log) {
        while !self.fold.apply_batch(&log.read(self.fold.next())).is_empty() {}
    }

    fn turn(&mut self, now_s: u64, log: &mut Log) -> bool {
        let state = snapshot::State {
            replay_start: self
                .fold
                .replay_start()
                .filter(|_| self.fold.state_known() && self.fold.current().is_some()),
            first: log.first,
            next: log.records.len() as u64,
            rank: self.rank,
            unix_millis: EPOCH_MS + now_s * 1000,
        };
        let now = clock::Instant::ZERO + Duration::from_secs(now_s);
        if self.policy.handle(now, &state).is_none() {
            return false;
        }
        log.append(now_s, self.fold.encode().unwrap().unwrap());
        true
    }
}

/// What happened in a run.
struct Run {
    log: Log,
    nodes: Vec<Node>,
    snapshots: u64,
    publishes: u64,
}

/// Runs a mesh for `days` with a publish now and then. Each hour one node is replaced, a joiner is
/// compared with the others, and the log is down from the 30th hour on for `outage_h` hours.
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
            run.snapshots += u64::from(node.turn(now_s, &mut run.log));
        }
        if now_s % HOUR_S == 0 {
            check_joiner(&mut run, now_s, &mut rng);
        }
    }
    run
}

/// A node is replaced by one that knows nothing, which comes to the same state.
fn check_joiner(run: &mut Run, now_s: u64, rng: &mut SmallRng) {
    run.nodes.iter_mut().for_each(|n| n.read(&run.log));
    let place = rng.random_range(0..run.nodes.len());
    let joiner = Node::join(&run.log, run.nodes[place].rank, rng.random());
    assert!(joiner.fold.state_known(), "a joiner after {now_s} s does not know the version");
    assert_eq!(joiner.fold.encode().unwrap(), run.nodes[place].fold.encode().unwrap());
    run.nodes[place] = joiner;
}

#[rstest]
#[case::idle(0, 0)]
#[case::quiet(4, 0)]
#[case::busy(1000, 0)]
#[case::idle_with_outage(0, 8)]
#[case::busy_with_outage(1000, 8)]
fn a_node_that_joins_after_expiry_comes_to_the_version(
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
fn the_memory_of_publishes_survives_expiry() {
    let run = run(3, 5, 40, 0);
    let mut node = Node::join(&run.log, 0, 1);
    assert!(run.log.first > 0 && node.fold.version() > Version::new(100));
    let again = history::publish(1, Version::NONE, [1; 16], b"first");
    let verdict = node.fold.apply(node.fold.next(), 0, &again);
    let Verdict::Repeated { first: outcomes::Outcome::Accepted(stamp) } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(stamp.version, Version::new(1));
}

#[test]
fn nodes_that_live_bring_the_state_back_after_everything_expired() {
    let mut log = Log::default();
    log.append(0, history::publish(1, Version::NONE, [1; 16], b"first"));
    let mut node = Node::join(&log, 0, 1);
    let late_s = 3 * DAY_S;
    log.expire(late_s);
    assert_eq!(log.first, 1);
    let mut joiner = Node::join(&log, 1, 2);
    assert!(!joiner.fold.state_known());
    let written = (0..4).filter(|n| node.turn(late_s + n * STEP_S, &mut log)).count();
    assert_eq!(written, 1);
    joiner.read(&log);
    assert_eq!(joiner.fold.version(), Version::new(1));
}

#[test]
fn a_node_whose_turn_is_later_sees_the_snapshot_and_writes_none() {
    let mut log = Log::default();
    log.append(0, history::publish(1, Version::NONE, [1; 16], b"first"));
    let mut nodes = [0, 1, 2, 3].map(|rank| Node::join(&log, rank, u64::from(rank)));
    let mut written = 0;
    for now_s in DAY_S / 2..DAY_S / 2 + 60 {
        nodes.iter_mut().for_each(|n| n.read(&log));
        for node in &mut nodes {
            written += u64::from(node.turn(now_s, &mut log));
        }
    }
    assert_eq!(written, 1);
}

#[test]
fn an_empty_or_unknown_state_is_never_written() {
    let mut policy = snapshot::Policy::new(RETENTION, 1);
    for now_s in 0..1000 {
        let state = snapshot::State {
            replay_start: None,
            first: 500,
            next: 1000,
            rank: 0,
            unix_millis: EPOCH_MS + now_s * DAY_S,
        };
        let now = clock::Instant::ZERO + Duration::from_secs(now_s);
        assert_eq!(policy.handle(now, &state), None);
    }
}
