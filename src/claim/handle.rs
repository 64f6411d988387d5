//! The claims of the mesh as the call path sees them: rings to the ledger's thread.

use std::time;

use tokio::sync::oneshot;

use crate::claim::record::{Entry, Op};
use crate::claim::{self, Verdict};
use crate::clock;
use crate::ring;

/// Claims that may wait in the ring to the ledger's thread. Full: the claim is refused as
/// [`claim::Error::Busy`].
const CLAIMS: usize = 4096;

/// Releases that may wait. Full: the release is lost and counted, and its key stays taken for the
/// rest of its window.
const RELEASES: usize = 65_536;

/// When a refused claim may be tried again.
const AGAIN: time::Duration = time::Duration::from_millis(100);

/// A claim on its way to the ledger's thread.
#[derive(Debug)]
pub struct Claim {
    /// What is claimed.
    pub entry: Entry,
    /// Until when the verdict is of use.
    pub deadline: clock::Instant,
    /// Takes the verdict.
    pub verdict: oneshot::Sender<Result<Verdict, claim::Error>>,
}

/// The handle. Clones share the rings.
#[derive(Clone, Debug)]
pub struct Handle {
    claims: ring::Sender<Claim>,
    releases: ring::Sender<Entry>,
}

/// The ledger's ends of the rings.
#[derive(Debug)]
pub struct Ends {
    /// Claims.
    pub claims: ring::Receiver<Claim>,
    /// Releases.
    pub releases: ring::Receiver<Entry>,
}

/// A handle and what it leads to.
pub fn pair() -> (Handle, Ends) {
    let (claims, claims_end) = ring::bounded(CLAIMS);
    let (releases, releases_end) = ring::bounded(RELEASES);
    (Handle { claims, releases }, Ends { claims: claims_end, releases: releases_end })
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
        let (verdict, told) = oneshot::channel();
        let entry = Entry { key, attempt, op: Op::Claim };
        if self.claims.offer(Claim { entry, deadline, verdict }).is_err() {
            return Err(claim::Error::Busy { retry_after: AGAIN });
        }
        // The ledger's thread ends after the call path, so this is a process that is being ended.
        told.await.unwrap_or(Err(claim::Error::Unavailable { retry_after: AGAIN }))
    }

    fn release(&self, key: claim::Key, attempt: claim::Attempt) {
        if self.releases.offer(Entry { key, attempt, op: Op::Release }).is_err() {
            log::warn!("a release of a key is lost, since too many wait");
        }
    }
}
