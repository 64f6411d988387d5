//! Frames between entries and writers.

use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::claim::event;
use crate::claim::record;
use crate::host;

/// Largest frame, in bytes.
pub const FRAME_BYTES: usize = 1 << 20;

/// Most questions or replies in one frame.
pub const MOST: usize = 4096;

/// First frame of a connection, sealed with the mesh's key. A greeting that is replayed opens a
/// connection on which claims can be made in the name of `from`, by whoever can read the traffic
/// of the mesh; the seal keeps strangers out, not those who listen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Who connects.
    pub from: host::HostId,
    /// To whom; another host refuses it.
    pub to: host::HostId,
}

/// One claim or release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// Names the question on its connection.
    pub id: u64,
    /// What is asked.
    pub entry: record::Entry,
    /// How long an answer is of use, in milliseconds.
    pub left_ms: u32,
}

/// What a writer says, see [`claim::event::Answer`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The log has the claim.
    Claimed(claim::Verdict),
    /// The log has the release.
    Released,
    /// The log can't be reached.
    Unavailable {
        /// When another try may be worth it, in milliseconds.
        retry_ms: u32,
        /// Whether the entry may be in the log or still get there.
        written: bool,
    },
    /// Too much waits.
    Busy {
        /// When another try may be worth it, in milliseconds.
        retry_ms: u32,
    },
    /// The time left passed before the verdict.
    Late {
        /// Whether the entry may be in the log or still get there.
        written: bool,
    },
}

/// A frame to a writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ask {
    /// Claims and releases.
    Claims(Vec<Question>),
    /// A record for the `usage` stream.
    Usage {
        /// Names the record on its connection.
        id: u64,
        /// The record.
        record: Bytes,
    },
}

/// A frame from a writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Tell {
    /// Replies by the number of their question.
    Claims(Vec<(u64, Reply)>),
    /// The record is in the log.
    Usage {
        /// Number of the record.
        id: u64,
    },
}

/// The frame of `message`.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    // Writing to a vector can't fail; an empty frame is refused by every reader.
    postcard::to_stdvec(message).map(Bytes::from).unwrap_or_default()
}

/// The message of `frame`, `None` when it is malformed.
pub fn decode<T: serde::de::DeserializeOwned>(frame: &[u8]) -> Option<T> {
    let (message, rest) = postcard::take_from_bytes(frame).ok()?;
    rest.is_empty().then_some(message)
}

impl From<event::Answer> for Reply {
    fn from(answer: event::Answer) -> Self {
        let millis = |d: time::Duration| u32::try_from(d.as_millis()).unwrap_or(u32::MAX);
        match answer {
            event::Answer::Claimed(verdict) => Reply::Claimed(verdict),
            event::Answer::Released => Reply::Released,
            event::Answer::Failed { error, written } => match error {
                claim::Error::Unavailable { retry_after } => {
                    Reply::Unavailable { retry_ms: millis(retry_after), written }
                }
                claim::Error::Busy { retry_after } => Reply::Busy { retry_ms: millis(retry_after) },
                claim::Error::Late => Reply::Late { written },
            },
        }
    }
}

impl From<Reply> for event::Answer {
    fn from(reply: Reply) -> Self {
        let after = |millis: u32| time::Duration::from_millis(u64::from(millis));
        let (error, written) = match reply {
            Reply::Claimed(verdict) => return event::Answer::Claimed(verdict),
            Reply::Released => return event::Answer::Released,
            Reply::Unavailable { retry_ms, written } => {
                (claim::Error::Unavailable { retry_after: after(retry_ms) }, written)
            }
            Reply::Busy { retry_ms } => {
                (claim::Error::Busy { retry_after: after(retry_ms) }, false)
            }
            Reply::Late { written } => (claim::Error::Late, written),
        };
        event::Answer::Failed { error, written }
    }
}
