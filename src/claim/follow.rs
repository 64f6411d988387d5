//! Where to begin to read a stream, and reading on from there.
//!
//! Only the claims of the last window matter. Their first record is found by bisection of the
//! offsets by the log's own times, so that a writer which takes over reads one window and not all
//! that the log keeps.

use std::time;

use crate::logs;

/// Records asked for at once.
const BATCH: u32 = 64;

/// A read to be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// From which offset on.
    pub from: logs::Offset,
    /// How many records at most.
    pub most: u32,
    /// Whether to wait for one when there is none.
    pub wait: bool,
}

/// How far the reader is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// Asks for the ends of the stream.
    Probe,
    /// Asks for the time of the record at this offset, the last one.
    Last(logs::Offset),
    /// Bisects: records before `low` are too old, the one at `high` is not.
    Search { low: logs::Offset, high: logs::Offset, since_ms: u64 },
    /// Reads on.
    Tail,
}

/// Reads one stream from a window back on.
#[derive(Clone, Copy, Debug)]
pub struct Follower {
    window_ms: u64,
    stage: Stage,
    next: logs::Offset,
    current: bool,
    /// Epoch of the last read.
    epoch: Option<logs::Epoch>,
}

/// What a batch means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Its records come next.
    Take,
    /// It told where to look; its records are not for use.
    Look,
    /// The log came back from an older copy: what was folded stays true, reading begins anew.
    Back,
    /// Records expired before they were read: all that was folded is void, reading begins anew.
    Gap,
}

impl Follower {
    /// A reader that begins `window` before the last record.
    pub fn new(window: time::Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        Self { window_ms, stage: Stage::Probe, next: 0, current: false, epoch: None }
    }

    /// Whether everything that was in the stream at the last read has been read.
    pub const fn current(&self) -> bool {
        self.current
    }

    /// Notes that a read failed: what was read may be behind.
    pub const fn fail(&mut self) {
        self.current = false;
    }

    /// The read to make now.
    pub const fn read(&self) -> Read {
        match self.stage {
            Stage::Probe => Read { from: 0, most: 1, wait: false },
            Stage::Last(offset) => Read { from: offset, most: 1, wait: false },
            Stage::Search { low, high, .. } => {
                Read { from: low + (high - low) / 2, most: 1, wait: false }
            }
            Stage::Tail => Read { from: self.next, most: BATCH, wait: self.current },
        }
    }

    /// Takes what the last read gave.
    pub fn take(&mut self, batch: &logs::Batch) -> Step {
        let before = self.epoch.replace(batch.epoch);
        if before.is_some_and(|before| before != batch.epoch) {
            self.restart();
            return Step::Back;
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
        Step::Look
    }

    fn last(&mut self, batch: &logs::Batch) -> Step {
        match batch.records.first() {
            Some(record) => {
                // A quarter more than the window, as clocks of the log may step back a little.
                let reach = self.window_ms.saturating_add(self.window_ms / 4);
                let since_ms = record.unix_millis.saturating_sub(reach);
                self.stage = Stage::Search { low: batch.first, high: record.offset, since_ms };
                self.settle();
            }
            None => self.stage = Stage::Probe,
        }
        Step::Look
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
        self.settle();
        Step::Look
    }

    /// Ends the bisection when its ends meet.
    fn settle(&mut self) {
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
        Step::Take
    }
}
