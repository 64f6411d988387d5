//! Tests of finding the offset from which a stream is replayed.

use std::time;

use bytes::Bytes;
use proptest::collection;
use proptest::prelude::*;

use crate::claim::follow::{Follower, Read, Step};
use crate::logs;

/// A log with a record at each of `times`; those at offsets before `first` have expired.
struct Log {
    first: u64,
    times: Vec<u64>,
}

impl Log {
    fn read(&self, read: Read) -> logs::Batch {
        let next = self.times.len() as u64;
        let from = read.from.max(self.first);
        let offsets = from..next.min(from.saturating_add(u64::from(read.max)));
        let record = |offset: u64| logs::Record {
            offset,
            unix_millis: self.times[offset as usize],
            body: Bytes::new(),
        };
        logs::Batch { epoch: 0, first: self.first, next, records: offsets.map(record).collect() }
    }
}

/// Reads until the follower is current; returns the offsets applied and the number of reads.
fn run(follower: &mut Follower, log: &Log) -> (Vec<u64>, usize) {
    let mut taken = Vec::new();
    for reads in 1..2000 {
        let batch = log.read(follower.read());
        match follower.advance(&batch) {
            Step::Apply => taken.extend(batch.records.iter().map(|r| r.offset)),
            Step::Seek => {}
            Step::Restored => panic!("the epoch does not change"),
            Step::Gap => taken.clear(),
        }
        if follower.current() {
            return (taken, reads);
        }
    }
    panic!("never current");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn all_records_of_the_window_and_few_older_ones_are_read(
        steps in collection::vec(0u64..300, 0..400),
        expired in 0usize..100,
    ) {
        let times: Vec<u64> = steps.iter().scan(0, |t, s| { *t += s; Some(*t) }).collect();
        let first = expired.min(times.len()) as u64;
        let log = Log { first, times };
        let mut follower = Follower::new(time::Duration::from_millis(4000));
        let (taken, _) = run(&mut follower, &log);
        let last = log.times.last().copied().unwrap_or(0);
        let wanted: Vec<u64> = (first..log.times.len() as u64)
            .filter(|&o| log.times[o as usize] >= last.saturating_sub(5000))
            .collect();
        prop_assert_eq!(taken, wanted);
    }
}

#[test]
fn the_binary_search_takes_few_reads() {
    let log = Log { first: 0, times: (0..1_000_000).collect() };
    let mut follower = Follower::new(time::Duration::from_millis(100));
    let (taken, reads) = run(&mut follower, &log);
    assert_eq!(taken.len(), 126);
    assert!(reads <= 30, "{reads} reads");
}

#[test]
fn records_that_expired_unread_discard_the_replayed_state() {
    let mut log = Log { first: 0, times: (0..10).collect() };
    let mut follower = Follower::new(time::Duration::from_secs(60));
    run(&mut follower, &log);
    log.times.extend(10..200);
    log.first = 100;
    assert_eq!(follower.advance(&log.read(follower.read())), Step::Gap);
    assert!(!follower.current());
    assert_eq!(run(&mut follower, &log).0.len(), 100);
}
