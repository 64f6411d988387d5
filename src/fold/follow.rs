//! Follows the `config` stream of a log service and folds it.

use std::time;

use crate::fold::{self, reader, rules};
use crate::logs;

/// Records in one read.
const MOST: u32 = 64;

/// A [`reader::Reader`] with the log service it reads.
#[derive(Clone, Debug)]
pub struct Follower<S, R> {
    service: S,
    reader: reader::Reader<R>,
}

impl<S, R> Follower<S, R>
where
    S: logs::Service,
    R: rules::Rules + Clone,
{
    /// A follower that has read nothing yet.
    pub fn new(service: S, rules: R) -> Self {
        Self { service, reader: reader::Reader::new(rules) }
    }

    /// The state so far.
    pub const fn fold(&self) -> &fold::Fold<R> {
        self.reader.fold()
    }

    /// The log service.
    pub const fn service(&self) -> &S {
        &self.service
    }

    /// See [`reader::Reader::caught_up`].
    pub fn caught_up(&self) -> bool {
        self.reader.caught_up()
    }

    /// See [`reader::Reader::at_end`].
    pub fn at_end(&self) -> bool {
        self.reader.at_end()
    }

    /// See [`reader::Reader::needs_snapshot`].
    pub fn needs_snapshot(&self) -> bool {
        self.reader.needs_snapshot()
    }

    /// Reads once and judges what came. At the end of the stream waits up to `wait` for more.
    pub async fn step(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<fold::Judged<R::Faults>>, S::Error> {
        if self.reader.bounds().is_none() {
            self.read(0, time::Duration::ZERO).await?;
        }
        let wait = if self.reader.searching() { time::Duration::ZERO } else { wait };
        self.read(MOST, wait).await
    }

    async fn read(
        &mut self,
        most: u32,
        wait: time::Duration,
    ) -> Result<Vec<fold::Judged<R::Faults>>, S::Error> {
        let from = self.reader.from();
        let batch = self.service.read(logs::streams::CONFIG, from, most, wait).await?;
        Ok(self.reader.apply_batch(&batch))
    }
}
