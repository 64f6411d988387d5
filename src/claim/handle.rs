//! The call path's handle to the ledger duty: one ring for claims, one for releases.

use std::time;

use tokio::sync::oneshot;

use crate::claim::record::{Entry, Op};
use crate::claim::{self, Verdict};
use crate::clock;
use crate::ring;

/// Capacity of the ring of claims. When it is full, a claim is refused with [`claim::Error::Busy`].
const CLAIM_CAPACITY: usize = 4096;

/// Capacity of the ring of releases. When it is full, a release is dropped and counted, and its key
/// stays taken for the rest of its window.
const RELEASE_CAPACITY: usize = 65_536;

/// Retry-after of a refused claim.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// A claim sent to the ledger duty.
#[derive(Debug)]
pub struct Claim {
    /// The key and the attempt that claims it.
    pub entry: Entry,
    /// When the verdict is no longer needed.
    pub deadline: clock::Instant,
    /// Receives the verdict.
    pub verdict: oneshot::Sender<Result<Verdict, claim::Error>>,
}

/// The sending ends of the rings; clones share them.
#[derive(Clone, Debug)]
pub struct Handle {
    claims: ring::Sender<Claim>,
    releases: ring::Sender<Entry>,
}

/// The ledger duty's ends of the rings.
#[derive(Debug)]
pub struct Receivers {
    /// Claims.
    pub claims: ring::Receiver<Claim>,
    /// Releases.
    pub releases: ring::Receiver<Entry>,
}

/// A handle and the receiving ends of its rings.
pub fn pair() -> (Handle, Receivers) {
    let (claims, claims_receiver) = ring::bounded(CLAIM_CAPACITY);
    let (releases, releases_receiver) = ring::bounded(RELEASE_CAPACITY);
    (
        Handle { claims, releases },
        Receivers { claims: claims_receiver, releases: releases_receiver },
    )
}

impl Handle {
    /// The ring of claims, for its count of refusals.
    pub const fn claims(&self) -> &ring::Sender<Claim> {
        &self.claims
    }

    /// The ring of releases, for its count of refusals.
    pub const fn releases(&self) -> &ring::Sender<Entry> {
        &self.releases
    }
}

impl claim::Claims for Handle {
    async fn claim(
        &self,
        key: claim::Key,
        attempt: claim::Attempt,
        deadline: clock::Instant,
    ) -> Result<Verdict, claim::Error> {
        let (verdict, reply) = oneshot::channel();
        let entry = Entry { key, attempt, op: Op::Claim };
        if self.claims.offer(Claim { entry, deadline, verdict }).is_err() {
            return Err(claim::Error::Busy { retry_after: RETRY_DELAY });
        }
        // The ledger duty ends after the call path, so this happens only at shutdown.
        reply.await.unwrap_or(Err(claim::Error::Unavailable { retry_after: RETRY_DELAY }))
    }

    fn release(&self, key: claim::Key, attempt: claim::Attempt) {
        if self.releases.offer(Entry { key, attempt, op: Op::Release }).is_err() {
            log::warn!("dropped the release of a key: the ring to the ledger is full");
        }
    }
}
