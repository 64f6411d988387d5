//! The fold comes to the same verdicts wherever a reader starts, and its version never goes back.

use crate::history::{self, History, NEWEST_FORMAT, OLDER_FORMAT, TestRules};
use bytes::Bytes;
use dandelionspool::fold::{self, Verdict, id, record};
use dandelionspool::logs::{self, wire};
use dandelionspool::version::Version;
use proptest::prelude::*;

/// Number of reads in which a reader must have reached the end.
const MAX_READS: usize = 500;

/// Replays `history` from `first` on into `fold`, in batches of `max_records`, and checks every
/// verdict.
fn replay(history: &History, fold: &mut fold::Fold<TestRules>, first: u64, max_records: usize) {
    for _ in 0..MAX_READS {
        let batch = history.batch(first.max(fold.next()), first, max_records);
        let before = (fold.version(), fold.next());
        let judged = fold.apply_batch(&batch);
        assert!(
            fold.version() >= before.0,
            "the version went back from {} to {}",
            before.0,
            fold.version()
        );
        for judged in &judged {
            check(history, judged);
        }
        if judged.is_empty() {
            return;
        }
    }
    panic!("read {MAX_READS} times and still not at the end");
}

/// Checks that a verdict is the one of the reader that read all records, or undetermined.
fn check(history: &History, judged: &fold::Judged<()>) {
    let expected = &history.verdicts[judged.offset as usize];
    match &judged.verdict {
        Verdict::Unjudged | Verdict::Newer { .. } => {}
        Verdict::Adopted(version_id) => assert_eq!(&Verdict::Known(*version_id), expected),
        verdict => assert_eq!(verdict, expected, "at {}", judged.offset),
    }
}

/// Checks that a reader that knows the state agrees with the one that read all records.
fn check_state(history: &History, fold: &fold::Fold<TestRules>) {
    let expected = &history.folds[fold.next() as usize];
    assert_eq!(fold.encode().unwrap(), expected.encode().unwrap());
    let version_ids = [fold, expected].map(|f| f.current().map(|c| c.version_id));
    assert_eq!(version_ids[0], version_ids[1]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_start_gives_the_same_verdicts(
        history in history::histories(1..60),
        max_records in 1usize..9,
    ) {
        for first in 0..=history.end() {
            let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), first);
            replay(&history, &mut fold, first, max_records);
            prop_assert_eq!(fold.next(), history.end());
            let known = first == 0 || history.has_covering_snapshot(first);
            prop_assert_eq!(fold.state_known(), known, "from {}", first);
            if fold.state_known() {
                check_state(&history, &fold);
            }
        }
    }

    #[test]
    fn a_reader_that_missed_expired_records_recovers(
        history in history::histories(1..60),
        stop in 0.0..1.0,
        missed in 0.0..1.0,
    ) {
        let end = history.end() as f64;
        let stop = (stop * end) as u64;
        let first = stop + (missed * (end - stop as f64)) as u64;
        let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
        fold.apply_batch(&history.batch(0, 0, stop as usize));
        replay(&history, &mut fold, first, 5);
        let known = first <= stop || history.has_covering_snapshot(first);
        prop_assert_eq!(fold.state_known(), known);
        if known {
            check_state(&history, &fold);
        }
    }

    #[test]
    fn an_older_build_agrees_as_far_as_it_judges(
        history in history::histories(1..60),
        first in 0u64..60,
    ) {
        let first = first.min(history.end());
        let mut fold = fold::Fold::starting_at(TestRules(OLDER_FORMAT), first);
        replay(&history, &mut fold, first, 7);
        if fold.state_known() {
            check_state(&history, &fold);
        }
    }

    #[test]
    fn a_record_seen_again_changes_nothing(history in history::histories(1..40)) {
        let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
        for record in &history.records {
            fold.apply(record.offset, record.unix_millis, &record.body);
            let state = fold.encode().unwrap();
            for again in &history.records[..=record.offset as usize] {
                let verdict = fold.apply(again.offset, again.unix_millis, &again.body);
                prop_assert_eq!(verdict, Verdict::Stale);
            }
            prop_assert_eq!(fold.encode().unwrap(), state);
        }
    }

    #[test]
    fn of_concurrent_publishes_the_first_valid_one_in_the_log_wins(
        valid in proptest::collection::vec(any::<bool>(), 1..8),
        earlier in 0u8..3,
    ) {
        let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
        for n in 0..earlier {
            let base = fold.version();
            let body = history::publish(1, base, [200 + n; 16], b"earlier");
            let accepted = matches!(fold.apply(fold.next(), 0, &body), Verdict::Accepted(_));
            prop_assert!(accepted);
        }
        let base = fold.version();
        let winner = valid.iter().position(|v| *v);
        for (n, valid) in valid.iter().enumerate() {
            let file = [if *valid { b'v' } else { history::INVALID_PREFIX }, n as u8];
            let body = history::publish(1, base, [n as u8; 16], &file);
            let verdict = fold.apply(fold.next(), 0, &body);
            let won = Version::new(u64::from(earlier) + winner.unwrap_or(0) as u64 + 1);
            match winner {
                Some(w) if w == n => prop_assert!(matches!(verdict, Verdict::Accepted(_))),
                Some(w) if w < n => prop_assert_eq!(verdict, Verdict::Conflict { current: won }),
                _ => prop_assert_eq!(verdict, Verdict::Invalid { faults: () }),
            }
        }
    }

    #[test]
    fn arbitrary_bytes_have_no_effect_and_do_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        marked in any::<bool>(),
        format in 1u16..4,
    ) {
        let mut body = Vec::new();
        if marked {
            body.extend_from_slice(b"dspc");
            body.extend_from_slice(&format.to_le_bytes());
        }
        body.extend_from_slice(&bytes);
        let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
        fold.apply(0, 0, &history::publish(1, Version::NONE, [1; 16], b"one"));
        let version = fold.version();
        fold.apply(1, 0, &body);
        prop_assert_eq!(fold.version(), version);
        prop_assert_eq!(fold.state_known(), !(marked && format > NEWEST_FORMAT));
        let _ = wire::decode(0, 10, Bytes::from(bytes));
    }

    #[test]
    fn damaged_records_do_not_panic_and_damaged_snapshots_are_not_adopted(
        history in history::histories(4..30),
        position in any::<proptest::sample::Index>(),
        flip in 1u8..=255,
    ) {
        for original in &history.records {
            let mut body = original.body.to_vec();
            let at = position.index(body.len().max(1));
            if let Some(byte) = body.get_mut(at) {
                *byte ^= flip;
            }
            let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 1);
            let verdict = fold.apply(original.offset.max(1), 0, &body);
            if let (Verdict::Adopted(version_id), Ok(record::Record::Snapshot(s))) =
                (verdict, record::decode(&body, NEWEST_FORMAT))
            {
                prop_assert!(s.consistent(original.offset));
                prop_assert_eq!(version_id.digest, dandelionspool::version::Digest::of(&s.body));
            }
        }
    }

    #[test]
    fn batches_survive_the_wire(history in history::histories(0..30)) {
        let encoded = wire::encode(&history.records);
        let batch = wire::decode(0, history.end(), encoded.clone()).unwrap();
        prop_assert_eq!(&batch.records, &history.records);
        if !history.records.is_empty() {
            let cut = encoded.slice(..encoded.len() - 1);
            prop_assert_eq!(wire::decode(0, history.end(), cut), Err(wire::Error::Truncated));
            let short = wire::decode(0, history.end() - 1, encoded.clone());
            prop_assert_eq!(short, Err(wire::Error::Disordered(history.end() - 1)));
        }
    }
}

#[test]
fn a_new_reader_does_not_adopt_a_stale_snapshot() {
    let mut log = history::Builder::new();
    log.publish(1, Version::NONE, [1; 16], b"first");
    let stale = log.snapshot(0);
    log.publish(1, Version::new(1), [2; 16], b"second");
    log.append(stale);
    log.publish(1, Version::new(2), [3; 16], b"third");
    let history = log.finish();
    let mut new_reader = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 2);
    replay(&history, &mut new_reader, 2, 10);
    assert!(!new_reader.state_known(), "adopted {:?}", new_reader.version());
    assert_eq!(new_reader.version(), Version::NONE);
}

#[test]
fn a_snapshot_of_an_older_version_is_refused() {
    let mut log = history::Builder::new();
    log.publish(1, Version::NONE, [1; 16], b"first");
    let first = record::decode(&log.snapshot(0), NEWEST_FORMAT).unwrap();
    log.publish(1, Version::new(1), [2; 16], b"second");
    let mut reader = log.state().clone();
    let record::Record::Snapshot(mut forged) = first else { panic!("not a snapshot") };
    forged.next_offset = 4;
    reader.skip_expired(3);
    let body = record::encode(&record::Record::Snapshot(forged)).unwrap();
    assert!(matches!(reader.apply(5, 0, &body), Verdict::Disputed(_)));
    assert_eq!(reader.version(), Version::new(2));
}

#[test]
fn outcomes_of_publishes_are_bounded() {
    let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
    let id = |n: u64| (u128::from(n) + 1).to_be_bytes();
    let limit = fold::outcomes::MAX_OUTCOMES as u64;
    for n in 0..2 * limit {
        fold.apply(n, 0, &history::publish(1, fold.version(), id(n), b"file"));
    }
    assert_eq!(fold.version(), Version::new(2 * limit));
    let next = fold.next();
    let remembered = fold.apply(next, 0, &history::publish(1, fold.version(), id(limit), b"file"));
    assert!(matches!(remembered, Verdict::Repeated { .. }), "{remembered:?}");
    let base = Version::new(limit - 1);
    let forgotten = fold.apply(next + 1, 0, &history::publish(1, base, id(limit - 1), b"file"));
    assert_eq!(forgotten, Verdict::Conflict { current: fold.version() });
    let snapshot = fold.encode().unwrap().unwrap();
    assert!(snapshot.len() < 40 * fold::outcomes::MAX_OUTCOMES, "{} bytes", snapshot.len());
}

#[test]
fn a_file_too_large_is_not_encoded() {
    let body = Bytes::from(vec![0; dandelionspool::delta::MAX_FILE_BYTES + 1]);
    let publish =
        record::Publish { format: 1, base: Version::NONE, id: id::PublishId::default(), body };
    assert!(record::encode(&record::Record::Publish(publish)).is_err());
}

#[test]
fn an_empty_batch_changes_nothing() {
    let mut fold = fold::Fold::starting_at(TestRules(NEWEST_FORMAT), 0);
    assert!(fold.apply_batch(&logs::Batch::default()).is_empty());
    assert!(fold.state_known() && fold.next() == 0);
}
