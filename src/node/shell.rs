//! A running node: wires the duties together and takes them through the stages of a planned stop.

use std::sync::Arc;
use std::time;

use tokio::sync::watch;
use tokio::task;

use crate::admin;
use crate::claim;
use crate::clock::{self, Clock as _};
use crate::configs;
use crate::context;
use crate::logs;
use crate::member;
use crate::node;
use crate::node::duty;
use crate::node::life;
use crate::node::ports;
use crate::proxy;
use crate::quarantine;
use crate::ring;
use crate::rollout;
use crate::spread;
use crate::traffic;

/// Time between two looks at the duties.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// Room for peers that run something else; the next probe repeats what is dropped.
const HEARD: usize = 256;

/// Room for usage counts; what is refused stays with the call path.
const TALLIES: usize = 16;

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
    /// The duty of calls; its end means that nothing is in flight.
    calls: duty::Duty,
    others: Vec<duty::Duty>,
    limits: life::Limits,
}

impl Node {
    /// Starts every duty of a node.
    ///
    /// # Errors
    ///
    /// The operating system gives no thread. A duty that can't bind its address ends with an
    /// error, which [`Node::run`] gives.
    pub fn start<P: ports::Ports>(
        ctx: context::Context,
        settings: configs::Node,
        ports: P,
    ) -> Result<Self, duty::Error> {
        let limits = life::Limits {
            serve: time::Duration::from_millis(settings.stop.serve_ms),
            settle: time::Duration::from_millis(settings.stop.settle_ms),
            drain: time::Duration::from_millis(settings.stop.drain_ms),
        };
        let wires = Wires::new(ctx, settings, ports);
        let stage = wires.stage.clone();
        let (calls, others) = wires.start()?;
        Ok(Self { clock: ctx.clock, stage, calls, others, limits })
    }

    /// Runs until a planned stop that was asked for through `stops` is over, or until a duty
    /// fails. A second request cuts the drain short.
    ///
    /// # Errors
    ///
    /// The first failure of a duty; the other duties are ended before.
    pub async fn run(self, mut stops: ring::Receiver<Stop>) -> Result<(), duty::Error> {
        let mut life = life::Machine::new(self.limits);
        loop {
            let event = tokio::select! {
                Some(Stop) = stops.recv() => life::Event::Stop,
                () = tokio::time::sleep(LOOK) => self.look(),
            };
            let stage = life.handle(event, self.clock.now());
            if self.stage.send_if_modified(|old| std::mem::replace(old, stage) != stage) {
                log::info!(stage:? = stage; "the stage of the node has changed");
            }
            if stage == node::Stage::End || self.broken(stage) {
                break;
            }
        }
        self.end().await
    }

    fn look(&self) -> life::Event {
        if self.calls.ended() { life::Event::Idle } else { life::Event::Tick }
    }

    /// Whether a duty has ended that should not have.
    fn broken(&self, stage: node::Stage) -> bool {
        let calls = stage < node::Stage::Drain && self.calls.ended();
        calls || self.others.iter().any(duty::Duty::ended)
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

/// The ends of everything that joins the duties of one node.
struct Wires<P> {
    ports: P,
    ctx: context::Context,
    settings: Arc<configs::Node>,
    traffic: Arc<traffic::Traffic>,
    metrics: admin::metrics::Metrics,
    /// Told by every client of the log.
    told: Arc<watch::Sender<logs::reachability::Reachability>>,
    reach: watch::Receiver<logs::reachability::Reachability>,
    stage: watch::Sender<node::Stage>,
}

impl<P: ports::Ports> Wires<P> {
    fn new(ctx: context::Context, settings: configs::Node, ports: P) -> Self {
        let traffic = Arc::new(traffic::Traffic::default());
        let (told, reach) = watch::channel(logs::reachability::Reachability::default());
        Self {
            ports,
            ctx,
            settings: Arc::new(settings),
            traffic,
            metrics: admin::metrics::Metrics::new(),
            told: Arc::new(told),
            reach,
            stage: watch::Sender::new(node::Stage::Run),
        }
    }

    /// A client of the log service; each duty has its own.
    fn log(&self) -> Log<P> {
        let client = self.ports.log(&self.settings, Arc::clone(&self.traffic));
        logs::reachability::Watched::new(client, self.ctx.clock, Arc::clone(&self.told))
    }

    /// Starts the duties; the first of the result is that of calls.
    fn start(self) -> Result<(duty::Duty, Vec<duty::Duty>), duty::Error> {
        let (applied_in, applied) = watch::channel(Arc::default());
        let (view_in, view) = watch::channel(Arc::default());
        let (local_in, local) = watch::channel(None);
        let (heard_in, heard) = ring::bounded(HEARD);
        let (tallies_in, tallies) = ring::bounded(TALLIES);
        self.metrics.ring("heard", &heard_in);
        let (usage_in, usage) = ring::bounded(TALLIES);
        let (claims, ends) = claim::handle::pair();
        self.metrics.ring("tallies", &tallies_in);
        self.metrics.ring("claims", claims.claims());
        self.metrics.ring("releases", claims.releases());
        let (suspects, reported) = quarantine::channel();
        self.metrics.ring("quarantine", &suspects.reports);
        self.metrics.quarantine(&suspects.counts);
        let member = self.member(member::shell::Wiring {
            applied: applied.clone(),
            view: view_in,
            mismatches: heard_in,
            local: local.clone(),
            quarantine: reported,
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let spread = self.spread(spread::shell::Wiring {
            applied: applied_in,
            view: view.clone(),
            mismatches: heard,
            log: self.log(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let ledger = self.ledger(claim::shell::Wiring {
            ends,
            deltas: usage,
            view: view.clone(),
            applied: applied.clone(),
            log: self.log(),
            metrics: self.metrics.clone(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let (beliefs, believed) = watch::channel(Vec::new());
        let (said_in, said) = watch::channel(Default::default());
        let (trial, tried) = watch::channel(Default::default());
        let rollout = self.rollout(rollout::shell::Wiring {
            statuses: self.ports.statuses(&self.settings, Arc::clone(&self.traffic)),
            progress: believed,
            status_list: said_in,
            view: view.clone(),
            stage: self.stage.subscribe(),
        })?;
        let admin = self.admin(admin::shell::Wiring {
            applied: applied.clone(),
            view: view.clone(),
            trial: tried,
            local: local_in,
            reach: self.reach.clone(),
            tallies,
            usage: usage_in,
            metrics: self.metrics.clone(),
            stage: self.stage.subscribe(),
            traffic: Arc::clone(&self.traffic),
        })?;
        let calls = self.calls(proxy::wiring::Wiring {
            applied,
            view,
            local,
            stage: self.stage.subscribe(),
            tallies: tallies_in,
            claims,
            dialect: self.ports.dialect(),
            quarantine: suspects,
            rollouts: rollout::shell::Channels { progress: beliefs, statuses: said, trial },
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
        let (ctx, me) = (self.ctx, self.settings.host());
        duty::Duty::spawn("rollout", move || rollout::shell::run(ctx, me, wiring))
    }

    fn calls(
        &self,
        wiring: proxy::wiring::Wiring<claim::handle::Handle>,
    ) -> Result<duty::Duty, duty::Error> {
        let (ctx, settings) = (self.ctx, Arc::clone(&self.settings));
        duty::Duty::spawn("calls", move || proxy::shell::run(ctx, settings, wiring))
    }
}
