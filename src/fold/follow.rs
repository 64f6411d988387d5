//! Follows the `config` stream of a log service and folds it.

use std::time;

use crate::fold::{self, rules, snapshot};
use crate::logs;

/// Records in one read.
const MOST: u32 = 64;

/// Records before the end at which the first search for a snapshot starts.
const SPAN: u64 = 2 * snapshot::EVERY;

/// Factor by which the search widens when it finds none.
const WIDEN: u64 = 8;

/// A reader of the stream. It starts near the end, looks for a snapshot, and goes further back
/// when there is none.
#[derive(Clone, Debug)]
pub struct Follower<S, R> {
    service: S,
    rules: R,
    fold: fold::Fold<R>,
    /// Bounds of the stream when it was last read; `None` before the first read.
    bounds: Option<Bounds>,
    /// Where the fold was started; lowered while the search widens.
    start: logs::Offset,
    span: u64,
}

/// Which offsets the stream keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Bounds {
    /// Oldest offset kept.
    pub first: logs::Offset,
    /// Offset of the next append.
    pub next: logs::Offset,
}

impl<S, R> Follower<S, R>
where
    S: logs::Service,
    R: rules::Rules + Clone,
{
    /// A follower that has read nothing yet.
    pub fn new(service: S, rules: R) -> Self {
        let fold = fold::Fold::starting_at(rules.clone(), 0);
        Self { service, rules, fold, bounds: None, start: 0, span: SPAN }
    }

    /// The state so far.
    pub const fn fold(&self) -> &fold::Fold<R> {
        &self.fold
    }

    /// The log service.
    pub const fn service(&self) -> &S {
        &self.service
    }

    /// Bounds of the stream when it was last read.
    pub const fn bounds(&self) -> Option<Bounds> {
        self.bounds
    }

    /// Whether everything up to the end, as last seen, has been judged.
    pub fn caught_up(&self) -> bool {
        self.fold.settled() && self.at_end()
    }

    /// Whether everything up to the end, as last seen, has been read.
    pub fn at_end(&self) -> bool {
        self.bounds.is_some_and(|b| self.fold.next() >= b.next)
    }

    /// Whether nothing the log keeps tells the state; a later snapshot may.
    pub fn stranded(&self) -> bool {
        !self.fold.settled() && self.at_end() && !self.searching()
    }

    /// Reads once and judges what came. At the end of the stream waits up to `wait` for more.
    pub async fn step(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<fold::Judged<R::Faults>>, S::Error> {
        if self.bounds.is_none() {
            self.locate().await?;
        }
        let wait = if self.searching() { time::Duration::ZERO } else { wait };
        let from = self.fold.next();
        let batch = self.service.read(logs::streams::CONFIG, from, MOST, wait).await?;
        self.bounds = Some(Bounds { first: batch.first, next: batch.next });
        let judged = self.fold.take(&batch);
        self.widen();
        Ok(judged)
    }

    /// What the snapshot policy needs to know.
    pub fn snapshot_state(&self, unix_millis: u64, rank: u32) -> snapshot::State {
        let worth = self.fold.current().is_some() && self.caught_up();
        let bounds = self.bounds.unwrap_or_default();
        snapshot::State {
            anchor: self.fold.anchor().filter(|_| worth),
            first: bounds.first,
            next: bounds.next,
            rank,
            unix_millis,
        }
    }

    /// Starts near the end.
    async fn locate(&mut self) -> Result<(), S::Error> {
        let end = logs::Offset::MAX;
        let empty = time::Duration::ZERO;
        let batch = self.service.read(logs::streams::CONFIG, end, 0, empty).await?;
        self.bounds = Some(Bounds { first: batch.first, next: batch.next });
        self.restart(batch.first, batch.next);
        Ok(())
    }

    /// Starts further back when the records since the last start do not tell the state.
    fn widen(&mut self) {
        let Some(bounds) = self.bounds else {
            return;
        };
        if self.searching() && self.at_end() {
            self.span = self.span.saturating_mul(WIDEN);
            self.restart(bounds.first, bounds.next);
        }
    }

    fn restart(&mut self, first: logs::Offset, next: logs::Offset) {
        self.start = next.saturating_sub(self.span).max(first);
        self.fold = fold::Fold::starting_at(self.rules.clone(), self.start);
    }

    /// Whether the first state is still looked for and older records may tell it.
    fn searching(&self) -> bool {
        let older = self.bounds.is_some_and(|b| self.start > b.first);
        older && self.fold.current().is_none() && !self.fold.settled()
    }
}
