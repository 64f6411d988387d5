//! Files that the log service itself has accepted.

use bytes::Bytes;
use dandelionspool::fold::{reader, record, rules, snapshot};
use dandelionspool::logs;
use dandelionspool::version;

fn settled(offset: u64, body: &[u8]) -> logs::Record {
    let body = Bytes::copy_from_slice(body);
    let version = version::Version::assigned(offset + 1, logs::ordinal(0, offset));
    let settled = record::Accepted { version, format: rules::NEWEST_FORMAT, body };
    let record = record::Record::Accepted(settled);
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
fn it_needs_none_of_the_records_before_it_and_no_snapshot() {
    let mut reader = reader::Reader::new(rules::Builtin);
    read(&mut reader, 40, Vec::new());
    read(&mut reader, 40, vec![settled(40, br#"{"format":3}"#)]);
    assert_eq!(version(&reader), 41);
    assert!(reader.caught_up());
    read(&mut reader, 70, vec![settled(70, br#"{"format":3,"routes":[]}"#)]);
    assert_eq!(version(&reader), 71);
    let state = reader.snapshot_state(u64::MAX, 0);
    let mut policy = snapshot::Policy::new(std::time::Duration::from_secs(1), 1);
    for millis in [0, 1000, 60_000, 3_600_000] {
        let now = dandelionspool::clock::Instant::from_millis(millis);
        assert_eq!(policy.handle(now, &state), None, "the log service keeps the file itself");
    }
}

#[test]
fn one_that_this_build_refuses_leaves_the_version_before_it() {
    let mut reader = reader::Reader::new(rules::Builtin);
    read(&mut reader, 0, Vec::new());
    read(&mut reader, 0, vec![settled(0, br#"{"format":3}"#)]);
    read(&mut reader, 0, vec![settled(1, br#"{"format":3,"routes":7}"#)]);
    assert_eq!(version(&reader), 1);
}
