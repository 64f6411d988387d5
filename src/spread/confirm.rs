//! Checks whether the log holds a newer version than the one received from other nodes.
//!
//! A node that starts looks at the records after its version. It can't judge them, because it
//! lacks the outcomes of earlier publishes that a reader's fold has; it only learns whether to wait
//! for a newer version.

use crate::fold::record;
use crate::fold::rules;
use crate::logs;
use crate::mesh;
use crate::version;

/// What the tail of the log says about the version held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// It is the newest one.
    Current,
    /// This version was probably accepted after it.
    Newer(version::Version),
    /// The batch does not cover all records after it: too many follow, or some have expired.
    Unknown,
}

/// Checks `batch`, which was read from the offset after `held`.
pub fn check_tail(batch: &logs::Batch, held: version::Version) -> Finding {
    let newer = batch.records.iter().filter_map(|r| successor(r, held)).max();
    if let Some(newer) = newer {
        return Finding::Newer(newer);
    }
    let end = batch.records.last().map_or(batch.first.max(held.next_offset()), |r| r.offset + 1);
    let follows = batch.epoch == held.epoch() && batch.first <= held.next_offset();
    let complete = follows || batch.records.iter().any(|r| confirms(r, held));
    match complete && end >= batch.next {
        true => Finding::Current,
        false => Finding::Unknown,
    }
}

/// The version newer than `held` that `record` names or, as a valid publish on `held`, creates.
fn successor(record: &logs::Record, held: version::Version) -> Option<version::Version> {
    match record::decode(&record.body, rules::NEWEST_FORMAT).ok()? {
        record::Record::Publish(publish) => {
            let follows = publish.base == held && mesh::check::check(&publish.body).is_ok();
            follows.then(|| version::Version::new(record.offset + 1))
        }
        record::Record::Accepted(accepted) => {
            Some(accepted.version).filter(|&version| version > held)
        }
        record::Record::Snapshot(snapshot) => {
            Some(snapshot.version_id.version).filter(|&version| version > held)
        }
    }
}

/// Whether `record` shows that no version newer than `held` was accepted before it.
fn confirms(record: &logs::Record, held: version::Version) -> bool {
    match record::decode(&record.body, rules::NEWEST_FORMAT) {
        Ok(record::Record::Snapshot(snapshot)) => snapshot.version_id.version == held,
        Ok(record::Record::Accepted(accepted)) => accepted.version <= held,
        _ => false,
    }
}
