//! A reader of the log finds the state with few reads.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dandelionspool::fold::{self, Verdict, follow, snapshot};
use dandelionspool::logs;
use dandelionspool::standin::log::store;
use dandelionspool::version::Version;

use crate::history::{self, NEWEST, OLDER, Toy};

/// A log in memory that counts what it gives away.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    store: store::Store,
    records: usize,
    /// How long the last read was ready to wait.
    wait: Duration,
}

#[derive(Debug, thiserror::Error)]
#[error("never happens")]
struct Never;

impl logs::Failure for Never {
    fn uncertain(&self) -> bool {
        false
    }
}

impl logs::Service for Log {
    type Error = Never;

    async fn append(&self, stream: &str, body: Bytes) -> Result<logs::Offset, Never> {
        Ok(self.0.lock().unwrap().store.append(stream, 0, body))
    }

    async fn read(
        &self,
        stream: &str,
        from: logs::Offset,
        most: u32,
        wait: Duration,
    ) -> Result<logs::Batch, Never> {
        let mut inner = self.0.lock().unwrap();
        let batch = inner.store.read(stream, from, most);
        inner.records += batch.records.len();
        inner.wait = wait;
        Ok(batch)
    }
}

impl Log {
    fn add(&self, body: Bytes) {
        self.0.lock().unwrap().store.append(logs::streams::CONFIG, 0, body);
    }

    /// Publishes `count` versions after those of `writer`, with a snapshot after every `every`.
    fn fill(&self, writer: &mut fold::Fold<Toy>, count: u64, every: u64) {
        for n in 1..=count {
            let id = u128::from(writer.next()).to_be_bytes();
            let body = history::publish(1, writer.version(), id, &n.to_be_bytes());
            assert!(matches!(writer.apply(writer.next(), 0, &body), Verdict::Accepted(_)));
            self.add(body);
            if n % every == 0 {
                self.snapshot(writer);
            }
        }
    }

    fn snapshot(&self, writer: &mut fold::Fold<Toy>) {
        let body = writer.encode().unwrap().unwrap();
        writer.apply(writer.next(), 0, &body);
        self.add(body);
    }

    fn keep(&self, count: usize) {
        self.0.lock().unwrap().store.cut(count);
    }

    fn given(&self) -> usize {
        self.0.lock().unwrap().records
    }
}

fn writer() -> fold::Fold<Toy> {
    fold::Fold::starting_at(Toy(NEWEST), 0)
}

/// Reads until the end; at most as many times as a search may take.
async fn read(follower: &mut follow::Follower<Log, Toy>) {
    for _ in 0..200 {
        if follower.caught_up() || follower.needs_snapshot() {
            return;
        }
        follower.step(Duration::ZERO).await.unwrap();
    }
    panic!("still searching");
}

#[tokio::test]
async fn a_joiner_reads_few_records_of_a_long_log() {
    let (log, mut writer) = (Log::default(), writer());
    log.fill(&mut writer, 3000, snapshot::INTERVAL_RECORDS);
    let mut follower = follow::Follower::new(log.clone(), Toy(NEWEST));
    read(&mut follower).await;
    assert_eq!(follower.fold().version(), writer.version());
    assert!(log.given() as u64 <= 3 * snapshot::INTERVAL_RECORDS, "read {} records", log.given());
}

#[tokio::test]
async fn a_joiner_goes_further_back_when_there_is_no_snapshot() {
    let (log, mut writer) = (Log::default(), writer());
    log.fill(&mut writer, 2000, u64::MAX);
    let mut follower = follow::Follower::new(log.clone(), Toy(NEWEST));
    read(&mut follower).await;
    assert_eq!(follower.fold().version(), Version::new(2000));
    assert!(follower.caught_up());
}

#[tokio::test]
async fn a_joiner_that_nothing_tells_waits_for_a_snapshot() {
    let (log, mut writer) = (Log::default(), writer());
    log.fill(&mut writer, 20, u64::MAX);
    log.keep(5);
    let mut follower = follow::Follower::new(log.clone(), Toy(NEWEST));
    read(&mut follower).await;
    assert!(follower.needs_snapshot());
    follower.step(Duration::from_secs(9)).await.unwrap();
    assert_eq!(log.0.lock().unwrap().wait, Duration::from_secs(9));
    log.snapshot(&mut writer);
    read_on(&mut follower).await;
    assert_eq!(follower.fold().version(), Version::new(20));
}

#[tokio::test]
async fn an_older_build_waits_at_a_newer_record_until_a_snapshot_it_knows() {
    let (log, mut writer) = (Log::default(), writer());
    log.fill(&mut writer, 700, snapshot::INTERVAL_RECORDS);
    let mut follower = follow::Follower::new(log.clone(), Toy(OLDER));
    read(&mut follower).await;
    let newer = history::publish(NEWEST, writer.version(), [9; 16], b"newer");
    writer.apply(writer.next(), 0, &newer);
    log.add(newer);
    follower.step(Duration::ZERO).await.unwrap();
    assert!(follower.needs_snapshot());
    assert_eq!(follower.fold().version(), Version::new(702));
    follower.step(Duration::from_secs(9)).await.unwrap();
    assert_eq!(log.0.lock().unwrap().wait, Duration::from_secs(9));
    log.fill(&mut writer, 1, 1);
    read_on(&mut follower).await;
    assert!(follower.caught_up());
    assert_eq!(follower.fold().version(), writer.version());
}

/// Reads a few times more.
async fn read_on(follower: &mut follow::Follower<Log, Toy>) {
    for _ in 0..5 {
        follower.step(Duration::ZERO).await.unwrap();
    }
}
