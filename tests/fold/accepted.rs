//! Records of files that the log service itself has accepted.

use bytes::Bytes;
use dandelionspool::fold::{self, reader, record, rules, snapshot};
use dandelionspool::logs;
use dandelionspool::version;

fn accepted(offset: u64, body: &[u8]) -> logs::Record {
    let body = Bytes::copy_from_slice(body);
    let version = version::Version::assigned(offset + 1, logs::ordinal(0, offset));
    let accepted = record::Accepted { version, format: rules::NEWEST_FORMAT, body };
    let record = record::Record::Accepted(accepted);
    let body = record::encode(&record).expect("encoded");
    logs::Record { offset, unix_millis: 0, body }
}

fn read(reader: &mut reader::Reader<rules::Builtin>, first: u64, records: Vec<logs::Record>) {
    let next = records.last().map_or(first, |r| r.offset + 1);
    reader.apply_batch(&logs::Batch { epoch: 0, first, next, records });
}

fn version(reader: &reader::Reader<rules::Builtin>) -> u64 {
    reader.fold().version().number()
}

#[test]
fn an_accepted_file_needs_no_earlier_records_and_no_snapshot() {
    let mut reader = reader::Reader::new(rules::Builtin);
    read(&mut reader, 40, Vec::new());
    read(&mut reader, 40, vec![accepted(40, br#"{"format":3}"#)]);
    assert_eq!(version(&reader), 41);
    assert!(reader.caught_up());
    read(&mut reader, 70, vec![accepted(70, br#"{"format":3,"routes":[]}"#)]);
    assert_eq!(version(&reader), 71);
    let state = reader.snapshot_state(u64::MAX, 0);
    let mut policy = snapshot::Policy::new(std::time::Duration::from_secs(1), 1);
    for millis in [0, 1000, 60_000, 3_600_000] {
        let now = dandelionspool::clock::Instant::from_millis(millis);
        assert_eq!(policy.handle(now, &state), None, "the log service keeps the file itself");
    }
}

#[test]
fn an_accepted_file_that_this_build_rejects_leaves_the_previous_version() {
    let mut reader = reader::Reader::new(rules::Builtin);
    read(&mut reader, 0, Vec::new());
    read(&mut reader, 0, vec![accepted(0, br#"{"format":3}"#)]);
    read(&mut reader, 0, vec![accepted(1, br#"{"format":3,"routes":7}"#)]);
    assert_eq!(version(&reader), 1);
}

/// Guards against an accepted version that can't be applied and is reported as nothing but a
/// publish that its operator sees refused, or that holds up the versions after it.
#[test]
fn an_accepted_file_that_this_build_rejects_is_told_apart_and_holds_up_no_later_one() {
    let mut reader = reader::Reader::new(rules::Builtin);
    read(&mut reader, 0, Vec::new());
    let records = vec![accepted(0, br#"{"format":6,"routes":7}"#), accepted(1, br#"{"format":6}"#)];
    let judged = reader.apply_batch(&logs::Batch { epoch: 0, first: 0, next: 2, records });
    let verdicts: Vec<_> = judged.iter().map(|judged| &judged.verdict).collect();
    let [fold::Verdict::Unusable { version: unusable, .. }, fold::Verdict::Accepted(_)] =
        verdicts[..]
    else {
        panic!("{verdicts:?}");
    };
    assert_eq!((unusable.number(), version(&reader)), (1, 2));
    assert!(reader.caught_up());
}
