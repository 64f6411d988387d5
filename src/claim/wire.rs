//! Frames between entry nodes and claim writers.

use std::time;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim;
use crate::claim::event;
use crate::claim::record;
use crate::host;

/// Largest frame, in bytes.
pub const FRAME_BYTES: usize = 1 << 20;

/// Limit on the claims or replies of one frame.
pub const MAX_PER_FRAME: usize = 4096;

/// First frame of a connection, sealed with the mesh's key.
///
/// Someone who can read the mesh's traffic can replay a greeting and then make claims in the name
/// of `from`: the seal keeps out peers without the key, not eavesdroppers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The host that connects.
    pub from: host::HostId,
    /// The host it connects to; any other host refuses the greeting.
    pub to: host::HostId,
}

/// A request for one claim or release.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Identifies the request on its connection.
    pub id: u64,
    /// The claim or release.
    pub entry: record::Entry,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u32,
}

/// A writer's answer in its encoded form, see [`claim::event::Answer`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reply {
    /// The claim is in the log.
    Claimed(claim::Verdict),
    /// The release is in the log.
    Released,
    /// The log can't be reached.
    Unavailable {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u32,
        /// Whether the entry may be in the log or may still reach it.
        written: bool,
    },
    /// Too many entries wait.
    Busy {
        /// How long to wait before a retry, in milliseconds.
        retry_ms: u32,
    },
    /// The deadline passed before the verdict.
    Late {
        /// Whether the entry may be in the log or may still reach it.
        written: bool,
    },
}

/// A frame to a writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Request {
    /// Claims and releases.
    Claims(Vec<ClaimRequest>),
    /// A total of usage for the `usage` stream.
    Usage {
        /// Identifies the total on its connection.
        id: u64,
        /// The encoded total.
        total: Bytes,
    },
}

/// A frame from a writer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Response {
    /// Replies, each with the id of its request.
    Claims(Vec<(u64, Reply)>),
    /// The total is in the log.
    Usage {
        /// Id of the total.
        id: u64,
    },
}

/// Encodes `message` as a frame.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    // Writing to a vector can't fail; every reader refuses an empty frame.
    postcard::to_stdvec(message).map(Bytes::from).unwrap_or_default()
}

/// Decodes the message of `frame`; `None` when it is malformed.
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
