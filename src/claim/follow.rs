//! Finds the offset from which a stream is replayed and reads on from there.
//!
//! Only the claims of the last window matter. Their first record is found by a binary search over
//! the offsets, by the log's own times, so that a writer that takes over reads one window instead
//! of everything that the log retains.

use std::time;

use crate::logs;

/// Records requested in one read.
const BATCH_RECORDS: u32 = 64;

/// A read to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// First offset to read.
    pub from: logs::Offset,
    /// Limit on the number of records.
    pub max: u32,
    /// Whether to wait for a record when there is none.
    pub wait: bool,
}

/// Progress of the follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Reads the bounds of the stream.
    Probe,
    /// Reads the time of the last record, which is at this offset.
    Last(logs::Offset),
    /// Binary search: records before `low` are older than `since_ms`, the one at `high` is not.
    Search { low: logs::Offset, high: logs::Offset, since_ms: u64 },
    /// Reads the records from the found offset on.
    Tail,
}

/// Reads one stream, starting one window before its last record.
#[derive(Clone, Copy, Debug)]
pub struct Follower {
    window_ms: u64,
    stage: Stage,
    next: logs::Offset,
    current: bool,
    /// Epoch of the last read.
    epoch: Option<logs::Epoch>,
}

/// What to do with a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Apply its records, which are the next ones.
    Apply,
    /// Ignore its records; they only served to find the starting offset.
    Seek,
    /// The log was restored from an older copy: the replayed state is kept, reading starts over.
    Restored,
    /// Records expired before they were read: discard the replayed state, reading starts over.
    Gap,
}

impl Follower {
    /// A follower that starts `window` before the last record.
    pub fn new(window: time::Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        Self { window_ms, stage: Stage::Probe, next: 0, current: false, epoch: None }
    }

    /// Whether all records that the stream held at the last read have been read.
    pub const fn current(&self) -> bool {
        self.current
    }

    /// Records that a read failed, after which the replayed state may be outdated.
    pub const fn fail(&mut self) {
        self.current = false;
    }

    /// The read to make next.
    pub const fn read(&self) -> Read {
        match self.stage {
            Stage::Probe => Read { from: 0, max: 1, wait: false },
            Stage::Last(offset) => Read { from: offset, max: 1, wait: false },
            Stage::Search { low, high, .. } => {
                Read { from: low + (high - low) / 2, max: 1, wait: false }
            }
            Stage::Tail => Read { from: self.next, max: BATCH_RECORDS, wait: self.current },
        }
    }

    /// Handles the batch of the last read.
    pub fn advance(&mut self, batch: &logs::Batch) -> Step {
        let before = self.epoch.replace(batch.epoch);
        if before.is_some_and(|before| before != batch.epoch) {
            self.restart();
            return Step::Restored;
        }
        match self.stage {
            Stage::Probe => self.probe(batch),
            Stage::Last(_) => self.last(batch),
            Stage::Search { low, high, since_ms } => self.search(batch, low, high, since_ms),
            Stage::Tail => self.tail(batch),
        }
    }

    fn restart(&mut self) {
        *self = Self { stage: Stage::Probe, next: 0, current: false, ..*self };
    }

    fn probe(&mut self, batch: &logs::Batch) -> Step {
        match batch.next.checked_sub(1) {
            Some(last) if batch.first < batch.next => self.stage = Stage::Last(last),
            _ => self.begin(batch.next),
        }
        Step::Seek
    }

    fn last(&mut self, batch: &logs::Batch) -> Step {
        match batch.records.first() {
            Some(record) => {
                // A quarter more than the window, since the log's clock may step back a little.
                let span_ms = self.window_ms.saturating_add(self.window_ms / 4);
                let since_ms = record.unix_millis.saturating_sub(span_ms);
                self.stage = Stage::Search { low: batch.first, high: record.offset, since_ms };
                self.finish_search();
            }
            None => self.stage = Stage::Probe,
        }
        Step::Seek
    }

    fn search(
        &mut self,
        batch: &logs::Batch,
        low: logs::Offset,
        high: logs::Offset,
        since_ms: u64,
    ) -> Step {
        match batch.records.first() {
            Some(record) if record.unix_millis < since_ms => {
                let low = record.offset.saturating_add(1).max(low + 1);
                self.stage = Stage::Search { low, high, since_ms };
            }
            Some(_) => {
                let high = low + (high - low) / 2;
                self.stage = Stage::Search { low, high, since_ms };
            }
            None => self.stage = Stage::Probe,
        }
        self.finish_search();
        Step::Seek
    }

    /// Ends the binary search when its bounds meet.
    fn finish_search(&mut self) {
        if let Stage::Search { low, high, .. } = self.stage
            && low >= high
        {
            self.begin(high);
        }
    }

    fn begin(&mut self, next: logs::Offset) {
        self.stage = Stage::Tail;
        self.next = next;
        self.current = false;
    }

    fn tail(&mut self, batch: &logs::Batch) -> Step {
        if batch.first > self.next || batch.next < self.next {
            self.restart();
            return Step::Gap;
        }
        if let Some(last) = batch.records.last() {
            self.next = last.offset.saturating_add(1);
        }
        self.current = self.next >= batch.next;
        Step::Apply
    }
}
