//! Inputs and outputs of a claim writer.

use std::time;

use crate::claim;
use crate::claim::follow;
use crate::claim::record;
use crate::clock;
use crate::logs;

/// Identifies a request to the writer; the answer carries it back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Identifies an append; its outcome carries it back.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AppendId(pub u64);

/// Limits of a writer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Shortest time between two appends.
    pub append_interval: time::Duration,
    /// How long a claim is remembered.
    pub window: time::Duration,
    /// How long an append may take to be read back before the log counts as failing.
    pub append_timeout: time::Duration,
    /// Limit on entries that wait for an answer.
    pub max_waiting: usize,
}

/// What is known about a finished append.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendOutcome {
    /// It is in the log.
    Appended,
    /// It is not in the log and will not be.
    NotAppended,
    /// Its answer was lost.
    Unknown,
}

/// An input of a writer.
#[derive(Clone, Debug)]
pub enum Event {
    /// A claim or a release is requested.
    Request {
        /// Identifies the request.
        token: Token,
        /// The claim or release.
        entry: record::Entry,
        /// When an answer is no longer needed.
        deadline: clock::Instant,
    },
    /// An append has finished.
    Appended {
        /// The append.
        id: AppendId,
        /// Its outcome, as far as the answer of the log shows it.
        outcome: AppendOutcome,
    },
    /// The read has finished: with a batch, or `None` if it failed.
    Read(Option<logs::Batch>),
    /// Time has passed.
    Tick,
}

/// A writer's answer to a claim or a release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The claim is in the log; this is its verdict.
    Claimed(claim::Verdict),
    /// The release is in the log.
    Released,
    /// There is no verdict.
    Failed {
        /// The reason.
        error: claim::Error,
        /// Whether the entry may be in the log or may still reach it.
        written: bool,
    },
}

/// What the caller of a writer has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer the request.
    Answer(Token, Answer),
    /// Append this record to the stream.
    Append(AppendId, bytes::Bytes),
    /// Read from the stream; there is at most one read at a time.
    Read(follow::Read),
}
