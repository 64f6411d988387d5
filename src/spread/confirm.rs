//! Whether the log holds anything newer than what other nodes gave.
//!
//! A node that starts looks at the records after its version. It does not judge them, since it
//! lacks the memory of publish ids that a reader's fold has; it only learns whether to wait.

use crate::fold::record;
use crate::fold::rules;
use crate::logs;
use crate::mesh;
use crate::version;

/// What the log's tail says about a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tail {
    /// It is the current one.
    Current,
    /// This one seems to have been accepted after it.
    Newer(version::Version),
    /// Too many records follow it, or some have expired.
    Unknown,
}

/// Looks at `batch`, read from the record after `held` on.
pub fn look(batch: &logs::Batch, held: version::Version) -> Tail {
    let newer = batch.records.iter().filter_map(|r| successor(r, held)).max();
    if let Some(newer) = newer {
        return Tail::Newer(newer);
    }
    let end = batch.records.last().map_or(batch.first.max(held.next_offset()), |r| r.offset + 1);
    let follows = batch.epoch == held.epoch() && batch.first <= held.next_offset();
    let whole = follows || batch.records.iter().any(|r| keeps(r, held));
    match whole && end >= batch.next {
        true => Tail::Current,
        false => Tail::Unknown,
    }
}

/// The version that `record` seems to put after `held`.
fn successor(record: &logs::Record, held: version::Version) -> Option<version::Version> {
    match record::decode(&record.body, rules::NEWEST_FORMAT).ok()? {
        record::Record::Publish(publish) => {
            let follows = publish.base == held && mesh::check::check(&publish.body).is_ok();
            follows.then(|| version::Version::new(record.offset + 1))
        }
        record::Record::Accepted(settled) => {
            Some(settled.version).filter(|&version| version > held)
        }
        record::Record::Snapshot(snapshot) => {
            Some(snapshot.version_id.version).filter(|&version| version > held)
        }
    }
}

/// Whether `record` says that nothing newer than `held` came before it.
fn keeps(record: &logs::Record, held: version::Version) -> bool {
    match record::decode(&record.body, rules::NEWEST_FORMAT) {
        Ok(record::Record::Snapshot(snapshot)) => snapshot.version_id.version == held,
        Ok(record::Record::Accepted(settled)) => settled.version <= held,
        _ => false,
    }
}
