//! Claims of idempotency keys in the log.
//!
//! Before a call with an idempotency key runs, its entry node claims the key. The claims of one
//! partition of the keys are records of one stream of the log; the first claim of a key in log
//! order wins. There are no leases and no leader: only that order counts.

use std::future;
use std::time;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::host;

pub mod circuit;
pub mod connector;
pub mod event;
pub mod fold;
pub mod follow;
pub mod handle;
pub mod ledger;
pub mod record;
pub mod registry;
pub mod requests;
pub mod serve;
pub mod shell;
pub mod wire;
pub mod writer;
pub mod writers;

#[cfg(test)]
mod tests;

/// Number of bytes of a [`Key`].
pub const KEY_BYTES: usize = 16;

const KEY_CONTEXT: &str = "dandelionspool idempotency key v1";

/// Hash of an idempotency key with the method and path of its request.
///
/// Invariant: it does not depend on the configuration. A repeated request whose route has moved to
/// another service meanwhile has the same key and does not run there again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key(pub [u8; KEY_BYTES]);

impl Key {
    /// The key `text` of a request with `method` to `path`, which has no query.
    pub fn new(method: &str, path: &str, text: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [method, path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(text);
        let mut bytes = [0; KEY_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..KEY_BYTES]);
        Self(bytes)
    }
}

/// The claimant of a key: one call at one entry node.
///
/// Invariant: a process uses each `number` once, so that a claim that is repeated after a lost
/// answer is recognised as the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// Host of the entry node.
    pub host: host::HostId,
    /// Incarnation of the entry node's process.
    pub incarnation: u64,
    /// Number of the call in that process.
    pub number: u64,
}

/// Verdict on a claim by the order of the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// The claim is the key's first: the call may run, once.
    First,
    /// This other attempt holds the key.
    Taken(Attempt),
}

/// Why there is no verdict. The call must not run, and its answer says that it did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The log or the key's writer can't be reached.
    #[error("claims are unavailable, try again in {} ms", retry_after.as_millis())]
    Unavailable {
        /// How long to wait before a retry.
        retry_after: time::Duration,
    },
    /// Too many claims wait on this node.
    #[error("too many claims wait, try again in {} ms", retry_after.as_millis())]
    Busy {
        /// How long to wait before a retry.
        retry_after: time::Duration,
    },
    /// The deadline passed before the verdict.
    #[error("the deadline passed before the verdict on the claim")]
    Late,
}

/// Access to the claims of the mesh, as the call path uses it.
pub trait Claims: Clone + 'static {
    /// Claims `key` for `attempt`. After an error the claim is released in the background, so that
    /// a later attempt with the same key can win.
    fn claim(
        &self,
        key: Key,
        attempt: Attempt,
        deadline: clock::Instant,
    ) -> impl future::Future<Output = Result<Verdict, Error>>;

    /// Releases the claim of `attempt` on `key` after its call is proven not to have run. It does
    /// not wait; the release is retried in the background until it is in the log.
    fn release(&self, key: Key, attempt: Attempt);
}
