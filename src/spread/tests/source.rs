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
    first: logs::Offset,
    records: Vec<logs::Record>,
    fold: fold::Fold<rules::Builtin>,
    accepted: collections::HashMap<version::Version, Bytes>,
}

impl Default for Source {
    fn default() -> Self {
        Self {
            up: true,
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
    pub fn current(&self) -> version::Stamp {
        self.fold.current().map(|a| a.stamp).unwrap_or_default()
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

    /// Appends a record.
    pub fn put(&mut self, body: Bytes, unix_millis: u64) {
        let record = logs::Record { offset: self.next(), unix_millis, body };
        self.fold.apply(record.offset, unix_millis, &record.body);
        self.records.push(record);
        if let Some(accepted) = self.fold.current() {
            self.accepted.insert(accepted.stamp.version, accepted.body.clone());
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
        let records = self.records.iter().filter(|r| r.offset >= from).cloned().collect();
        logs::Batch { epoch: 0, first: self.first, next: self.next(), records }
    }
}
