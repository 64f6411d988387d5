//! Reads the `config` stream from a log service and replays it.

use std::time;

use crate::fold::{self, reader, rules};
use crate::logs;

/// Largest number of records in one read.
const MAX_RECORDS: u32 = 64;

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

    /// The state after the records read so far.
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

    /// Reads and judges the next records; at the end of the stream, waits up to `wait` for them.
    /// The first call reads twice, as the first read only gives the bounds of the stream.
    pub async fn step(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<fold::Judged<R::Faults>>, S::Error> {
        if self.reader.bounds().is_none() {
            self.read(0, time::Duration::ZERO).await?;
        }
        let wait = if self.reader.searching() { time::Duration::ZERO } else { wait };
        self.read(MAX_RECORDS, wait).await
    }

    async fn read(
        &mut self,
        max: u32,
        wait: time::Duration,
    ) -> Result<Vec<fold::Judged<R::Faults>>, S::Error> {
        let from = self.reader.from();
        let batch = self.service.read(logs::streams::CONFIG, from, max, wait).await?;
        Ok(self.reader.apply_batch(&batch))
    }
}
