//! Retry budgets, deadlines and outcomes.
//!
//! Only the entry node, which accepted the call from its caller, retries it. The number of the
//! attempt and the depth are sent with the call, so that retries of nested calls do not multiply
//! (see [`Call::outer_attempt`]).

mod attempt;
mod budget;
mod counts;
mod decide;
mod reason;
mod siblings;
#[cfg(test)]
mod tests;

pub use self::attempt::{Attempt, Event};
pub use self::budget::{Budget, Earn};
pub use self::counts::Counts;
pub use self::decide::{Call, Decision, Diversion, connect_timeout, decide, diverts};
use self::decide::{is_allowed, refuse};
pub use self::reason::Reason;
pub use self::siblings::{FatalLoss, NestedDecision, Others, Siblings, Survival, decide_nested};

/// How an attempt, or a whole call, ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The call ran once, and its answer is complete.
    Ran,
    /// The call certainly did not run.
    NotRun(Reason),
    /// The call may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Whether the call was refused because the limit that the upstream names was used up.
    pub fn is_limited(self) -> bool {
        self == Self::NotRun(Reason::Limited)
    }

    /// Whether no connection to the host or its upstream could be made, so that nothing of the call
    /// was sent to the upstream.
    pub fn is_unreachable(self) -> bool {
        self == Self::NotRun(Reason::Unreachable)
    }

    /// Why the call was not served completely; `None` if it was.
    pub const fn reason(self) -> Option<Reason> {
        match self {
            Self::Ran => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}
