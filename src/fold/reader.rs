//! Reader of the `config` stream: decides from which offset to read. It starts near the end of the
//! stream and goes further back until a snapshot gives the state.

use crate::fold::{self, rules, snapshot};
use crate::logs;

/// Number of records from the end of the stream that the first search for a snapshot covers.
const INITIAL_SEARCH_RECORDS: u64 = 2 * snapshot::INTERVAL_RECORDS;

/// Factor by which the search grows when it finds no snapshot.
const SEARCH_GROWTH: u64 = 8;

/// The range of offsets that the stream holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// Offset of the oldest record that is kept.
    pub first: logs::Offset,
    /// Offset of the next append.
    pub next: logs::Offset,
}

/// A fold with its position in the stream.
#[derive(Clone, Debug)]
pub struct Reader<R> {
    rules: R,
    fold: fold::Fold<R>,
    /// Bounds of the stream when it was last read; `None` before the first read.
    bounds: Option<Bounds>,
    /// Epoch of the log when it was last read.
    epoch: logs::Epoch,
    /// Offset at which the fold started; lowered when the search grows.
    start: logs::Offset,
    search_records: u64,
}

impl<R: rules::Rules + Clone> Reader<R> {
    /// A reader that has read nothing yet.
    pub fn new(rules: R) -> Self {
        let fold = fold::Fold::starting_at(rules.clone(), 0);
        Self {
            rules,
            fold,
            bounds: None,
            epoch: 0,
            start: 0,
            search_records: INITIAL_SEARCH_RECORDS,
        }
    }

    /// The state after the records read so far.
    pub const fn fold(&self) -> &fold::Fold<R> {
        &self.fold
    }

    /// Bounds of the stream when it was last read.
    pub const fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// The offset to read from. The first read is at the end and gives the bounds.
    pub fn from(&self) -> logs::Offset {
        if self.bounds.is_none() { logs::Offset::MAX } else { self.fold.next() }
    }

    /// Whether the state at the last known end of the stream is known.
    pub fn caught_up(&self) -> bool {
        self.fold.state_known() && self.at_end()
    }

    /// Whether all records up to the last known end of the stream have been read.
    pub fn at_end(&self) -> bool {
        self.bounds.is_some_and(|b| self.fold.next() >= b.next)
    }

    /// Whether the records that the log keeps do not give the state, so that the reader must wait
    /// for a new snapshot.
    pub fn needs_snapshot(&self) -> bool {
        !self.fold.state_known() && self.at_end() && !self.searching()
    }

    /// Whether the reader has no state yet and may find it in older records.
    pub fn searching(&self) -> bool {
        let older = self.bounds.is_some_and(|b| self.start > b.first);
        older && self.fold.current().is_none() && !self.fold.state_known()
    }

    /// Judges the records of a read from [`Reader::from`]. If the epoch has changed, offsets refer
    /// to other records, and the reader starts over.
    pub fn apply_batch(&mut self, batch: &logs::Batch) -> Vec<fold::Judged<R::Faults>> {
        let first_read = self.bounds.is_none();
        if !first_read && batch.epoch != self.epoch {
            *self = Self::new(self.rules.clone());
            return Vec::new();
        }
        self.epoch = batch.epoch;
        let bounds = Bounds { first: batch.first, next: batch.next };
        self.bounds = Some(bounds);
        if first_read {
            self.restart(bounds);
            if batch.records.is_empty() {
                return Vec::new();
            }
            // A log that accepts configurations itself returns the newest one with the bounds, so
            // that a node that starts knows the state after one read instead of two.
            self.start = batch.first;
            self.fold = fold::Fold::starting_at(self.rules.clone(), self.start);
        }
        let judged = self.fold.apply_batch(batch);
        if self.searching() && self.at_end() {
            self.search_records = self.search_records.saturating_mul(SEARCH_GROWTH);
            self.restart(bounds);
        }
        judged
    }

    /// The input of the snapshot policy.
    pub fn snapshot_state(&self, unix_millis: u64, rank: u32) -> snapshot::State {
        let complete = self.fold.current().is_some() && self.caught_up();
        let bounds = self.bounds.unwrap_or_default();
        snapshot::State {
            replay_start: self.fold.replay_start().filter(|_| complete),
            first: bounds.first,
            next: bounds.next,
            rank,
            unix_millis,
        }
    }

    fn restart(&mut self, bounds: Bounds) {
        self.start = bounds.next.saturating_sub(self.search_records).max(bounds.first);
        self.fold = fold::Fold::starting_at(self.rules.clone(), self.start);
    }
}
