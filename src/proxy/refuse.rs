//! Refusals: the results of calls without an answer of their upstream.

use std::time;

use crate::proxy::answer;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::internode;
use crate::proxy::proof;
use crate::retry;

/// Why a call is turned away, and what its caller is told. It says nothing of whether the call ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cause {
    reason: retry::Reason,
    retry_after: Option<time::Duration>,
    /// Replaces the status of the reason.
    status: Option<http::StatusCode>,
}

impl Cause {
    /// The cause `reason`.
    pub const fn new(reason: retry::Reason) -> Self {
        Self { reason, retry_after: None, status: None }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn retry_in(mut self, after: time::Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the status of the answer to the caller.
    #[must_use]
    pub const fn status(mut self, status: http::StatusCode) -> Self {
        self.status = Some(status);
        self
    }

    /// Delay after which a retry may succeed; `None` if no delay can be given.
    pub const fn retry_after(&self) -> Option<time::Duration> {
        self.retry_after
    }
}

impl From<retry::Reason> for Cause {
    fn from(reason: retry::Reason) -> Self {
        Self::new(reason)
    }
}

/// Why a call has no answer of its upstream, and what its caller gets.
///
/// It says "not run" only if it was made from a proof of that (see [`proof`]), and it can only be
/// weakened afterwards. It can't be copied, so that what is proven of one call is not said of
/// another one.
#[derive(Debug)]
pub struct Refusal {
    /// Invariant: never [`retry::Outcome::Ran`], and [`retry::Outcome::NotRun`] only if it was so
    /// from the beginning.
    outcome: retry::Outcome,
    /// Who vouches for [`retry::Outcome::NotRun`].
    by: proof::By,
    retry_after: Option<time::Duration>,
    status: http::StatusCode,
}

impl Refusal {
    /// The refusal of a request of which this node has sent nothing.
    pub fn unsent(_: proof::Unsent, cause: impl Into<Cause>) -> Self {
        Self::not_run(proof::By::Here, cause.into())
    }

    /// The refusal of a request that its upstream has rejected.
    pub const fn rejected(_: answer::NotRun) -> Self {
        Self::not_run(proof::By::Upstream, Cause::new(retry::Reason::UpstreamShed))
    }

    /// The refusal of a request by the node to which it was sent.
    pub fn relayed(_: internode::NotRun, cause: impl Into<Cause>) -> Self {
        let cause = cause.into();
        // A node gives this reason only to a request that its upstream has rejected.
        let by = match cause.reason {
            retry::Reason::UpstreamShed => proof::By::Upstream,
            _ => proof::By::Node,
        };
        Self::not_run(by, cause)
    }

    /// The answer to another node that asks for the first call of a key, which did not run.
    pub const fn released(first: held_answers::Released) -> Self {
        Self::not_run(first.by(), Cause::new(retry::Reason::Conflict))
    }

    const fn not_run(by: proof::By, cause: Cause) -> Self {
        let Cause { reason, retry_after, status } = cause;
        let status = match status {
            Some(status) => status,
            None => refused(reason),
        };
        Self { outcome: retry::Outcome::NotRun(reason), by, retry_after, status }
    }

    /// The refusal of a call that may have run.
    pub const fn unknown(reason: retry::Reason) -> Self {
        Self {
            outcome: retry::Outcome::Unknown(reason),
            by: proof::By::Here,
            retry_after: None,
            status: failed(reason),
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn retry_in(self, after: time::Duration) -> Self {
        self.with_retry_after(Some(after))
    }

    /// Sets or removes the delay after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Option<time::Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// The same refusal where the call may have run, for `reason`.
    #[must_use]
    pub const fn weakened(self, reason: retry::Reason) -> Self {
        Self::unknown(reason).with_retry_after(self.retry_after)
    }

    /// The same refusal, weakened if `outcome` is unknown. Any other outcome proves nothing and
    /// changes nothing.
    #[must_use]
    pub const fn weakened_to(self, outcome: retry::Outcome) -> Self {
        match outcome {
            retry::Outcome::Unknown(reason) => self.weakened(reason),
            retry::Outcome::NotRun(_) | retry::Outcome::Ran => self,
        }
    }

    /// How the call ended; never [`retry::Outcome::Ran`].
    pub const fn outcome(&self) -> retry::Outcome {
        self.outcome
    }

    /// Whether the call certainly did not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self.outcome, retry::Outcome::NotRun(_))
    }

    /// Who vouches that the call was not run; `None` if it may have run.
    pub fn by(&self) -> Option<proof::By> {
        self.is_not_run().then_some(self.by)
    }

    /// Delay after which a retry may succeed; `None` if no delay can be given.
    pub const fn retry_after(&self) -> Option<time::Duration> {
        self.retry_after
    }

    /// Status of the answer to the caller.
    pub const fn status(&self) -> http::StatusCode {
        self.status
    }
}

/// The value of [`headers::OUTCOME`] for `outcome`.
pub const fn name(outcome: retry::Outcome) -> &'static str {
    match outcome {
        retry::Outcome::Ran => headers::RAN,
        retry::Outcome::NotRun(_) => headers::NOT_RUN,
        retry::Outcome::Unknown(_) => headers::UNKNOWN,
    }
}

/// Status of the answer to a call that was not run.
const fn refused(reason: retry::Reason) -> http::StatusCode {
    match reason {
        retry::Reason::Malformed | retry::Reason::Cut => http::StatusCode::BAD_REQUEST,
        retry::Reason::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        retry::Reason::NoRoute => http::StatusCode::NOT_FOUND,
        retry::Reason::Conflict => http::StatusCode::CONFLICT,
        retry::Reason::TooDeep => http::StatusCode::LOOP_DETECTED,
        retry::Reason::OverLimit => http::StatusCode::TOO_MANY_REQUESTS,
        retry::Reason::Unauthenticated => http::StatusCode::UNAUTHORIZED,
        _ => http::StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Status of the answer to a call that may have run.
const fn failed(reason: retry::Reason) -> http::StatusCode {
    match reason {
        retry::Reason::TooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
        retry::Reason::Conflict => http::StatusCode::CONFLICT,
        retry::Reason::Timeout => http::StatusCode::GATEWAY_TIMEOUT,
        _ => http::StatusCode::BAD_GATEWAY,
    }
}
