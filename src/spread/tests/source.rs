//! The log in memory, with the versions it has accepted.

use std::collections;

use bytes::Bytes;

use crate::fold::{self, id, record, rules};
use crate::logs;
use crate::version;

/// The config stream.
pub struct Source {
    /// Whether it answers.
    pub up: bool,
    /// How often it came back from an older copy.
    epoch: logs::Epoch,
    /// Whether it accepts configurations itself, and keeps the newest one aside.
    settles: bool,
    first: logs::Offset,
    records: Vec<logs::Record>,
    fold: fold::Fold<rules::Builtin>,
    accepted: collections::HashMap<version::Version, Bytes>,
}

impl Default for Source {
    fn default() -> Self {
        Self {
            up: true,
            epoch: 0,
            settles: false,
            first: 0,
            records: Vec::new(),
            fold: fold::Fold::starting_at(rules::Builtin, 0),
            accepted: collections::HashMap::new(),
        }
    }
}

impl Source {
    /// The offset of the next record.
    pub fn next(&self) -> logs::Offset {
        self.first + self.records.len() as u64
    }

    /// The version accepted last.
    pub fn current(&self) -> version::VersionId {
        self.fold.current().map(|a| a.version_id).unwrap_or_default()
    }

    /// The file accepted as `version`.
    pub fn accepted(&self, version: version::Version) -> Option<&Bytes> {
        self.accepted.get(&version)
    }

    /// Appends a publication of `file`.
    pub fn append(&mut self, base: version::Version, file: &[u8], unix_millis: u64) {
        let id = id::PublishId::derive(base, file);
        let body = Bytes::copy_from_slice(file);
        let publish = record::Publish { format: 1, base, id, body };
        let record = record::encode(&record::Record::Publish(publish)).expect("encodes");
        self.put(record, unix_millis);
    }

    /// Appends the operator's configuration `number`, which the log accepts itself.
    pub fn settle(&mut self, number: u64, file: &[u8], unix_millis: u64) {
        self.settles = true;
        let version = version::Version::assigned(number, logs::ordinal(self.epoch, self.next()));
        let body = Bytes::copy_from_slice(file);
        let settled = record::Accepted { version, format: 1, body };
        let record = record::encode(&record::Record::Accepted(settled)).expect("encodes");
        self.put(record, unix_millis);
    }

    /// Comes back from a copy that lacks the last `lost` records.
    pub fn restore(&mut self, lost: usize) {
        self.epoch += 1;
        let records = std::mem::take(&mut self.records);
        self.fold = fold::Fold::starting_at(rules::Builtin, self.first);
        let kept = records.len().saturating_sub(lost);
        for record in records.into_iter().take(kept) {
            let decoded = record::decode(&record.body, rules::NEWEST_FORMAT).expect("decodes");
            let record::Record::Accepted(settled) = decoded else { panic!("not settled") };
            self.settle(settled.version.number(), &settled.body, record.unix_millis);
        }
    }

    /// Appends a record.
    pub fn put(&mut self, body: Bytes, unix_millis: u64) {
        let record = logs::Record { offset: self.next(), unix_millis, body };
        self.fold.apply(record.offset, unix_millis, &record.body);
        self.records.push(record);
        if let Some(accepted) = self.fold.current() {
            self.accepted.insert(accepted.version_id.version, accepted.body.clone());
        }
    }

    /// Lets every record expire.
    pub fn expire(&mut self) {
        self.first = self.next();
        self.records.clear();
    }

    /// Lets the records before `first` expire.
    pub fn cut(&mut self, first: logs::Offset) {
        self.records.retain(|r| r.offset >= first);
        self.first = first;
    }

    /// The records from `from` on.
    pub fn read(&self, from: logs::Offset) -> logs::Batch {
        let (epoch, next) = (self.epoch, self.next());
        if !self.settles {
            let records = self.records.iter().filter(|r| r.offset >= from).cloned().collect();
            return logs::Batch { epoch, first: self.first, next, records };
        }
        let newest = self.records.last().cloned();
        let first = newest.as_ref().map_or(next, |r| r.offset).min(from);
        if from < self.first || from > next {
            return logs::Batch { epoch, first, next, records: newest.into_iter().collect() };
        }
        let records = newest.into_iter().filter(|r| r.offset >= from).collect();
        logs::Batch { epoch, first: from, next, records }
    }
}
