//! Retry budgets, deadlines and outcomes.
//!
//! Only the entry, the node a caller talks to, tries a call again. The number of the attempt and
//! the depth travel with the call, so that nested calls do not multiply (see [`Call::outer_attempt`]).

mod attempt;
mod budget;
mod decide;
mod reason;
#[cfg(test)]
mod tests;

pub use self::attempt::{Attempt, Event};
pub use self::budget::{Budget, Earn};
pub use self::decide::{Call, Decision, decide};
pub use self::reason::Reason;

/// How an attempt, or a whole call, ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The call ran once and its whole answer is there.
    Ran,
    /// It is proven that the call did not run.
    NotRun(Reason),
    /// The call may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Why the call was not served whole; `None` when it was.
    pub const fn reason(self) -> Option<Reason> {
        match self {
            Self::Ran => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}
