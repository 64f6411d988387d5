//! Reasons of refusals and failures, with their names on the wire.

use std::fmt;
use std::str;

/// Why a call was not served completely.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The caller left.
    Cancelled,
    /// The idempotency key is claimed by another call, whose answer this node does not hold.
    Conflict,
    /// The connection ended before the answer was complete.
    Cut,
    /// The upstream or its node is draining.
    Draining,
    /// All slots and the queue are full, or a heavier call displaced this one.
    Full,
    /// The limit that the upstream names is used up.
    Limited,
    /// The log service does not answer, so that the idempotency key can't be claimed.
    LogDown,
    /// The answer or the request breaks the protocol.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// There is no upstream of the service to which the call could be sent.
    NoUpstream,
    /// This node does not serve calls yet.
    NotReady,
    /// The organisation has used up its limit.
    OverLimit,
    /// The node has more calls than its CPU can serve.
    Overloaded,
    /// The request is quarantined, since upstreams crashed while they ran it.
    Quarantined,
    /// The deadline passed before the answer was complete.
    Timeout,
    /// The call is nested in too many other calls of the mesh.
    TooDeep,
    /// The request's body is larger than its kind allows.
    TooLarge,
    /// The deadline would pass before the call has run.
    TooLate,
    /// The request has no API key, or one that belongs to no organisation.
    Unauthenticated,
    /// No connection to the host could be made.
    Unreachable,
    /// The upstream itself refused the call with its documented answer.
    UpstreamShed,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 21] = [
        Reason::Cancelled,
        Reason::Conflict,
        Reason::Cut,
        Reason::Draining,
        Reason::Full,
        Reason::Limited,
        Reason::LogDown,
        Reason::Malformed,
        Reason::NoRoute,
        Reason::NoUpstream,
        Reason::NotReady,
        Reason::OverLimit,
        Reason::Overloaded,
        Reason::Quarantined,
        Reason::Timeout,
        Reason::TooDeep,
        Reason::TooLarge,
        Reason::TooLate,
        Reason::Unauthenticated,
        Reason::Unreachable,
        Reason::UpstreamShed,
    ];

    /// The stable name used in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Conflict => "conflict",
            Self::Cut => "cut",
            Self::Draining => "draining",
            Self::Full => "full",
            Self::Limited => "limited",
            Self::LogDown => "log-down",
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::NotReady => "not-ready",
            Self::OverLimit => "over-limit",
            Self::Overloaded => "overloaded",
            Self::Quarantined => "quarantined",
            Self::Timeout => "timeout",
            Self::TooDeep => "too-deep",
            Self::TooLarge => "too-large",
            Self::TooLate => "too-late",
            Self::Unauthenticated => "unauthenticated",
            Self::Unreachable => "unreachable",
            Self::UpstreamShed => "upstream-shed",
        }
    }

    /// Whether another host might serve the call.
    pub const fn allows_other_host(self) -> bool {
        match self {
            Self::Cut
            | Self::Draining
            | Self::Full
            | Self::Limited
            | Self::Malformed
            | Self::NotReady
            | Self::Overloaded
            | Self::Timeout
            | Self::TooLate
            | Self::Unreachable
            | Self::UpstreamShed => true,
            Self::Cancelled
            | Self::Conflict
            | Self::LogDown
            | Self::NoRoute
            | Self::NoUpstream
            | Self::OverLimit
            | Self::Quarantined
            | Self::TooDeep
            | Self::TooLarge
            | Self::Unauthenticated => false,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The name is not that of a reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown reason")]
pub struct UnknownReason;

impl str::FromStr for Reason {
    type Err = UnknownReason;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|r| r.as_str() == name).ok_or(UnknownReason)
    }
}
