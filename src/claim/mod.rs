//! Claims of idempotency keys in the log.
//!
//! Before a call with an idempotency key runs, its entry claims the key. The claims of one
//! partition of the keys are records of one stream of the log; the first claim of a key in log
//! order wins. No lease and no leader is believed: only that order counts.

use std::future;
use std::time;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::host;

pub mod circuit;
pub mod desk;
pub mod dial;
pub mod event;
pub mod fold;
pub mod follow;
pub mod handle;
pub mod keep;
pub mod ledger;
pub mod record;
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

/// An idempotency key with the method and path it was sent to, hashed.
///
/// Invariant: it depends on nothing that a configuration says. A repeat after its route has moved
/// to another service has the same key, and does not run there again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key(pub [u8; KEY_BYTES]);

impl Key {
    /// The key named `text` of a request with `method` to `path`, the query left out.
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

/// Who claims a key: one call at one entry.
///
/// Invariant: an entry uses each `number` once in one life of its process, so that a claim that
/// is repeated after a lost answer is known to be the same.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Attempt {
    /// The entry.
    pub host: host::HostId,
    /// Which life of the entry's process.
    pub incarnation: u64,
    /// Number of the call in that life.
    pub number: u64,
}

/// What the log's order says about a claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Verdict {
    /// The claim is the key's first: the call may run, once.
    First,
    /// Another attempt claimed the key before.
    Taken(Attempt),
}

/// Why there is no verdict. The call must not run; it is answered as not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The log or the key's writer can't be reached.
    #[error("claims are unavailable, try again in {} ms", retry_after.as_millis())]
    Unavailable {
        /// When another try may be worth it.
        retry_after: time::Duration,
    },
    /// More claims wait than this node keeps.
    #[error("too many claims wait, try again in {} ms", retry_after.as_millis())]
    Busy {
        /// When another try may be worth it.
        retry_after: time::Duration,
    },
    /// The deadline passed before the verdict came.
    #[error("the deadline passed before the verdict on the claim")]
    Late,
}

/// The claims of this mesh as the call path uses them.
pub trait Claims: Clone + 'static {
    /// Claims `key` for `attempt`. After an error the claim is given up: it is released in the
    /// background, so that a later try with the same key can win.
    fn claim(
        &self,
        key: Key,
        attempt: Attempt,
        deadline: clock::Instant,
    ) -> impl future::Future<Output = Result<Verdict, Error>>;

    /// Gives up the claim of `attempt` on `key` after its call is proven not to have run. Does
    /// not wait; the release is repeated in the background until it stands in the log.
    fn release(&self, key: Key, attempt: Attempt);
}
