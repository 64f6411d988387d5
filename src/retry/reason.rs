//! Typed reasons of refusals and failures, with their names on the wire.

use std::fmt;
use std::str;

/// Why a call was not served whole.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The caller left.
    Cancelled,
    /// The key is claimed by another call whose answer is not held here.
    Conflict,
    /// The connection ended before the whole answer had come.
    Cut,
    /// The upstream or its node is draining.
    Draining,
    /// Every slot and every place in the queue is taken, or a heavier call took the place.
    Full,
    /// The log service does not answer, so that a key can't be claimed.
    LogDown,
    /// The answer or the request breaks the protocol.
    Malformed,
    /// No route matches the request.
    NoRoute,
    /// No upstream of the service is known that could take the call.
    NoUpstream,
    /// This node does not serve calls yet.
    NotReady,
    /// Upstreams have ended under requests like it.
    Quarantined,
    /// The deadline passed before the whole answer had come.
    Timeout,
    /// Calls of the mesh led to this one through too many others.
    TooDeep,
    /// The request's body is larger than its kind allows.
    TooLarge,
    /// The deadline would pass before the call had run.
    TooLate,
    /// No connection to the host could be made.
    Unreachable,
    /// The upstream itself refused the call by its documented answer.
    UpstreamShed,
}

impl Reason {
    /// Every reason.
    pub const ALL: [Reason; 17] = [
        Reason::Cancelled,
        Reason::Conflict,
        Reason::Cut,
        Reason::Draining,
        Reason::Full,
        Reason::LogDown,
        Reason::Malformed,
        Reason::NoRoute,
        Reason::NoUpstream,
        Reason::NotReady,
        Reason::Quarantined,
        Reason::Timeout,
        Reason::TooDeep,
        Reason::TooLarge,
        Reason::TooLate,
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
            Self::LogDown => "log-down",
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::NoUpstream => "no-upstream",
            Self::NotReady => "not-ready",
            Self::Quarantined => "quarantined",
            Self::Timeout => "timeout",
            Self::TooDeep => "too-deep",
            Self::TooLarge => "too-large",
            Self::TooLate => "too-late",
            Self::Unreachable => "unreachable",
            Self::UpstreamShed => "upstream-shed",
        }
    }

    /// Whether another host might serve what this host did not.
    pub const fn allows_other_host(self) -> bool {
        match self {
            Self::Cut
            | Self::Draining
            | Self::Full
            | Self::Malformed
            | Self::NotReady
            | Self::Timeout
            | Self::TooLate
            | Self::Unreachable
            | Self::UpstreamShed => true,
            Self::Cancelled
            | Self::Conflict
            | Self::LogDown
            | Self::NoRoute
            | Self::NoUpstream
            | Self::Quarantined
            | Self::TooDeep
            | Self::TooLarge => false,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A name that is no reason's.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown reason")]
pub struct UnknownReason;

impl str::FromStr for Reason {
    type Err = UnknownReason;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|r| r.as_str() == name).ok_or(UnknownReason)
    }
}
