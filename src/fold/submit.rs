//! Publishes a file and learns its outcome, even when answers of the log service are lost.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::fold::{follow, id, outcomes, record, rules};
use crate::logs::{self, Failure as _};
use crate::version;

/// First pause after a failed request.
const INITIAL_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest pause after a failed request.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);

/// Longest wait of one read, so that the deadline is noticed soon after it has passed.
const MAX_READ_WAIT: time::Duration = time::Duration::from_millis(500);

/// The result of a publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The outcome of the publish.
    pub outcome: outcomes::Outcome,
    /// Whether an earlier call had published the file already.
    pub repeated: bool,
}

/// Why the outcome of a publish is not known.
#[derive(Debug, thiserror::Error)]
pub enum Error<E: std::error::Error> {
    /// The log service did not answer before the deadline.
    #[error("the log service can't be reached; {}", publish_state(*.uncertain))]
    Unreachable {
        /// Whether the record may have been appended, or may still be.
        uncertain: bool,
        /// The last failure; `None` if no request failed.
        #[source]
        source: Option<E>,
    },
    /// The log has records of a format that this build does not know, or its state has expired.
    #[error("the log does not tell this build the current version; {}", publish_state(*.uncertain))]
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
    /// When to give up with an error.
    deadline: Instant,
    pause: time::Duration,
    /// Whether an append was sent that may have had an effect.
    sent: bool,
}

impl<S, R> Submitter<S, R>
where
    S: logs::Service,
    R: rules::Rules + Clone,
{
    /// A submitter that gives up after the time `limit`.
    pub fn new(service: S, rules: R, limit: time::Duration, seed: u64) -> Self {
        let follower = follow::Follower::new(service, rules);
        let rng = SmallRng::seed_from_u64(seed);
        Self { follower, rng, deadline: Instant::now() + limit, pause: INITIAL_PAUSE, sent: false }
    }

    /// Publishes, unless the log shows that it was published before. Appends again only while the
    /// record is not in the log; if it gets there twice, its id makes the second one ineffective.
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

    /// The result, if the records read so far determine it.
    fn answer(&self, id: id::PublishId, base: version::Version) -> Option<Answer> {
        let repeated = !self.sent;
        if let Some(outcome) = self.follower.fold().outcome(id) {
            return Some(Answer { outcome, repeated });
        }
        let current = self.follower.fold().version();
        let outcome = outcomes::Outcome::Conflict { current };
        (base != current).then_some(Answer { outcome, repeated: false })
    }

    /// Appends once; returns the offset after the record if the append succeeded.
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
                self.pause_after(error).await?;
                Ok(None)
            }
        }
    }

    /// Reads to the end of the log and at least up to `next_offset`.
    async fn catch_up(&mut self, next_offset: logs::Offset) -> Result<(), Error<S::Error>> {
        let mut wait = time::Duration::ZERO;
        loop {
            if let Err(error) = self.follower.step(wait).await {
                self.pause_after(error).await?;
                continue;
            }
            if self.follower.caught_up() && self.follower.fold().next() >= next_offset {
                return Ok(());
            }
            if Instant::now() >= self.deadline {
                return Err(self.timeout_error());
            }
            wait = if self.follower.at_end() { MAX_READ_WAIT } else { time::Duration::ZERO };
        }
    }

    /// The error for a log that answers but did not give the state before the deadline.
    fn timeout_error(&self) -> Error<S::Error> {
        let uncertain = self.sent;
        if self.follower.needs_snapshot() {
            return Error::Unknown { uncertain };
        }
        Error::Unreachable { uncertain, source: None }
    }

    /// Pauses after `error`, twice as long each time up to the maximum, or gives up at the
    /// deadline.
    async fn pause_after(&mut self, error: S::Error) -> Result<(), Error<S::Error>> {
        let pause = self.pause.mul_f64(self.rng.random_range(0.5..1.0));
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if Instant::now() + pause >= self.deadline {
            return Err(Error::Unreachable { uncertain: self.sent, source: Some(error) });
        }
        tokio::time::sleep(pause).await;
        Ok(())
    }
}

const fn publish_state(uncertain: bool) -> &'static str {
    if uncertain {
        "the file may have been published, and publishing it again will tell"
    } else {
        "the file was not published"
    }
}
