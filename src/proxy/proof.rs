//! Proofs that a call was not run.
//!
//! A caller may repeat a call that it is told was not run. A [`refuse::Refusal`] that says so is
//! made from one of three proofs:
//!
//! - [`Unsent`]: this node has sent nothing of the request;
//! - [`answer::NotRun`]: the upstream says so in its answer to the request;
//! - [`internode::NotRun`]: another node says so in its answer to the request.
//!
//! Sending uses up the first one, and gives it back only where nothing was sent:
//!
//! ```
//! use dandelionspool::proxy::{proof, refuse};
//! use dandelionspool::retry;
//!
//! let unsent = proof::Unsent::fresh();
//! assert!(refuse::Refusal::unsent(unsent, retry::Reason::Full).is_not_run());
//! ```
//!
//! There is no such refusal without a proof:
//!
//! ```compile_fail
//! use dandelionspool::proxy::refuse;
//! use dandelionspool::retry;
//!
//! refuse::Refusal::not_run(dandelionspool::proxy::proof::By::Here, retry::Reason::Full.into());
//! ```
//!
//! ```compile_fail
//! use dandelionspool::proxy::refuse;
//! use dandelionspool::retry;
//!
//! let mut refusal = refuse::Refusal::unknown(retry::Reason::Full);
//! refusal.outcome = retry::Outcome::NotRun(retry::Reason::Full);
//! ```
//!
//! The proofs of others can't be made up:
//!
//! ```compile_fail
//! use dandelionspool::proxy::{answer, refuse};
//!
//! refuse::Refusal::rejected(answer::NotRun(()));
//! ```
//!
//! ```compile_fail
//! use dandelionspool::proxy::{internode, refuse};
//! use dandelionspool::retry;
//!
//! refuse::Refusal::relayed(internode::NotRun(()), retry::Reason::Full);
//! ```
//!
//! A proof is used once, and so is what was made from it:
//!
//! ```compile_fail
//! use dandelionspool::proxy::{proof, refuse};
//! use dandelionspool::retry;
//!
//! let unsent = proof::Unsent::fresh();
//! refuse::Refusal::unsent(unsent, retry::Reason::Full);
//! refuse::Refusal::unsent(unsent, retry::Reason::Full);
//! ```
//!
//! ```compile_fail
//! use dandelionspool::proxy::proof;
//!
//! let unsent = proof::Unsent::fresh();
//! let copy = unsent.clone();
//! ```
//!
//! ```compile_fail
//! use dandelionspool::proxy::{proof, refuse};
//! use dandelionspool::retry;
//!
//! let refusal = refuse::Refusal::unsent(proof::Unsent::fresh(), retry::Reason::Full);
//! let copy = refusal.clone();
//! ```
//!
//! A request can't be refused as unsent after it was sent:
//!
//! ```compile_fail
//! use dandelionspool::proxy::{pool, proof, refuse, upload};
//! use dandelionspool::retry;
//!
//! async fn send(mut lease: pool::Lease, request: http::Request<upload::Upload>) {
//!     let unsent = proof::Unsent::fresh();
//!     let _ = lease.send(request, unsent).await;
//!     refuse::Refusal::unsent(unsent, retry::Reason::Full);
//! }
//! ```
//!
//! [`answer::NotRun`]: crate::proxy::answer::NotRun
//! [`internode::NotRun`]: crate::proxy::internode::NotRun

use std::time;

use crate::proxy::refuse;
use crate::retry;

#[cfg(test)]
mod tests;

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

/// Nothing of a request has been sent.
///
/// Each request has one, which is passed along with it. At the entry node, each attempt of a call
/// has its own, see [`Attempts`].
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// The token of a request that has just arrived, or that this node has just made. A test lists
    /// the places that may call this.
    pub const fn fresh() -> Self {
        Self(())
    }

    /// The value of `checked`, together with the token.
    ///
    /// # Errors
    ///
    /// The refusal of the request, if the check failed.
    pub fn check<T, E: Into<refuse::Cause>>(
        self,
        checked: Result<T, E>,
    ) -> Result<(T, Self), refuse::Refusal> {
        match checked {
            Ok(value) => Ok((value, self)),
            Err(cause) => Err(refuse::Refusal::unsent(self, cause)),
        }
    }
}

/// The attempts of a call at its entry node. It ends as not run only if none of them may have run
/// it.
#[derive(Debug)]
pub struct Attempts {
    /// Why an attempt may have run the call: the reason of the first one. `None` if none may have.
    unknown: Option<retry::Reason>,
    /// The refusal of the last attempt that was sent to a host.
    last: Option<refuse::Refusal>,
}

impl Attempts {
    /// The attempts of a request of which nothing has been sent, and the token of the first one.
    pub const fn new(unsent: Unsent) -> (Self, Unsent) {
        (Self { unknown: None, last: None }, unsent)
    }

    /// The refusal of the last attempt, in place of that of an attempt for which there is no host:
    /// its reason says more.
    pub fn last_or(&mut self, refusal: refuse::Refusal) -> refuse::Refusal {
        self.last.take().unwrap_or(refusal)
    }

    /// Begins an attempt after one that ended with `refusal`; returns its token.
    pub fn again(&mut self, refusal: refuse::Refusal) -> Unsent {
        self.record(&refusal);
        self.last = Some(refusal);
        Unsent(())
    }

    /// The refusal of the call, whose last attempt ended with `refusal`.
    pub fn end(
        mut self,
        refusal: refuse::Refusal,
        retry_after: Option<time::Duration>,
    ) -> refuse::Refusal {
        self.record(&refusal);
        let refusal = refusal.with_retry_after(retry_after);
        match self.unknown {
            Some(reason) => refusal.weakened(reason),
            None => refusal,
        }
    }

    fn record(&mut self, refusal: &refuse::Refusal) {
        if let retry::Outcome::Unknown(reason) = refusal.outcome() {
            self.unknown.get_or_insert(reason);
        }
    }
}
