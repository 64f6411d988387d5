//! Refusals: the results of calls without an answer of their upstream.

use std::time;

use crate::proxy::headers;
use crate::proxy::proof;
use crate::retry;

/// Why a call has no answer of its upstream, and what its caller gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Never [`retry::Outcome::Ran`].
    pub outcome: retry::Outcome,
    /// Who vouches for it if it says that the call was not run.
    pub by: proof::By,
    /// Delay after which a retry may succeed; `None` if no delay can be given.
    pub retry_after: Option<time::Duration>,
    /// Status of the answer to the caller.
    pub status: http::StatusCode,
}

impl Refusal {
    /// The refusal of a call that is proven not to have run.
    pub const fn not_run(reason: retry::Reason) -> Self {
        Self::new(retry::Outcome::NotRun(reason), None)
    }

    /// The refusal of a call that may have run.
    pub const fn unknown(reason: retry::Reason) -> Self {
        Self::new(retry::Outcome::Unknown(reason), None)
    }

    /// The refusal of a call that ended with `outcome`.
    pub const fn new(outcome: retry::Outcome, retry_after: Option<time::Duration>) -> Self {
        Self { outcome, by: proof::By::Here, retry_after, status: status(outcome) }
    }

    /// Sets who vouches for it.
    pub const fn vouched(mut self, by: proof::By) -> Self {
        self.by = by;
        self
    }

    /// Who vouches that the call was not run; `None` if it may have run.
    pub const fn by(&self) -> Option<proof::By> {
        match self.outcome {
            retry::Outcome::NotRun(_) => Some(self.by),
            retry::Outcome::Ran | retry::Outcome::Unknown(_) => None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    pub const fn retry_in(mut self, after: time::Duration) -> Self {
        self.retry_after = Some(after);
        self
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

const fn status(outcome: retry::Outcome) -> http::StatusCode {
    match outcome {
        retry::Outcome::NotRun(reason) => refused(reason),
        retry::Outcome::Unknown(reason) => failed(reason),
        retry::Outcome::Ran => http::StatusCode::OK,
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
