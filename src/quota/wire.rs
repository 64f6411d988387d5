//! Messages between entry nodes and holders: one `postcard` message in each sealed datagram.

use serde::{Deserialize, Serialize};

use crate::quota;
use crate::seal;

/// Largest datagram, in bytes: a tag and the longest message.
pub const MAX_BYTES: usize = 64;

/// A request of an entry node for credits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Identifies the process of the entry node.
    pub session: u32,
    /// Number of the request, which increases with each one of the process.
    pub number: u64,
    /// The organisation whose account is asked.
    pub organisation: quota::OrganisationId,
    /// Credits that are wanted.
    pub want: u16,
    /// How many of them are for calls that wait.
    pub waiting: u16,
    /// Earlier credits that have expired without use.
    pub returned: u16,
}

/// What a holder answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// Credits are lent, possibly fewer than wanted.
    Lent {
        /// Number of credits, at least 1.
        credits: u16,
        /// How long they are valid, counted from the sending of the request, in milliseconds.
        lifetime_ms: u16,
    },
    /// The limit is reached.
    Denied {
        /// Time until a credit is due for the first call that waits, in milliseconds.
        wait_ms: u16,
    },
    /// The node is not the holder, or became it a short time ago.
    NotReady,
}

/// The answer of a holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// [`Ask::session`] of the request.
    pub session: u32,
    /// [`Ask::number`] of the request.
    pub number: u64,
    /// [`Ask::organisation`] of the request.
    pub organisation: quota::OrganisationId,
    /// The answer.
    pub verdict: Verdict,
}

/// A message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// To a holder.
    Ask(Ask),
    /// To an entry node.
    Reply(Reply),
}

/// Why a datagram was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It was not made by a node of this mesh.
    #[error(transparent)]
    Seal(#[from] seal::Error),
    /// It contains no message.
    #[error("the datagram contains no message")]
    Malformed(#[from] postcard::Error),
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// Fails when the codec fails.
    pub fn encode(&self, seal: &seal::Seal) -> Result<Vec<u8>, Error> {
        let mut buffer = [0; MAX_BYTES];
        Ok(seal.seal(postcard::to_slice(self, &mut buffer)?))
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails when it was not made by a node of this mesh.
    pub fn decode(datagram: &[u8], seal: &seal::Seal) -> Result<Self, Error> {
        Ok(postcard::from_bytes(seal.open(datagram)?)?)
    }
}
