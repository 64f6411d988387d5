//! What a call needs at the upstream's node, and what came of it.

use std::time::Duration;

use crate::clock;

/// How long an upstream took to begin its answer; stands among the answer's extensions.
#[derive(Clone, Copy, Debug)]
pub struct Ran(pub Duration);

/// What a call needs at the upstream's node.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Service that the upstream must serve.
    pub service: &'a str,
    /// Class that the upstream must have; `None` allows every one.
    pub class: Option<&'a str>,
    /// Name of the call's kind; empty where the entry told none.
    pub kind: &'a str,
    /// Weight of the call's kind.
    pub weight: u32,
    /// Whether a call that runs already makes this one and waits for its answer.
    pub inner: bool,
    /// Until when an answer has its full worth.
    pub target: clock::Instant,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}
