//! Sends some answers of an upstream once more: late, at once, or behind another answer.
//!
//! An upstream whose answers are resent by a layer of its own, or that confuses two requests of one
//! connection, sends an answer where that of another request is expected. The copies are made below
//! the HTTP library, which never sends an answer that nobody asked for.

mod copies;
mod framer;
mod stream;

#[cfg(test)]
mod tests;

use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

pub use stream::Stream;

/// When the copy of an answer is sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Once the next request on the connection arrives, before its answer.
    #[default]
    Late,
    /// Right behind the answer.
    AtOnce,
    /// Some milliseconds after the answer.
    Delayed,
    /// Two copies, once the next request on the connection arrives.
    Twice,
    /// Once the request after the next one on the connection arrives.
    Behind,
}

/// Which answers are repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Of {
    /// All.
    #[default]
    All,
    /// Those that say that the call was not run.
    Rejections,
    /// All others.
    Successes,
}

impl Of {
    /// Whether an answer is repeated that rejects its call, or doesn't.
    pub fn covers(self, rejection: bool) -> bool {
        match self {
            Self::All => true,
            Self::Rejections => rejection,
            Self::Successes => !rejection,
        }
    }
}

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// Id of the request that it echoes.
    pub id: SmolStr,
    /// Whether it says that the call was not run.
    pub rejection: bool,
}

/// The copies of one answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Copies {
    /// When they are sent.
    pub how: How,
    /// Time from the answer to its copy, for [`How::Delayed`].
    pub delay: time::Duration,
}

/// Decides which answers are repeated.
pub trait Source {
    /// The copies of the answer with this head; `None` if it is not repeated.
    fn copies(&self, head: &Head) -> Option<Copies>;

    /// Records that a copy was sent.
    fn record(&self);
}
