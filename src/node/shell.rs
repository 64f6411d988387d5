//! A running node: connects the duties and leads them through the stages of a planned stop.

use std::sync::Arc;
use std::time;

use prometheus_client::metrics::gauge;
use tokio::sync::watch;
use tokio::task;

use crate::admin;
use crate::claim;
use crate::clock::{self, Clock as _};
use crate::configs;
use crate::context;
use crate::leave;
use crate::logs;
use crate::member;
use crate::node;
use crate::node::duty;
use crate::node::lifecycle;
use crate::node::ports;
use crate::node::stop;
use crate::notice;
use crate::pick;
use crate::proxy;
use crate::quarantine;
use crate::quota;
use crate::retry;
use crate::ring;
use crate::rollout;
use crate::spread;
use crate::traffic;

/// Interval of checks whether a duty has ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Capacity of the ring of peers that run another version. Dropped entries are repeated by the next
/// probe.
const MISMATCH_CAPACITY: usize = 256;

/// Capacity of the rings of usage counts; refused counts stay with the sender.
const COUNTS_CAPACITY: usize = 16;

/// The log service as the duties use it.
type Log<P> = logs::reachability::Watched<<P as ports::Ports>::Log>;

/// A request for a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop;

/// A running node.
#[derive(Debug)]
pub struct Node {
    clock: clock::System,
    stage: watch::Sender<node::Stage>,
    /// The calls duty; it ends when no call is in flight.
    calls: duty::Duty,
    others: Vec<duty::Duty>,
    limits: lifecycle::Limits,
}

impl Node {
    /// Starts every duty of a node.
    ///
    /// # Errors
    ///
    /// A thread can't be created. A duty that can't bind its address ends with an error, which
    /// [`Node::run`] returns.
    pub fn start<P: ports::Ports>(
        ctx: context::Context,
        settings: configs::Node,
        ports: P,
    ) -> Result<Self, duty::Error> {
        let plan = stop::Plan::new(&settings.stop);
        log_plan(&settings.stop, &plan);
        let limits = lifecycle::Limits {
            serve: plan.serve,
            settle: time::Duration::from_millis(settings.stop.settle_ms),
            drain: plan.cut.saturating_sub(plan.serve),
        };
        let builder = Builder::new(ctx, settings, ports);
        let stage = builder.stage.clone();
        let (calls, others) = builder.start()?;
        Ok(Self { clock: ctx.clock, stage, calls, others, limits })
    }

    /// Runs until a planned stop requested through `stops` is complete, or until a duty fails. A
    /// second request ends the drain at once.
    ///
    /// # Errors
    ///
    /// The first error of a duty, returned after the other duties have ended.
    pub async fn run(self, mut stops: ring::Receiver<Stop>) -> Result<(), duty::Error> {
        let mut lifecycle = lifecycle::Machine::new(self.limits);
        loop {
            let event = tokio::select! {
                Some(Stop) = stops.recv() => lifecycle::Event::Stop,
                () = tokio::time::sleep(CHECK_INTERVAL) => self.event(),
            };
            let stage = lifecycle.handle(event, self.clock.now());
            if self.stage.send_if_modified(|old| std::mem::replace(old, stage) != stage) {
                log::info!(stage:? = stage; "the stage of the node changed");
            }
            if stage == node::Stage::End || self.has_failed(stage) {
                break;
            }
        }
        self.end().await
    }

    fn event(&self) -> lifecycle::Event {
        if self.calls.is_finished() { lifecycle::Event::Idle } else { lifecycle::Event::Tick }
    }

    /// Whether a duty has ended that should still run.
    fn has_failed(&self, stage: node::Stage) -> bool {
        let calls = stage < node::Stage::Drain && self.calls.is_finished();
        calls || self.others.iter().any(duty::Duty::is_finished)
    }

    async fn end(self) -> Result<(), duty::Error> {
        self.stage.send_replace(node::Stage::End);
        let duties = std::iter::once(self.calls).chain(self.others);
        let duties: Vec<_> = duties.collect();
        let joined = task::spawn_blocking(|| {
            let results: Vec<_> = duties.into_iter().map(duty::Duty::join).collect();
            results.into_iter().collect()
        });
        joined.await.unwrap_or(Err(duty::Error::Panicked { name: "node" }))
    }
}

/// Logs the times of a planned stop, and whether they follow from the time of the kill.
fn log_plan(settings: &configs::stop::Stop, plan: &stop::Plan) {
    if settings.kill_s == 0.0 {
        log::warn!(
            drain_ms = settings.drain_ms;
            "no time of a kill is set; a planned stop waits for the calls in flight"
        );
    }
    log::info!(
        serve_ms = millis(plan.serve), answer_ms = millis(plan.answer), cut_ms = millis(plan.cut),
        flush_ms = millis(plan.flush);
        "times of a planned stop"
    );
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Connects and starts the duties of one node.
struct Builder<P> {
    ports: P,
    ctx: context::Context,
    settings: Arc<configs::Node>,
    traffic: Arc<traffic::Traffic>,
    metrics: admin::metrics::Metrics,
    /// Updated by every client of the log.
    reach_sender: Arc<watch::Sender<logs::reachability::Reachability>>,
    reach: watch::Receiver<logs::reachability::Reachability>,
    stage: watch::Sender<node::Stage>,
}

impl<P: ports::Ports> Builder<P> {
    fn new(ctx: context::Context, settings: configs::Node, ports: P) -> Self {
        let traffic = Arc::new(traffic::Traffic::default());
        let (reach_sender, reach) = watch::channel(logs::reachability::Reachability::default());
        Self {
            ports,
            ctx,
            settings: Arc::new(settings),
            traffic,
            metrics: admin::metrics::Metrics::new(),
            reach_sender: Arc::new(reach_sender),
            reach,
            stage: watch::Sender::new(node::Stage::Run),
        }
    }

    /// A client of the log service; each duty has its own.
    fn log(&self) -> Log<P> {
        let client = self.ports.log(&self.settings, Arc::clone(&self.traffic));
        logs::reachability::Watched::new(client, self.ctx.clock, Arc::clone(&self.reach_sender))
    }

    /// Starts the duties; returns the calls duty and the others.
    fn start(self) -> Result<(duty::Duty, Vec<duty::Duty>), duty::Error> {
        let (applied_sender, applied) = watch::channel(Arc::default());
        let (view_sender, view) = watch::channel(Arc::default());
        let (local_sender, local) = watch::channel(None);
        let (mismatches_sender, mismatches) = ring::bounded(MISMATCH_CAPACITY);
        let (tallies_sender, tallies) = ring::bounded(COUNTS_CAPACITY);
        self.metrics.ring("heard", &mismatches_sender);
        let (usage_sender, usage) = ring::bounded(COUNTS_CAPACITY);
        let (claims, receivers) = claim::handle::pair();
        self.metrics.ring("tallies", &tallies_sender);
        self.metrics.ring("claims", claims.claims());
        self.metrics.ring("releases", claims.releases());
        let (suspects, reports) = quarantine::channel();
        self.metrics.ring("quarantine", &suspects.reports);
        self.metrics.quarantine(&suspects.counts);
        let quotas = quota::Counts::default();
        self.metrics.quotas(&quotas);
        let answers = proxy::answer::Counts::default();
        self.metrics.answers(&answers);
        let notices = notice::Counts::default();
        self.metrics.notices(&notices);
        let picks = pick::Counts::default();
        self.metrics.picks(&picks);
        let retries = retry::Counts::default();
        self.metrics.retries(&retries);
        let slots = proxy::slots::Counts::default();
        self.metrics.slots(&slots);
        let (leaves, member_leaves) = leave::channel();
        let member = self.member(member::shell::Wiring {
            applied: applied.clone(),
            view: view_sender,
            mismatches: mismatches_sender,
            local: local.clone(),
            quarantine: reports,
            leaves: member_leaves,
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let help = "Whether the newest accepted version can't be applied";
        let unusable =
            self.metrics.register("configuration_unusable", help, gauge::Gauge::default());
        let spread = self.spread(spread::shell::Wiring {
            unusable,
            applied: applied_sender,
            view: view.clone(),
            mismatches,
            log: self.log(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let ledger = self.ledger(claim::shell::Wiring {
            receivers,
            deltas: usage,
            view: view.clone(),
            applied: applied.clone(),
            log: self.log(),
            metrics: self.metrics.clone(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let (progress, progress_receiver) = watch::channel(Vec::new());
        let (statuses_sender, statuses) = watch::channel(Default::default());
        let (trial, trial_receiver) = watch::channel(Default::default());
        let (leaving, leaving_receiver) = watch::channel(None);
        let rollout = self.rollout(rollout::shell::Wiring {
            statuses: self.ports.statuses(&self.settings, Arc::clone(&self.traffic)),
            progress: progress_receiver,
            status_list: statuses_sender,
            view: view.clone(),
            stage: self.stage.subscribe(),
        })?;
        let admin = self.admin(admin::shell::Wiring {
            applied: applied.clone(),
            view: view.clone(),
            trial: trial_receiver,
            leaving: leaving_receiver,
            leaves,
            local: local_sender,
            reach: self.reach.clone(),
            tallies,
            usage: usage_sender,
            metrics: self.metrics.clone(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let calls = self.calls(proxy::wiring::Wiring {
            applied,
            view,
            local,
            stage: self.stage.subscribe(),
            tallies: tallies_sender,
            claims,
            dialect: self.ports.dialect(),
            quarantine: suspects,
            quotas,
            answers,
            notices: notice::CallSide { counts: notices, leaving },
            picks,
            retries,
            slots,
            overload: self.metrics.overload().clone(),
            rollouts: rollout::shell::Channels { progress, statuses, trial },
        })?;
        Ok((calls, vec![member, spread, ledger, admin, rollout]))
    }

    fn member(&self, wiring: member::shell::Wiring) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        let directory = self.ports.directory(&settings, Arc::clone(&self.traffic));
        duty::Duty::spawn("member", move || member::shell::run(ctx, settings, directory, wiring))
    }

    fn spread(&self, wiring: spread::shell::Wiring<Log<P>>) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        duty::Duty::spawn("spread", move || spread::shell::run(ctx, settings, wiring))
    }

    fn ledger(&self, wiring: claim::shell::Wiring<Log<P>>) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        duty::Duty::spawn("ledger", move || claim::shell::run(ctx, settings, wiring))
    }

    fn admin(&self, wiring: admin::shell::Wiring) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        duty::Duty::spawn("admin", move || admin::shell::run(ctx, settings, wiring))
    }

    fn rollout(
        &self,
        wiring: rollout::shell::Wiring<P::Statuses>,
    ) -> Result<duty::Duty, duty::Error> {
        let (ctx, host) = (self.ctx, self.settings.host());
        duty::Duty::spawn("rollout", move || rollout::shell::run(ctx, host, wiring))
    }

    fn calls(
        &self,
        wiring: proxy::wiring::Wiring<claim::handle::Handle>,
    ) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        duty::Duty::spawn("calls", move || proxy::shell::run(ctx, settings, wiring))
    }
}
