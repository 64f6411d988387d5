//! Roll-outs on the call path: which versions serve a call, and what their answers are like.

use std::cell::{Cell, RefCell};
use std::time;

use crate::clock;
use crate::mesh;
use crate::rollout;
use crate::rollout::counts;
use crate::rollout::status;
use crate::view;

/// An answer, or the lack of one, as evidence on a version.
#[derive(Clone, Copy, Debug)]
pub struct Result {
    /// Whether the upstream failed the call or gave no whole answer.
    pub failed: bool,
    /// How long the upstream ran, with the usual time for calls of the kind; `None` where either is not
    /// known.
    pub times: Option<(time::Duration, time::Duration)>,
}

impl Result {
    /// Whether it speaks against the version.
    fn is_bad(&self, warm: bool) -> bool {
        let slow = |(ran, usual): (time::Duration, time::Duration)| {
            ran > usual.mul_f32(counts::SLOW_FACTOR)
        };
        self.failed || (warm && self.times.is_some_and(slow))
    }
}

/// The orders as the calls of this node see them.
#[derive(Debug, Default)]
pub struct Versions {
    table: RefCell<rollout::Table>,
    /// What was seen of the upstream beside this node.
    trial: Cell<rollout::TrialReport>,
}

impl Versions {
    /// Takes in orders and what the hosts tell.
    pub fn update(&self, mesh: &mesh::Mesh, view: &view::View, now: clock::Instant) {
        self.table.borrow_mut().update(mesh, view, now);
    }

    /// Takes over what the mesh has said.
    pub fn settle(&self, said: &status::StatusList) {
        for status in &said.list {
            let Some(stage) = status.state.stage() else { continue };
            self.table.borrow_mut().settle(&status.service, status.order, stage);
        }
    }

    /// Whether nothing changes with time at `now`.
    pub fn is_idle(&self, now: clock::Instant) -> bool {
        self.table.borrow().is_idle(now)
    }

    /// Whether there are orders, and answers are evidence.
    pub fn has_orders(&self) -> bool {
        self.table.borrow().has_orders()
    }

    /// Runs `with` on the orders.
    pub fn with<T>(&self, with: impl FnOnce(&rollout::Table) -> T) -> T {
        with(&self.table.borrow())
    }

    /// The versions that serve the next call for `service`.
    pub fn next(&self, service: &str, now: clock::Instant) -> rollout::VersionGroup {
        self.table.borrow_mut().next_group(service, now)
    }

    /// The versions that serve a call for `service` where `side` has no upstream.
    pub fn instead(
        &self,
        service: &str,
        side: rollout::VersionGroup,
    ) -> Option<rollout::VersionGroup> {
        self.table.borrow().fallback(service, side)
    }

    /// What this node believes.
    pub fn progress(&self) -> Vec<rollout::table::Progress> {
        self.table.borrow().progress()
    }

    /// What was seen of the upstream beside this node.
    pub const fn trial(&self) -> rollout::TrialReport {
        self.trial.get()
    }

    /// Notes what the old version answered to a call that was made here.
    pub fn note_old(&self, service: &str, result: Result) {
        self.table.borrow_mut().record_old(service, result.is_bad(true));
    }

    /// Notes what the upstream beside this node answered.
    pub fn note_own(&self, upstream: &view::Upstream, result: Result) {
        let order = self.table.borrow().trial_order(&upstream.service, &upstream.version);
        let mut trial = self.trial.get();
        if trial.order != order {
            trial = rollout::TrialReport { order, ..rollout::TrialReport::default() };
        }
        if order > 0 {
            trial.new.record(result.is_bad(upstream.phase == view::Phase::Serving));
        }
        self.trial.set(trial);
    }

    /// Brings what the others are told up to date with what is known of the order for the service of
    /// `upstream`, which is beside this node.
    pub fn judge(&self, upstream: Option<&view::Upstream>) {
        let trial = upstream.map(|upstream| self.table.borrow().trial(upstream, self.trial.get()));
        self.trial.set(trial.unwrap_or_default());
    }
}
