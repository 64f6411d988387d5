//! Decides whether a call is retried after an attempt has ended.
//!
//! [`diverts`] and [`connect_timeout`] answer the simultaneous loss of many hosts: each attempt at
//! a lost host takes the whole connection timeout, and the next one goes to another lost host.

use std::time;

use crate::clock;
use crate::host;
use crate::retry;

/// Attempts that a call nested in another call of the mesh may have.
const MAX_NESTED_ATTEMPTS: u8 = 2;

/// Refusals at limits that upstreams name after which a call is not sent to one more upstream.
const MAX_LIMITED: u8 = 8;

/// Attempts of a call that reached no upstream and are replaced by attempts at other hosts. With
/// seven in ten of many hosts lost, six tries reach a live one in 0.88 of the calls (1 - 0.7⁶): four
/// replaced attempts, and two as a call usually has.
const MAX_DIVERTED: u8 = 4;

/// Attempts in a row that reached no upstream after which connections are awaited for a shorter
/// time: a single one may fail for a reason of its own, two show that several hosts are lost.
const FAILURES_OF_LOSS: u8 = 2;

/// Divides the time left until the deadline; the quotient is the connection timeout while several
/// hosts are lost, so that the call can still try several others.
const TIMEOUT_DIVISOR: u32 = 5;

/// Lower bound of the connection timeout while several hosts are lost. A node that gets a tenth of
/// a core may be paused for 90 ms of each CPU quota period of 100 ms; a shorter timeout gives up
/// live hosts.
const MIN_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Time after which the caller may retry, if the refusing host named none.
const DEFAULT_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// The state of a call at its entry node when one of its attempts has ended.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whether the call may run twice without harm.
    pub idempotent: bool,
    /// Number of the attempt that ended, from 1. Attempts that were refused because a limit that an
    /// upstream names was used up are not counted here, as no upstream noticed them.
    pub attempt: u8,
    /// Number of attempts that were refused for that reason.
    pub limited: u8,
    /// Attempts that the call may have, including the first.
    pub max_attempts: u8,
    /// Number of calls of the mesh in which this one is nested; 0 for a call from outside.
    pub depth: u8,
    /// Number of the attempt of the call in which this one is nested, as received with the call; 1
    /// if there is none.
    pub outer_attempt: u8,
    /// When the caller stops waiting.
    pub deadline: clock::Instant,
    /// Bytes of an answer that were sent to the caller.
    pub answered_bytes: u64,
    /// Whether the complete request is still buffered, so that it can be sent again.
    pub buffered: bool,
    /// Host of the attempt that ended; `None` if no host was picked.
    pub host: Option<host::HostId>,
    /// Time after which the refusing host allows a retry; `None` if it named none.
    pub retry_after: Option<time::Duration>,
}

/// The attempts of a call that reached no upstream.
#[derive(Clone, Copy, Debug)]
pub struct Diversion {
    /// Number of attempts that were replaced by attempts at other hosts.
    pub diverted: u8,
    /// Whether the host of the attempt that ended had been picked for this call before, as no other
    /// one was left.
    pub repeated: bool,
    /// Mean run time of calls of the same kind; zero if it is not known.
    pub run_time: time::Duration,
    /// Whether the running call that makes the call is lost, so that it would be served for nothing.
    pub run_lost: bool,
}

/// What to do next with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Make another attempt at once.
    Again {
        /// Host of the failed attempt, which is picked again only if there is no other.
        avoid: Option<host::HostId>,
    },
    /// Answer the caller at once, without another attempt.
    Final {
        /// The outcome to report to the caller.
        outcome: retry::Outcome,
        /// Time after which the caller may retry; `None` if a retry would fail in the same way.
        retry_after: Option<time::Duration>,
    },
}

/// Decides what to do with `call` after an attempt that ended with `outcome`.
///
/// A call that is not idempotent gets another attempt only if the last one certainly did not run.
/// Every extra attempt is taken from `budget`, and none is made once a byte was sent to the caller.
/// A call that an upstream's node refused at the limit of that upstream is sent to another one
/// without that: no upstream has noticed it.
pub fn decide(
    call: &Call,
    outcome: retry::Outcome,
    budget: &mut retry::Budget,
    now: clock::Instant,
) -> Decision {
    if outcome == retry::Outcome::Ran {
        budget.record_served();
    }
    let again = if outcome.is_limited() {
        is_diverted(call, now)
    } else {
        is_allowed(call, outcome, now) && budget.take()
    };
    if again {
        return Decision::Again { avoid: call.host };
    }
    refuse(call, outcome)
}

/// The decision to make no other attempt after one that ended with `outcome`.
pub(super) fn refuse(call: &Call, outcome: retry::Outcome) -> Decision {
    Decision::Final { outcome, retry_after: retry_after(call, outcome) }
}

/// Whether a call that was refused at the limit of an upstream is sent to another one in place of
/// the attempt that was refused.
fn is_diverted(call: &Call, now: clock::Instant) -> bool {
    call.host.is_some() && call.limited < MAX_LIMITED && can_be_sent(call, now)
}

/// Whether `call`, whose last attempt ended with `outcome`, is sent to another host in place of that
/// attempt, without using up an attempt or the budget: its host was unreachable, so that no upstream
/// has noticed the call.
pub fn diverts(
    call: &Call,
    diversion: &Diversion,
    outcome: retry::Outcome,
    now: clock::Instant,
) -> bool {
    outcome.is_unreachable()
        && call.host.is_some()
        && !diversion.repeated
        && !diversion.run_lost
        && diversion.diverted < MAX_DIVERTED
        && can_be_sent(call, now)
        && call.deadline.since(now) > diversion.run_time
}

/// How long a call with `remaining` time until its deadline waits for a connection, if the last
/// `failures` attempts in a row reached no upstream; `usual` is the timeout of the settings, which
/// the result never exceeds.
pub fn connect_timeout(
    failures: u8,
    remaining: time::Duration,
    usual: time::Duration,
) -> time::Duration {
    if failures < FAILURES_OF_LOSS {
        return usual;
    }
    usual.min((remaining / TIMEOUT_DIVISOR).max(MIN_CONNECT_TIMEOUT))
}

/// Whether another attempt is allowed, if the budget has one.
pub(super) fn is_allowed(call: &Call, outcome: retry::Outcome, now: clock::Instant) -> bool {
    let Some(reason) = outcome.reason() else {
        return false;
    };
    reason.allows_other_host()
        && is_repeatable(call, outcome)
        && call.attempt < max_attempts(call)
        && can_be_sent(call, now)
}

/// Whether the request can still be sent.
fn can_be_sent(call: &Call, now: clock::Instant) -> bool {
    call.answered_bytes == 0 && call.buffered && now < call.deadline
}

/// Whether the call can be sent again without a harmful second run, and without multiplying the
/// work of an outer call that is being retried.
fn is_repeatable(call: &Call, outcome: retry::Outcome) -> bool {
    match outcome {
        retry::Outcome::Ran => false,
        retry::Outcome::NotRun(_) => true,
        retry::Outcome::Unknown(_) => call.idempotent && call.outer_attempt <= 1,
    }
}

fn max_attempts(call: &Call) -> u8 {
    if call.depth == 0 { call.max_attempts } else { call.max_attempts.min(MAX_NESTED_ATTEMPTS) }
}

fn retry_after(call: &Call, outcome: retry::Outcome) -> Option<time::Duration> {
    let reason = outcome.reason()?;
    match reason {
        retry::Reason::Cancelled
        | retry::Reason::Conflict
        | retry::Reason::Malformed
        | retry::Reason::NoRoute
        | retry::Reason::TooDeep
        | retry::Reason::TooLarge => None,
        _ => Some(call.retry_after.unwrap_or(DEFAULT_RETRY_AFTER)),
    }
}
