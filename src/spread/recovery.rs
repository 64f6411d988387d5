//! What a node holds against a log that came back from an older copy.
//!
//! The operator writes again what the log has lost. Until then the log lacks orders, or names older
//! ones, though the configuration itself may be there.

use std::time;

use crate::clock;
use crate::logs;
use crate::mesh;
use crate::version;

/// Time that the operator has to write its orders again, from the first look at the new epoch on. What it
/// wrote instead holds after that.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// The wait for orders in one epoch of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recovery {
    /// Epoch that is looked at, and until when its gaps are not believed.
    until: Option<(logs::Epoch, clock::Instant)>,
    /// Whether something waits.
    waits: bool,
}

impl Recovery {
    /// Whether the configuration of `version`, with `orders`, is to wait at a node that holds `held`,
    /// with `known` orders.
    pub fn holds_back(
        &mut self,
        (held, known): (version::Version, &[mesh::Rollout]),
        (version, orders): (version::Version, &[mesh::Rollout]),
        now: clock::Instant,
    ) -> bool {
        let epoch = version.epoch();
        if self.until.is_none_or(|(looked, _)| looked < epoch) {
            self.until = Some((epoch, now + PATIENCE));
        }
        let patient = self.until.is_some_and(|(looked, until)| looked == epoch && now < until);
        let older = held.epoch() < epoch;
        let lacks = |rollout: &mesh::Rollout| !orders.iter().any(|other| rollout.is_like(other));
        self.waits = patient && older && known.iter().any(lacks);
        self.waits
    }

    /// Whether what waited is to be looked at again at `now`; it no longer counts as waiting then.
    pub fn ends(&mut self, now: clock::Instant) -> bool {
        let ends = self.due().is_some_and(|due| due <= now);
        self.waits &= !ends;
        ends
    }

    /// When what waits is to be looked at again.
    pub fn due(&self) -> Option<clock::Instant> {
        self.until.filter(|_| self.waits).map(|(_, until)| until)
    }
}
