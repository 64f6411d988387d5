//! The fold comes to the same verdicts wherever a reader starts, and never goes back.

use crate::history::{self, History, NEWEST, OLDER, Toy};
use bytes::Bytes;
use dandelionspool::fold::{self, Verdict, id, record};
use dandelionspool::logs::{self, wire};
use dandelionspool::version::Version;
use proptest::prelude::*;

/// Reads after which a reader should long have come to the end.
const MOST_READS: usize = 500;

/// Reads `history` from `first` on in batches of `most`, checks every verdict, and returns the
/// state at the end.
fn replay(history: &History, fold: &mut fold::Fold<Toy>, first: u64, most: usize) {
    for _ in 0..MOST_READS {
        let batch = history.batch(first.max(fold.next()), first, most);
        let before = (fold.version(), fold.next());
        let judged = fold.apply_batch(&batch);
        assert!(fold.version() >= before.0, "went back from {} to {}", before.0, fold.version());
        for judged in &judged {
            check(history, judged);
        }
        if judged.is_empty() {
            return;
        }
    }
    panic!("read {MOST_READS} times and still not at the end");
}

/// A verdict is the one of the reader who saw everything, or none.
fn check(history: &History, judged: &fold::Judged<()>) {
    let expected = &history.verdicts[judged.offset as usize];
    match &judged.verdict {
        Verdict::Unjudged | Verdict::Newer { .. } => {}
        Verdict::Adopted(stamp) => assert_eq!(&Verdict::Known(*stamp), expected),
        verdict => assert_eq!(verdict, expected, "at {}", judged.offset),
    }
}

/// What a settled reader knows is what the one who saw everything knows at that place.
fn check_state(history: &History, fold: &fold::Fold<Toy>) {
    let expected = &history.folds[fold.next() as usize];
    assert_eq!(fold.encode().unwrap(), expected.encode().unwrap());
    let stamps = [fold, expected].map(|f| f.current().map(|c| c.version_id));
    assert_eq!(stamps[0], stamps[1]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn every_start_gives_the_same_verdicts(history in history::histories(1..60), most in 1usize..9) {
        for first in 0..=history.end() {
            let mut fold = fold::Fold::starting_at(Toy(NEWEST), first);
            replay(&history, &mut fold, first, most);
            prop_assert_eq!(fold.next(), history.end());
            prop_assert_eq!(fold.state_known(), first == 0 || history.covered(first), "from {}", first);
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
        let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
        fold.apply_batch(&history.batch(0, 0, stop as usize));
        replay(&history, &mut fold, first, 5);
        let known = first <= stop || history.covered(first);
        prop_assert_eq!(fold.state_known(), known);
        if known {
            check_state(&history, &fold);
        }
    }

    #[test]
    fn an_older_build_agrees_as_far_as_it_judges(history in history::histories(1..60), first in 0u64..60) {
        let first = first.min(history.end());
        let mut fold = fold::Fold::starting_at(Toy(OLDER), first);
        replay(&history, &mut fold, first, 7);
        if fold.state_known() {
            check_state(&history, &fold);
        }
    }

    #[test]
    fn a_record_seen_again_changes_nothing(history in history::histories(1..40)) {
        let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
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
    fn of_operators_who_race_the_first_in_the_log_wins(
        valid in proptest::collection::vec(any::<bool>(), 1..8),
        earlier in 0u8..3,
    ) {
        let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
        for n in 0..earlier {
            let base = fold.version();
            let body = history::publish(1, base, [200 + n; 16], b"earlier");
            let accepted = matches!(fold.apply(fold.next(), 0, &body), Verdict::Accepted(_));
            prop_assert!(accepted);
        }
        let base = fold.version();
        let winner = valid.iter().position(|v| *v);
        for (n, valid) in valid.iter().enumerate() {
            let file = [if *valid { b'v' } else { history::BROKEN }, n as u8];
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
        let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
        fold.apply(0, 0, &history::publish(1, Version::NONE, [1; 16], b"one"));
        let version = fold.version();
        fold.apply(1, 0, &body);
        prop_assert_eq!(fold.version(), version);
        prop_assert_eq!(fold.state_known(), !(marked && format > NEWEST));
        let _ = wire::decode(0, 10, Bytes::from(bytes));
    }

    #[test]
    fn damaged_records_do_not_panic_and_damaged_snapshots_are_not_adopted(
        history in history::histories(4..30),
        place in any::<proptest::sample::Index>(),
        flip in 1u8..=255,
    ) {
        for original in &history.records {
            let mut body = original.body.to_vec();
            let at = place.index(body.len().max(1));
            if let Some(byte) = body.get_mut(at) {
                *byte ^= flip;
            }
            let mut fold = fold::Fold::starting_at(Toy(NEWEST), 1);
            let verdict = fold.apply(original.offset.max(1), 0, &body);
            if let (Verdict::Adopted(stamp), Ok(record::Record::Snapshot(s))) =
                (verdict, record::decode(&body, NEWEST))
            {
                prop_assert!(s.consistent(original.offset));
                prop_assert_eq!(stamp.digest, dandelionspool::version::Digest::of(&s.body));
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
fn a_stale_snapshot_does_not_lead_a_joiner_astray() {
    let mut log = history::Builder::new();
    log.publish(1, Version::NONE, [1; 16], b"first");
    let stale = log.snapshot(0);
    log.publish(1, Version::new(1), [2; 16], b"second");
    log.append(stale);
    log.publish(1, Version::new(2), [3; 16], b"third");
    let history = log.finish();
    let mut joiner = fold::Fold::starting_at(Toy(NEWEST), 2);
    replay(&history, &mut joiner, 2, 10);
    assert!(!joiner.state_known(), "adopted {:?}", joiner.version());
    assert_eq!(joiner.version(), Version::NONE);
}

#[test]
fn a_snapshot_that_would_lead_back_is_refused() {
    let mut log = history::Builder::new();
    log.publish(1, Version::NONE, [1; 16], b"first");
    let first = record::decode(&log.snapshot(0), NEWEST).unwrap();
    log.publish(1, Version::new(1), [2; 16], b"second");
    let mut reader = log.state().clone();
    let record::Record::Snapshot(mut false_one) = first else { panic!("not a snapshot") };
    false_one.next_offset = 4;
    reader.skip_expired(3);
    let body = record::encode(&record::Record::Snapshot(false_one)).unwrap();
    assert!(matches!(reader.apply(5, 0, &body), Verdict::Disputed(_)));
    assert_eq!(reader.version(), Version::new(2));
}

#[test]
fn the_memory_of_publishes_is_bounded() {
    let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
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
fn an_empty_batch_moves_nothing() {
    let mut fold = fold::Fold::starting_at(Toy(NEWEST), 0);
    assert!(fold.apply_batch(&logs::Batch::default()).is_empty());
    assert!(fold.state_known() && fold.next() == 0);
}
