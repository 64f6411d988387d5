//! Where to read the `config` stream next: near its end first, further back while no snapshot has
//! told the state.

use crate::fold::{self, rules, snapshot};
use crate::logs;

/// Records before the end at which the first search for a snapshot starts.
const SPAN: u64 = 2 * snapshot::INTERVAL_RECORDS;

/// Factor by which the search widens when it finds none.
const WIDEN: u64 = 8;

/// Which offsets the stream keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// Oldest offset kept.
    pub first: logs::Offset,
    /// Offset of the next append.
    pub next: logs::Offset,
}

/// A fold with its place in the stream.
#[derive(Clone, Debug)]
pub struct Reader<R> {
    rules: R,
    fold: fold::Fold<R>,
    /// Bounds of the stream when it was last read; `None` before the first read.
    bounds: Option<Bounds>,
    /// Epoch of the log when it was last read.
    epoch: logs::Epoch,
    /// Where the fold was started; lowered while the search widens.
    start: logs::Offset,
    span: u64,
}

impl<R: rules::Rules + Clone> Reader<R> {
    /// A reader that has read nothing yet.
    pub fn new(rules: R) -> Self {
        let fold = fold::Fold::starting_at(rules.clone(), 0);
        Self { rules, fold, bounds: None, epoch: 0, start: 0, span: SPAN }
    }

    /// The state so far.
    pub const fn fold(&self) -> &fold::Fold<R> {
        &self.fold
    }

    /// Bounds of the stream when it was last read.
    pub const fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// The offset to read from; the first read, from the end, tells the bounds.
    pub fn from(&self) -> logs::Offset {
        if self.bounds.is_none() { logs::Offset::MAX } else { self.fold.next() }
    }

    /// Whether everything up to the end, as last seen, has been judged.
    pub fn caught_up(&self) -> bool {
        self.fold.state_known() && self.at_end()
    }

    /// Whether everything up to the end, as last seen, has been read.
    pub fn at_end(&self) -> bool {
        self.bounds.is_some_and(|b| self.fold.next() >= b.next)
    }

    /// Whether nothing the log keeps tells the state; a later snapshot may.
    pub fn needs_snapshot(&self) -> bool {
        !self.fold.state_known() && self.at_end() && !self.searching()
    }

    /// Whether the first state is still looked for and older records may tell it.
    pub fn searching(&self) -> bool {
        let older = self.bounds.is_some_and(|b| self.start > b.first);
        older && self.fold.current().is_none() && !self.fold.state_known()
    }

    /// Judges what a read from [`Reader::from`] gave. Offsets of another epoch name other records: the
    /// reader then begins anew.
    pub fn apply_batch(&mut self, batch: &logs::Batch) -> Vec<fold::Judged<R::Faults>> {
        let first = self.bounds.is_none();
        if !first && batch.epoch != self.epoch {
            *self = Self::new(self.rules.clone());
            return Vec::new();
        }
        self.epoch = batch.epoch;
        let bounds = Bounds { first: batch.first, next: batch.next };
        self.bounds = Some(bounds);
        if first {
            self.restart(bounds);
            if batch.records.is_empty() {
                return Vec::new();
            }
            // A log that keeps its newest state aside tells it with the bounds: a node that starts
            // knows it after one read in place of two.
            self.start = batch.first;
            self.fold = fold::Fold::starting_at(self.rules.clone(), self.start);
        }
        let judged = self.fold.apply_batch(batch);
        if self.searching() && self.at_end() {
            self.span = self.span.saturating_mul(WIDEN);
            self.restart(bounds);
        }
        judged
    }

    /// What the snapshot policy needs to know.
    pub fn snapshot_state(&self, unix_millis: u64, rank: u32) -> snapshot::State {
        let worth = self.fold.current().is_some() && self.caught_up();
        let bounds = self.bounds.unwrap_or_default();
        snapshot::State {
            replay_start: self.fold.replay_start().filter(|_| worth),
            first: bounds.first,
            next: bounds.next,
            rank,
            unix_millis,
        }
    }

    fn restart(&mut self, bounds: Bounds) {
        self.start = bounds.next.saturating_sub(self.span).max(bounds.first);
        self.fold = fold::Fold::starting_at(self.rules.clone(), self.start);
    }
}
