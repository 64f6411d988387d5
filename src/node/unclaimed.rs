//! Claims of a node that has no claim duty: every keyed call is refused as not run.

use std::time;

use crate::claim;
use crate::clock;

/// Refuses every claim.
#[derive(Clone, Copy, Debug)]
pub struct Unclaimed;

/// When a refused caller may try again.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

impl claim::Claims for Unclaimed {
    async fn claim(
        &self,
        _key: claim::Key,
        _attempt: claim::Attempt,
        _deadline: clock::Instant,
    ) -> Result<claim::Verdict, claim::Error> {
        Err(claim::Error::Unavailable { retry_after: RETRY_AFTER })
    }

    fn release(&self, _key: claim::Key, _attempt: claim::Attempt) {}
}
