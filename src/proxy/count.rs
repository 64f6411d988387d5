//! Counts calls for usage and objectives.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use crate::clock;
use crate::context;
use crate::mesh;
use crate::retry;
use crate::usage;

/// A call that is counted once, when it ends. If this is dropped before, the call counts as left by
/// its caller.
#[derive(Debug)]
pub struct Pending {
    ctx: context::Context,
    tally: Rc<RefCell<usage::Tally>>,
    mesh: Arc<mesh::Mesh>,
    kind: mesh::KindKey,
    started: clock::Instant,
    /// Whether the upstream's answer is a server error.
    failed: bool,
    counted: bool,
}

impl Pending {
    /// A call of `kind`, a key of `mesh`, that arrived at `started`.
    pub const fn new(
        ctx: context::Context,
        tally: Rc<RefCell<usage::Tally>>,
        mesh: Arc<mesh::Mesh>,
        kind: mesh::KindKey,
        started: clock::Instant,
    ) -> Self {
        Self { ctx, tally, mesh, kind, started, failed: false, counted: false }
    }

    /// Records the status of the upstream's answer.
    pub fn set_status(&mut self, status: http::StatusCode) {
        self.failed = status.is_server_error();
    }

    /// Counts a call whose answer was read to its end.
    pub fn served(mut self) {
        let outcome = if self.failed { usage::Outcome::Failed } else { usage::Outcome::Served };
        self.record(outcome);
    }

    /// Counts a call that ended with `outcome`, without a complete answer of its upstream.
    pub fn ended(mut self, outcome: retry::Outcome) {
        self.record(match outcome {
            retry::Outcome::Ran => usage::Outcome::Served,
            retry::Outcome::NotRun(_) => usage::Outcome::Refused,
            retry::Outcome::Unknown(_) => usage::Outcome::Unknown,
        });
    }

    fn record(&mut self, outcome: usage::Outcome) {
        if self.counted {
            return;
        }
        self.counted = true;
        let latency = self.ctx.now().since(self.started);
        let count = usage::Count::new(&self.mesh, self.kind, outcome, latency);
        self.tally.borrow_mut().record(&count);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.record(usage::Outcome::Left);
    }
}
