//! Tests of counting.

use std::time;

use rstest::rstest;
use smol_str::SmolStr;

use crate::clock;
use crate::host;
use crate::logs;
use crate::ring;
use crate::usage;
use crate::usage::{outbox, record, sum, tally};

fn count(outcome: usage::Outcome, millis: u64) -> usage::Count<'static> {
    static ORGANISATION: SmolStr = SmolStr::new_static("guests");
    static SERVICE: SmolStr = SmolStr::new_static("shop");
    static KIND: SmolStr = SmolStr::new_static("buy");
    usage::Count {
        service: &SERVICE,
        organisation: &ORGANISATION,
        kind: &KIND,
        weight: 5,
        outcome,
        latency: time::Duration::from_millis(millis),
        limit: time::Duration::from_millis(100),
    }
}

#[test]
fn a_full_ring_loses_and_doubles_nothing() {
    let (sender, mut receiver) = ring::bounded(1);
    let mut tally = usage::Tally::new();
    for outcome in usage::OUTCOMES {
        tally.record(&count(outcome, 150));
        tally.flush(&sender);
    }
    let mut got = usage::Totals::default();
    let mut deltas = 0;
    while let Ok(delta) = receiver.try_recv() {
        delta.rows.iter().for_each(|(_, totals)| got.add(totals));
        deltas += 1;
        assert!(deltas <= 2, "the same counts are handed over again and again");
        tally.flush(&sender);
    }
    assert_eq!(deltas, 2);
    assert_eq!(got.calls, [1; usage::OUTCOMES.len()]);
    assert_eq!(got.slow, 1);
    assert_eq!(sender.refusals().get(), 4);
}

#[test]
fn a_row_without_calls_is_dropped() {
    let (sender, mut receiver) = ring::bounded(4);
    let mut tally = usage::Tally::new();
    tally.record(&count(usage::Outcome::Served, 1));
    tally.flush(&sender);
    tally.flush(&sender);
    assert!(receiver.try_recv().is_ok());
    assert!(receiver.try_recv().is_err());
}

#[rstest]
#[case(0, 0)]
#[case(255, 0)]
#[case(256, 1)]
#[case(511, 1)]
#[case(512, 2)]
#[case(u64::MAX, tally::BUCKETS - 1)]
fn buckets_double(#[case] micros: u64, #[case] bucket: usize) {
    assert_eq!(tally::bucket(time::Duration::from_micros(micros)), bucket);
}

const FLUSH: time::Duration = time::Duration::from_secs(10);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// An outbox that has counted one call in each of `totals` spans, all of which stood in the log, and what it
/// sent.
fn stood(totals: u64) -> (outbox::Outbox, Vec<outbox::Send>) {
    let host = host::HostId::new(([10, 0, 0, 1], 7380).into());
    let mut outbox = outbox::Outbox::new(host, 7, FLUSH, at(0));
    let mut sent = Vec::new();
    for n in 1..=totals {
        let mut tally = usage::Tally::new();
        let (sender, mut receiver) = ring::bounded(1);
        tally.record(&count(usage::Outcome::Served, 1));
        tally.flush(&sender);
        outbox.add(&receiver.try_recv().expect("a delta"));
        let send = outbox.poll(at(n * 10_000), n * 10_000, false).expect("a total");
        outbox.stands(send.sequence, at(n * 10_000));
        sent.push(send);
    }
    (outbox, sent)
}

/// Guards against calls that nobody is charged for, since their count went with what the log has lost.
#[test]
fn totals_that_stood_lately_are_sent_again_once_the_log_came_back_older() {
    let (mut outbox, sent) = stood(9);
    assert!(outbox.is_empty());
    outbox.restored(at(91_000));
    assert!(!outbox.is_empty());
    assert!(outbox.wake() <= at(91_000));
    let mut again = Vec::new();
    while let Some(send) = outbox.poll(at(91_000), 91_000, false) {
        outbox.stands(send.sequence, at(91_000));
        again.push(send);
    }
    assert_eq!(again, sent[3..], "those of the last minute, under their names");
    assert!(outbox.is_empty());
    let mut sum = sum::Sum::new(1);
    let records = sent.iter().chain(&again);
    for (offset, send) in (0..).zip(records) {
        let body = record::join(std::slice::from_ref(&send.body));
        sum.add(&logs::Record { offset, unix_millis: 0, body });
    }
    assert_eq!(sum.repeats(), 6, "a reader counts each once");
}

#[test]
fn totals_are_sent_again_after_each_return_of_the_log() {
    let (mut outbox, sent) = stood(1);
    for round in 1..=3 {
        outbox.restored(at(10_000 + round));
        let send = outbox.poll(at(10_000 + round), 0, false).expect("it is sent again");
        assert_eq!(send, sent[0]);
        outbox.stands(send.sequence, at(10_000 + round));
    }
    outbox.restored(at(200_000));
    assert_eq!(outbox.poll(at(10_003), 0, false), None, "every copy has it by now");
}
