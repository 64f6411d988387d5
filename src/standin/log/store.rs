//! Streams in memory with limited retention.

use std::collections;
use std::time;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::logs;
use crate::logs::wire;

/// How long records are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Age at which a record expires.
    pub age: time::Duration,
    /// Most records of one stream; the oldest beyond it expire.
    pub count: usize,
}

/// Bytes after which a batch takes no further record.
const BATCH_BYTES: usize = 4 << 20;

/// All streams. A stream exists once it has been appended to; others read as empty.
#[derive(Debug, Default)]
pub struct Store {
    streams: collections::HashMap<SmolStr, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset the next record will get.
    next: logs::Offset,
    /// The kept records; their offsets are consecutive and end before `next`.
    records: collections::VecDeque<logs::Record>,
}

impl Store {
    /// Appends `body` to the stream called `name`.
    pub fn append(&mut self, name: &str, unix_millis: u64, body: Bytes) -> logs::Offset {
        let stream = self.streams.entry(SmolStr::new(name)).or_default();
        let offset = stream.next;
        stream.records.push_back(logs::Record { offset, unix_millis, body });
        stream.next += 1;
        offset
    }

    /// Up to `most` records of the stream called `name` from `from` on.
    pub fn read(&self, name: &str, from: logs::Offset, most: u32) -> logs::Batch {
        let Some(stream) = self.streams.get(name) else {
            return logs::Batch::default();
        };
        let skip = from.saturating_sub(stream.first());
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut records = Vec::new();
        for record in stream.records.iter().skip(skip).take(most as usize) {
            records.push(record.clone());
            bytes += wire::encoded_len(record);
            if bytes >= BATCH_BYTES {
                break;
            }
        }
        logs::Batch { epoch: 0, first: stream.first(), next: stream.next, records }
    }

    /// Drops every record that has expired at `now`.
    pub fn expire(&mut self, now_millis: u64, retention: Retention) {
        let age = u64::try_from(retention.age.as_millis()).unwrap_or(u64::MAX);
        for stream in self.streams.values_mut() {
            while stream
                .records
                .front()
                .is_some_and(|r| r.unix_millis.saturating_add(age) <= now_millis)
            {
                stream.records.pop_front();
            }
        }
        self.cut(retention.count);
    }

    /// Drops all but the last `count` records of every stream.
    pub fn cut(&mut self, count: usize) {
        for stream in self.streams.values_mut() {
            let excess = stream.records.len().saturating_sub(count);
            stream.records.drain(..excess);
        }
    }
}

impl Stream {
    fn first(&self) -> logs::Offset {
        self.records.front().map_or(self.next, |r| r.offset)
    }
}
