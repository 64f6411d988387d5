//! Streams of records in memory, with limited retention.

use std::collections;
use std::time;

use bytes::Bytes;
use smol_str::SmolStr;

use crate::logs;
use crate::logs::wire;

/// Which records are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Retention {
    /// Age at which a record expires.
    pub age: time::Duration,
    /// Maximum number of records in a stream; the oldest ones beyond it expire.
    pub count: usize,
}

/// Size at which a batch is complete. The last record may exceed it.
const BATCH_BYTES: usize = 4 << 20;

/// All streams. A stream is created by its first append; an unknown one reads as empty.
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
    /// Appends `body` to the stream `name` and returns its offset.
    pub fn append(&mut self, name: &str, unix_millis: u64, body: Bytes) -> logs::Offset {
        let stream = self.streams.entry(SmolStr::new(name)).or_default();
        let offset = stream.next;
        stream.records.push_back(logs::Record { offset, unix_millis, body });
        stream.next += 1;
        offset
    }

    /// Returns up to `max` records of the stream `name`, starting at the offset `from`.
    pub fn read(&self, name: &str, from: logs::Offset, max: u32) -> logs::Batch {
        let Some(stream) = self.streams.get(name) else {
            return logs::Batch::default();
        };
        let skip = from.saturating_sub(stream.first());
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut records = Vec::new();
        for record in stream.records.iter().skip(skip).take(max as usize) {
            records.push(record.clone());
            bytes += wire::encoded_len(record);
            if bytes >= BATCH_BYTES {
                break;
            }
        }
        logs::Batch { epoch: 0, first: stream.first(), next: stream.next, records }
    }

    /// Drops the records that have expired at `now_millis`, in milliseconds since the Unix epoch.
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
