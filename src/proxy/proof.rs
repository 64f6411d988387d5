//! Who vouches that a call was not run.

/// Who vouches that a call was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum By {
    /// This node: it had sent nothing of the call.
    Here,
    /// The node to which the call was sent: it had sent nothing of it to its upstream.
    Node,
    /// The upstream, in its answer to the call.
    Upstream,
}

impl By {
    /// The name used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Node => "node",
            Self::Upstream => "upstream",
        }
    }
}
