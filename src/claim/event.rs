//! What goes into a writer of claims and what comes out of it.

use std::time;

use crate::claim;
use crate::claim::follow;
use crate::claim::record;
use crate::clock;
use crate::logs;

/// Names who asked, to the shell.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// Names an append, to the shell.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// How a writer works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Least time between two appends.
    pub append_interval: time::Duration,
    /// How long a claim is remembered.
    pub window: time::Duration,
    /// Longest an append may take to be read back before the log counts as failing.
    pub append_timeout: time::Duration,
    /// Most entries that wait.
    pub max_waiting: usize,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is in the log.
    Done,
    /// It is not in the log and will not be.
    Refused,
    /// Its answer was lost.
    Unknown,
}

/// What happens to a writer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Somebody claims or releases.
    Ask {
        /// Who asks.
        token: Token,
        /// What for.
        entry: record::Entry,
        /// Until when an answer is of use.
        deadline: clock::Instant,
    },
    /// An append has ended.
    Appended {
        /// Which one.
        ticket: Ticket,
        /// How it ended, as far as its answer tells.
        end: End,
    },
    /// The read has ended: with a batch, or failed.
    Read(Option<logs::Batch>),
    /// Time has passed.
    Tick,
}

/// What a writer says of a claim or a release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The log has the claim; this is its verdict.
    Claimed(claim::Verdict),
    /// The log has the release.
    Released,
    /// There is no verdict.
    Failed {
        /// Why.
        error: claim::Error,
        /// Whether the entry may be in the log or still get there.
        written: bool,
    },
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer whoever asked.
    Answer(Token, Answer),
    /// Append this record.
    Append(Ticket, bytes::Bytes),
    /// Read; one read at a time is asked for.
    Read(follow::Read),
}
