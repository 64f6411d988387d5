//! Tests of counting.

use std::time;

use rstest::rstest;
use smol_str::SmolStr;

use crate::ring;
use crate::usage;
use crate::usage::tally;

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
        tally.hand(&sender);
    }
    let mut got = usage::Totals::default();
    let mut deltas = 0;
    while let Ok(delta) = receiver.try_recv() {
        delta.rows.iter().for_each(|(_, totals)| got.add(totals));
        deltas += 1;
        assert!(deltas <= 2, "the same counts are handed over again and again");
        tally.hand(&sender);
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
    tally.hand(&sender);
    tally.hand(&sender);
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
