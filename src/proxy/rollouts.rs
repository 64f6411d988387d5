//! Roll-outs on the call path: selects the versions that serve a call and records their answers.

use std::cell::{Cell, RefCell};
use std::time;

use crate::clock;
use crate::mesh;
use crate::rollout;
use crate::rollout::counts;
use crate::rollout::status;
use crate::view;

/// What the result of a call shows of a version.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// What the result shows, apart from its run time.
    pub verdict: rollout::Verdict,
    /// Run time at the upstream and mean run time of the kind; `None` if either is unknown.
    pub times: Option<(time::Duration, time::Duration)>,
}

impl Observation {
    /// What the result shows of the version. Run times count only if the upstream `is_warm`.
    fn verdict(&self, is_warm: bool) -> rollout::Verdict {
        let slow =
            |(ran, mean): (time::Duration, time::Duration)| ran > mean.mul_f32(counts::SLOW_FACTOR);
        match self.verdict {
            rollout::Verdict::Good if is_warm && self.times.is_some_and(slow) => {
                rollout::Verdict::Poor
            }
            verdict => verdict,
        }
    }
}

/// The state of the roll-outs on the call path.
#[derive(Debug, Default)]
pub struct Rollouts {
    table: RefCell<rollout::Table>,
    /// Results observed at the local upstream.
    counted: RefCell<rollout::table::Counted>,
    /// The report on them.
    trial: Cell<rollout::TrialReport>,
}

impl Rollouts {
    /// Applies the roll-out orders of `mesh` and the hosts' reports in `view`.
    pub fn update(&self, mesh: &mesh::Mesh, view: &view::View, now: clock::Instant) {
        self.table.borrow_mut().update(mesh, view, now);
    }

    /// Applies the published status of each roll-out.
    pub fn apply_statuses(&self, statuses: &status::StatusList) {
        for status in &statuses.list {
            let Some(stage) = status.state.stage() else { continue };
            self.table.borrow_mut().settle(&status.service, status.order, stage);
        }
    }

    /// Whether no roll-out will change with time after `now`.
    pub fn is_idle(&self, now: clock::Instant) -> bool {
        self.table.borrow().is_idle(now)
    }

    /// Whether there are roll-out orders, so that answers must be recorded.
    pub fn has_orders(&self) -> bool {
        self.table.borrow().has_orders()
    }

    /// Runs `with` on the table of roll-outs.
    pub fn with<T>(&self, with: impl FnOnce(&rollout::Table) -> T) -> T {
        with(&self.table.borrow())
    }

    /// Which versions serve the next call for `service`, which came on the route `name`: all, those
    /// of the order, or the others.
    pub fn next_group(
        &self,
        service: &str,
        name: &str,
        now: clock::Instant,
    ) -> rollout::VersionGroup {
        if !self.has_orders() {
            return rollout::VersionGroup::Any;
        }
        self.table.borrow_mut().next_group(service, rollout::RouteId::of(name), now)
    }

    /// Which versions serve a call for `service` if those of `group` have no upstream; `None` if no
    /// others may.
    pub fn fallback(
        &self,
        service: &str,
        group: rollout::VersionGroup,
    ) -> Option<rollout::VersionGroup> {
        self.table.borrow().fallback(service, group)
    }

    /// The progress of each roll-out as seen by this node.
    pub fn progress(&self) -> Vec<rollout::table::Progress> {
        self.table.borrow().progress()
    }

    /// Results observed at the local upstream, for the other hosts.
    pub const fn trial(&self) -> rollout::TrialReport {
        self.trial.get()
    }

    /// Records a result of the old version, for a call that entered the mesh at this node.
    pub fn record_old(&self, service: &str, route: &str, observation: Observation) {
        if self.has_orders() {
            let route = rollout::RouteId::of(route);
            self.table.borrow_mut().record_old(service, route, observation.verdict(true));
        }
    }

    /// Records a result of the local upstream.
    pub fn record_local(&self, upstream: &view::Upstream, route: &str, observation: Observation) {
        let order = self.table.borrow().trial_order(&upstream.service, &upstream.version);
        let mut counted = self.counted.borrow_mut();
        if counted.order != order {
            *counted = rollout::table::Counted { order, ..rollout::table::Counted::default() };
        }
        if order > 0 {
            let verdict = observation.verdict(upstream.phase == view::Phase::Serving);
            counted.new.record(verdict.is_bad());
            counted.routes.record_new(rollout::RouteId::of(route), verdict);
        }
    }

    /// Updates the published results for the current roll-out of the local upstream's service.
    pub fn update_trial(&self, upstream: Option<&view::Upstream>) {
        let counted = self.counted.borrow();
        let trial = upstream.map(|upstream| self.table.borrow().trial(upstream, &counted));
        self.trial.set(trial.unwrap_or_default());
    }
}
