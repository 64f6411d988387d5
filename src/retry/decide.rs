//! What follows when an attempt has ended.

use std::time;

use crate::clock;
use crate::host;
use crate::retry;

/// Attempts of a call that another call of the mesh led to.
const NESTED_ATTEMPTS: u8 = 2;

/// Wait named in a refusal when the refusing host named none.
const DEFAULT_WAIT: time::Duration = time::Duration::from_secs(1);

/// A call at its entry, at the end of one of its attempts.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// Number of the attempt that ended, from 1.
    pub attempt: u8,
    /// Attempts the call may have, the first included.
    pub max_attempts: u8,
    /// How many calls of the mesh led to this one; 0 for a caller outside.
    pub depth: u8,
    /// Attempt number that came with the call: of the call that led to it, 1 when none did.
    pub outer_attempt: u8,
    /// When the caller gives up.
    pub deadline: clock::Instant,
    /// Bytes of an answer that have gone to the caller.
    pub answered_bytes: u64,
    /// Whether the whole request is still held, so that it can be sent again.
    pub buffered: bool,
    /// Host of the attempt that ended; `None` when no host was picked.
    pub host: Option<host::HostId>,
    /// Wait that the refusing host asked for.
    pub retry_after: Option<time::Duration>,
}

/// What to do next with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Make another attempt at once.
    Again {
        /// Host that has just failed; pick another one where there is one.
        avoid: Option<host::HostId>,
    },
    /// Answer the caller at once; nothing else will be tried.
    Final {
        /// What the caller is told.
        outcome: retry::Outcome,
        /// Wait before the caller's next try; `None` where another try makes no sense.
        retry_after: Option<time::Duration>,
    },
}

/// Decides what follows `outcome`, the end of an attempt of `call`.
///
/// A non-idempotent call gets another attempt only after a proven "not run"; every extra attempt
/// is taken from `budget`, and none is made once a byte has reached the caller.
pub fn decide(
    call: &Call,
    outcome: retry::Outcome,
    budget: &mut retry::Budget,
    now: clock::Instant,
) -> Decision {
    if outcome == retry::Outcome::Ran {
        budget.record_served();
    }
    if allowed(call, outcome, now) && budget.take() {
        return Decision::Again { avoid: call.host };
    }
    Decision::Final { outcome, retry_after: wait(call, outcome) }
}

fn allowed(call: &Call, outcome: retry::Outcome, now: clock::Instant) -> bool {
    let Some(reason) = outcome.reason() else {
        return false;
    };
    reason.allows_other_host()
        && repeatable(call, outcome)
        && call.attempt < limit(call)
        && call.answered_bytes == 0
        && call.buffered
        && now < call.deadline
}

/// Whether sending the call again can't make it run twice where that would do harm, or multiply
/// the work of a call that is being tried again further out.
fn repeatable(call: &Call, outcome: retry::Outcome) -> bool {
    match outcome {
        retry::Outcome::Ran => false,
        retry::Outcome::NotRun(_) => true,
        retry::Outcome::Unknown(_) => call.idempotent && call.outer_attempt <= 1,
    }
}

fn limit(call: &Call) -> u8 {
    if call.depth == 0 { call.max_attempts } else { call.max_attempts.min(NESTED_ATTEMPTS) }
}

fn wait(call: &Call, outcome: retry::Outcome) -> Option<time::Duration> {
    let reason = outcome.reason()?;
    match reason {
        retry::Reason::Cancelled
        | retry::Reason::Conflict
        | retry::Reason::Malformed
        | retry::Reason::NoRoute
        | retry::Reason::TooDeep
        | retry::Reason::TooLarge => None,
        _ => Some(call.retry_after.unwrap_or(DEFAULT_WAIT)),
    }
}
