//! Protection of roll-out orders against a log that was restored from an older copy.
//!
//! The operator writes again what the log has lost. Until then the log lacks orders or names older
//! ones, even where it has the configuration itself.

use std::time;

use crate::clock;
use crate::logs;
use crate::mesh;
use crate::version;

/// Time for the operator to write its orders again, from the first read of the new epoch on. After
/// that, the orders in the log take effect, whatever they are.
const ORDERS_WAIT: time::Duration = time::Duration::from_secs(2);

/// The wait for missing orders in the current epoch of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// Current epoch, and until when orders that it lacks are waited for.
    until: Option<(logs::Epoch, clock::Instant)>,
    /// Whether a configuration waits.
    waiting: bool,
}

impl Recovery {
    /// Whether the configuration of `version` must wait: its epoch is newer than that of `held`,
    /// and its `orders` lack one of the `known` ones.
    pub fn must_wait(
        &mut self,
        (held, known): (version::Version, &[mesh::Rollout]),
        (version, orders): (version::Version, &[mesh::Rollout]),
        now: clock::Instant,
    ) -> bool {
        let epoch = version.epoch();
        if self.until.is_none_or(|(epoch_seen, _)| epoch_seen < epoch) {
            self.until = Some((epoch, now + ORDERS_WAIT));
        }
        let in_time =
            self.until.is_some_and(|(epoch_seen, until)| epoch_seen == epoch && now < until);
        let older = held.epoch() < epoch;
        let lacks = |rollout: &mesh::Rollout| !orders.iter().any(|other| rollout.is_like(other));
        self.waiting = in_time && older && known.iter().any(lacks);
        self.waiting
    }

    /// Ends the wait if it is due at `now`; true when it ended, so that the log's state is
    /// accepted.
    pub fn end_wait(&mut self, now: clock::Instant) -> bool {
        let ends = self.due().is_some_and(|due| due <= now);
        self.waiting &= !ends;
        ends
    }

    /// When the wait ends; `None` when nothing waits.
    pub fn due(&self) -> Option<clock::Instant> {
        self.until.filter(|_| self.waiting).map(|(_, until)| until)
    }
}
