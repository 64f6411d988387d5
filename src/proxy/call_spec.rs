//! What an owner node needs to know of a call, and the run time that results.

use std::time::Duration;

use http::header;

use crate::admit;
use crate::clock;

/// How long an upstream took to begin its answer; stored in the extensions of the answer.
#[derive(Clone, Copy, Debug)]
pub struct RunTime(pub Duration);

/// What an owner node needs to know of a call, besides the request for the upstream.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec<'a> {
    /// The service that the upstream must serve.
    pub service: &'a str,
    /// The class that the upstream must have; `None` allows all.
    pub class: Option<&'a str>,
    /// Name of the call's kind; empty if the entry node sent none.
    pub kind: &'a str,
    /// Weight of the call's kind in the queue for slots.
    pub weight: u32,
    /// Name of the organisation that makes the call; `None` if it is not known.
    pub organisation: Option<&'a header::HeaderValue>,
    /// Whether the call is nested: a running call made it and waits for its answer.
    pub nested: bool,
    /// Whether its caller was refused before and returns.
    pub returning: bool,
    /// Time by which the call must be answered to meet its target latency.
    pub target: clock::Instant,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}

impl CallSpec<'_> {
    /// Priority of the call at the upstream.
    pub const fn rank(&self) -> admit::Rank {
        admit::Rank { nested: self.nested, weight: self.weight }
    }
}
