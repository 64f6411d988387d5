//! A follower of the log service: how it finds the state, and how many records it reads for that.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dandelionspool::fold::{self, Verdict, follow, snapshot};
use dandelionspool::logs;
use dandelionspool::standin::log::store;
use dandelionspool::version::Version;

use crate::history::{self, NEWEST_FORMAT, OLDER_FORMAT, TestRules};

/// A log in memory that counts the records read from it.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Inner>>);

#[derive(Default)]
struct Inner {
    store: store::Store,
    records: usize,
    /// How long the last read allowed the log to wait.
    wait: Duration,
}

#[derive(Debug, thiserror::Error)]
#[error("never happens")]
struct NeverFails;

impl logs::Failure for NeverFails {
    fn uncertain(&self) -> bool {
        false
    }
}

impl logs::Service for Log {
    type Error = NeverFails;

    async fn append(&self, stream: &str, body: Bytes) -> Result<logs::Offset, NeverFails> {
        Ok(self.0.lock().unwrap().store.append(stream, 0, body))
    }

    async fn read(
        &self,
        stream: &str,
        from: logs::Offset,
        max_records: u32,
        wait: Duration,
    ) -> Result<logs::Batch, NeverFails> {
        let mut inner = self.0.lock().unwrap();
        let batch = inner.store.read(stream, from, max_records);
        inner.records += batch.records.len();
        inner.wait = wait;
        Ok(batch)
    }
}

impl Log {
    fn append_record(&self, body: Bytes) {
        self.0.lock().unwrap().store.append(logs::streams::CONFIG, 0, body);
    }

    /// Publishes `count` versions after those of `writer`, and a snapshot after each `interval`.
    fn publish_many(&self, writer: &mut fold::Fold<TestRules>, count: u64, interval: u64) {
        for n in 1..=count {
            let id = u128::from(writer.next()).to_be_bytes();
            let body = history::publish(1, writer.version(), id, &n.to_be_bytes());
            assert!(matches!(writer.apply(writer.next(), 0, &body), Verdict::Accepted(_)));
            self.append_record(body);
            if n % interval == 0 {
                self.snapshot(writer);
            }
        }
    }

    fn snapshot(&self, writer: &mut fold::Fold<TestRules>) {
        let body = writer.encode().unwrap().unwrap();
        writer.apply(writer.next(), 0, &body);
        self.append_record(body);
    }

    fn keep_last(&self, count: usize) {
        self.0.lock().unwrap().store.cut(count);
    }

    fn records_read(&self) -> usize {
        self.0.lock().unwrap().records
    }
}

fn writer() -> fold::Fold<TestRules> {
    fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0)
}

/// Reads until the state is known or a snapshot is needed; panics if the search does not end.
async fn read_to_end(follower: &mut follow::Follower<Log, TestRules>) {
    for _ in 0..200 {
        if follower.caught_up() || follower.needs_snapshot() {
            return;
        }
        follower.step(Duration::ZERO).await.unwrap();
    }
    panic!("the search does not end");
}

#[tokio::test]
async fn a_new_reader_reads_few_records_of_a_long_log() {
    let (log, mut writer) = (Log::default(), writer());
    log.publish_many(&mut writer, 3000, snapshot::INTERVAL_RECORDS);
    let mut follower = follow::Follower::new(log.clone(), TestRules(NEWEST_FORMAT));
    read_to_end(&mut follower).await;
    assert_eq!(follower.fold().version(), writer.version());
    assert!(
        log.records_read() as u64 <= 3 * snapshot::INTERVAL_RECORDS,
        "read {} records",
        log.records_read()
    );
}

#[tokio::test]
async fn a_new_reader_goes_further_back_when_there_is_no_snapshot() {
    let (log, mut writer) = (Log::default(), writer());
    log.publish_many(&mut writer, 2000, u64::MAX);
    let mut follower = follow::Follower::new(log.clone(), TestRules(NEWEST_FORMAT));
    read_to_end(&mut follower).await;
    assert_eq!(follower.fold().version(), Version::new(2000));
    assert!(follower.caught_up());
}

#[tokio::test]
async fn a_new_reader_that_finds_no_state_waits_for_a_snapshot() {
    let (log, mut writer) = (Log::default(), writer());
    log.publish_many(&mut writer, 20, u64::MAX);
    log.keep_last(5);
    let mut follower = follow::Follower::new(log.clone(), TestRules(NEWEST_FORMAT));
    read_to_end(&mut follower).await;
    assert!(follower.needs_snapshot());
    follower.step(Duration::from_secs(9)).await.unwrap();
    assert_eq!(log.0.lock().unwrap().wait, Duration::from_secs(9));
    log.snapshot(&mut writer);
    read_more(&mut follower).await;
    assert_eq!(follower.fold().version(), Version::new(20));
}

#[tokio::test]
async fn an_older_build_waits_at_a_newer_record_until_a_snapshot_it_knows() {
    let (log, mut writer) = (Log::default(), writer());
    log.publish_many(&mut writer, 700, snapshot::INTERVAL_RECORDS);
    let mut follower = follow::Follower::new(log.clone(), TestRules(OLDER_FORMAT));
    read_to_end(&mut follower).await;
    let newer = history::publish(NEWEST_FORMAT, writer.version(), [9; 16], b"newer");
    writer.apply(writer.next(), 0, &newer);
    log.append_record(newer);
    follower.step(Duration::ZERO).await.unwrap();
    assert!(follower.needs_snapshot());
    assert_eq!(follower.fold().version(), Version::new(702));
    follower.step(Duration::from_secs(9)).await.unwrap();
    assert_eq!(log.0.lock().unwrap().wait, Duration::from_secs(9));
    log.publish_many(&mut writer, 1, 1);
    read_more(&mut follower).await;
    assert!(follower.caught_up());
    assert_eq!(follower.fold().version(), writer.version());
}

/// Reads a few more times.
async fn read_more(follower: &mut follow::Follower<Log, TestRules>) {
    for _ in 0..5 {
        follower.step(Duration::ZERO).await.unwrap();
    }
}
