//! Publishes a file and finds out what became of it, even when answers are lost.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::fold::{follow, id, outcomes, record, rules};
use crate::logs::{self, Failure as _};
use crate::version;

/// First pause after a failed request.
const PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest pause.
const PAUSE_MOST: time::Duration = time::Duration::from_secs(1);

/// Longest one read waits, so that an end of the allowed time is noticed.
const READ_WAIT: time::Duration = time::Duration::from_millis(500);

/// What became of a publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The verdict.
    pub outcome: outcomes::Outcome,
    /// Whether it had been reached before this call.
    pub repeated: bool,
}

/// Why nothing can be said about a publish.
#[derive(Debug, thiserror::Error)]
pub enum Error<E: std::error::Error> {
    /// The log service did not answer within the allowed time.
    #[error("the log service can't be reached; {}", fate(*.uncertain))]
    Unreachable {
        /// Whether the record may have been appended, or may still be.
        uncertain: bool,
        /// The last failure, if a request failed at all.
        #[source]
        source: Option<E>,
    },
    /// The log has records of a format this build does not know, or its state has expired.
    #[error("the log does not tell this build the current version; {}", fate(*.uncertain))]
    Unknown {
        /// Whether the record may have been appended, or may still be.
        uncertain: bool,
    },
    /// The record can't be encoded.
    #[error("the record can't be encoded")]
    Encode(#[from] record::Error),
}

/// Publishes through a log service.
#[derive(Debug)]
pub struct Submitter<S, R> {
    follower: follow::Follower<S, R>,
    rng: SmallRng,
    /// When to give up.
    end: Instant,
    pause: time::Duration,
    /// Whether an append was sent whose answer did not say that it had no effect.
    sent: bool,
}

impl<S, R> Submitter<S, R>
where
    S: logs::Service,
    R: rules::Rules + Clone,
{
    /// A submitter that gives up after `limit`.
    pub fn new(service: S, rules: R, limit: time::Duration, seed: u64) -> Self {
        let follower = follow::Follower::new(service, rules);
        let rng = SmallRng::seed_from_u64(seed);
        Self { follower, rng, end: Instant::now() + limit, pause: PAUSE, sent: false }
    }

    /// Publishes, or finds that it was published before. Appends again only when the record is
    /// not in the log; a record that turns up twice after all has one effect, by its id.
    pub async fn submit(mut self, publish: record::Publish) -> Result<Answer, Error<S::Error>> {
        let id = publish.id;
        let base = publish.base;
        let body = record::encode(&record::Record::Publish(publish))?;
        let mut next_offset = 0;
        loop {
            self.catch_up(next_offset).await?;
            if let Some(answer) = self.answer(id, base) {
                return Ok(answer);
            }
            next_offset = self.append(body.clone()).await?.unwrap_or(next_offset);
        }
    }

    /// The verdict as far as the log tells it now.
    fn answer(&self, id: id::PublishId, base: version::Version) -> Option<Answer> {
        let repeated = !self.sent;
        if let Some(outcome) = self.follower.fold().outcome(id) {
            return Some(Answer { outcome, repeated });
        }
        let current = self.follower.fold().version();
        let outcome = outcomes::Outcome::Conflict { current };
        (base != current).then_some(Answer { outcome, repeated: false })
    }

    /// Appends once; the offset after the record if the service told it.
    async fn append(
        &mut self,
        body: bytes::Bytes,
    ) -> Result<Option<logs::Offset>, Error<S::Error>> {
        let service = self.follower.service().clone();
        match service.append(logs::streams::CONFIG, body).await {
            Ok(offset) => {
                self.sent = true;
                Ok(Some(offset + 1))
            }
            Err(error) => {
                self.sent |= error.uncertain();
                self.rest(error).await?;
                Ok(None)
            }
        }
    }

    /// Reads to the end of the log, and at least up to `next_offset`.
    async fn catch_up(&mut self, next_offset: logs::Offset) -> Result<(), Error<S::Error>> {
        let mut wait = time::Duration::ZERO;
        loop {
            if let Err(error) = self.follower.step(wait).await {
                self.rest(error).await?;
                continue;
            }
            if self.follower.caught_up() && self.follower.fold().next() >= next_offset {
                return Ok(());
            }
            if Instant::now() >= self.end {
                return Err(self.late());
            }
            wait = if self.follower.at_end() { READ_WAIT } else { time::Duration::ZERO };
        }
    }

    /// Why the log did not tell the state in time, although it answers.
    fn late(&self) -> Error<S::Error> {
        let uncertain = self.sent;
        if self.follower.needs_snapshot() {
            return Error::Unknown { uncertain };
        }
        Error::Unreachable { uncertain, source: None }
    }

    /// Pauses after `error`, a little longer each time, or gives up.
    async fn rest(&mut self, error: S::Error) -> Result<(), Error<S::Error>> {
        let pause = self.pause.mul_f64(self.rng.random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(PAUSE_MOST);
        if Instant::now() + pause >= self.end {
            return Err(Error::Unreachable { uncertain: self.sent, source: Some(error) });
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }
}

const fn fate(uncertain: bool) -> &'static str {
    if uncertain {
        "the file may have been published, and publishing it again will tell"
    } else {
        "the file was not published"
    }
}
