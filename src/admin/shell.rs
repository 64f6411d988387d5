//! The thread of the reports duty: announcements, metrics, health and status.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task;

use crate::admin::{self, announce, ask, calls, metrics, scatter, server, status, whole};
use crate::burn::{book, report};
use crate::clock::Clock as _;
use crate::configs;
use crate::context;
use crate::host;
use crate::logs::reach;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::rollout;
use crate::traffic;
use crate::usage;
use crate::view;

/// How often leases are looked at.
const TICK: time::Duration = time::Duration::from_millis(250);

/// Longest wait for the last counts of the call path at the end.
const LAST: time::Duration = time::Duration::from_millis(1500);

/// Reports on the whole mesh made at once.
const REPORTS: usize = 2;

/// What joins the reports duty to the others.
#[derive(Debug)]
pub struct Wiring {
    /// Configuration this node runs.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the call path: what was seen of that upstream while its version is tried.
    pub trial: watch::Receiver<rollout::Trial>,
    /// Where the upstream beside this node is put; `None` while there is none.
    pub local: watch::Sender<Option<Arc<node::Local>>>,
    /// Whether the log answers, see [`reach::Watched`].
    pub reach: watch::Receiver<reach::Reach>,
    /// From the call path: what was counted. Full: the counts stay there and come with the next.
    pub tallies: ring::Receiver<usage::Delta>,
    /// To the ledger: the same counts. Full: this duty waits, and the counts stay in the call path.
    pub usage: ring::Sender<usage::Delta>,
    /// Registry of metrics.
    pub metrics: metrics::Metrics,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// What the connections of the port share.
#[derive(Debug)]
pub struct State {
    ctx: context::Context,
    host: host::HostId,
    place: view::Place,
    settings: configs::admin::Admin,
    applied: watch::Receiver<Arc<mesh::Applied>>,
    view: watch::Receiver<Arc<view::View>>,
    trial: watch::Receiver<rollout::Trial>,
    local: watch::Sender<Option<Arc<node::Local>>>,
    reach: watch::Receiver<reach::Reach>,
    metrics: metrics::Metrics,
    stage: watch::Receiver<node::Stage>,
    traffic: Arc<traffic::Traffic>,
    desk: RefCell<announce::Desk>,
    book: RefCell<book::Book>,
    /// When the applied configuration was seen, in milliseconds since the Unix epoch.
    applied_unix_ms: Cell<Option<u64>>,
    reports: Semaphore,
}

/// Whether the node may take calls, and why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Readiness {
    /// It runs an accepted configuration.
    pub configured: bool,
    /// It is a member of the mesh, as far as it knows.
    pub member: bool,
    /// It is not being stopped.
    pub running: bool,
}

impl Readiness {
    /// Whether the node may take calls.
    pub const fn ready(self) -> bool {
        self.configured && self.member && self.running
    }
}

/// Runs the duty until the stage is [`node::Stage::End`]; spawns local tasks, so that it needs a
/// `tokio::task::LocalSet` such as [`node::duty::Duty`] gives.
///
/// # Errors
///
/// Fails when the port can't be listened on.
pub async fn run(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: Wiring,
) -> Result<(), admin::Error> {
    let address = settings.bound().admin_addr();
    let mut listeners = Vec::new();
    for address in std::iter::once(address).chain(settings.admin.also.iter().copied()) {
        let bound = TcpListener::bind(address).await;
        listeners.push(bound.map_err(|source| admin::Error::Bind { address, source })?);
    }
    let Wiring { tallies, usage, mut stage, .. } = wiring;
    let calls = calls::Calls::default();
    wiring.metrics.collect(calls.clone());
    wiring.metrics.collect(metrics::Traffic(Arc::clone(&wiring.traffic)));
    let state = Rc::new(State {
        ctx,
        host: settings.host(),
        place: view::Place { region: settings.region.clone(), zone: settings.zone.clone() },
        settings: settings.admin.clone(),
        applied: wiring.applied,
        view: wiring.view,
        trial: wiring.trial,
        local: wiring.local,
        reach: wiring.reach,
        metrics: wiring.metrics,
        stage: stage.clone(),
        traffic: wiring.traffic,
        desk: RefCell::new(announce::Desk::new(
            address.ip(),
            time::Duration::from_millis(settings.admin.lease_ms),
        )),
        book: RefCell::new(book::Book::new(ctx.clock.unix_millis())),
        applied_unix_ms: Cell::new(None),
        reports: Semaphore::new(REPORTS),
    });
    let connections = usize::from(settings.admin.connections);
    let mut tasks = vec![task::spawn_local(follow(Rc::clone(&state)))];
    for listener in listeners {
        let accept = server::accept(listener, Rc::clone(&state), connections);
        tasks.push(task::spawn_local(accept));
    }
    let mut counting = task::spawn_local(count(Rc::clone(&state), tallies, calls, usage));
    // A dropped sender means that the process ends, too.
    let _ = stage.wait_for(|&stage| stage == node::Stage::End).await;
    // The call path ends at the same time and hands over its last counts.
    let _ = tokio::time::timeout(LAST, &mut counting).await;
    counting.abort();
    tasks.iter().for_each(task::JoinHandle::abort);
    Ok(())
}

/// Follows the configuration and the leases.
async fn follow(state: Rc<State>) {
    let mut applied = state.applied.clone();
    applied.mark_changed();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            changed = applied.changed() => {
                if changed.is_err() {
                    return;
                }
                let runs = applied.borrow_and_update().stamp.version.number() > 0;
                state.applied_unix_ms.set(runs.then(|| state.ctx.clock.unix_millis()));
            }
            _ = tick.tick() => state.desk.borrow_mut().expire(state.ctx.now()),
        }
        state.publish();
    }
}

/// Takes what the call path counted, until the call path has ended.
async fn count(
    state: Rc<State>,
    mut tallies: ring::Receiver<usage::Delta>,
    calls: calls::Calls,
    ledger: ring::Sender<usage::Delta>,
) {
    while let Some(delta) = tallies.recv().await {
        calls.add(&delta);
        state.book.borrow_mut().add(&delta, state.ctx.clock.unix_millis());
        // While the ledger is behind, the counts wait in the ring before this one, and in the
        // call path's tally.
        if ledger.send(delta).await.is_err() {
            log::warn!("the ledger has ended before the reports");
        }
    }
}

impl State {
    /// Whether `peer` may announce an upstream.
    pub fn admits(&self, peer: std::net::IpAddr) -> bool {
        self.desk.borrow().admits(peer)
    }

    /// Takes an announcement.
    ///
    /// # Errors
    ///
    /// Names what is wrong with it.
    pub fn announce(
        &self,
        instance: &SmolStr,
        announcement: announce::Announcement,
    ) -> Result<(), announce::Fault> {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        let result = self.desk.borrow_mut().announce(instance, announcement, self.ctx.now(), &mesh);
        self.publish();
        result
    }

    /// Takes the announcement back.
    pub fn withdraw(&self, instance: &SmolStr, withdrawal: announce::Withdrawal) {
        self.desk.borrow_mut().withdraw(instance, withdrawal.born);
        self.publish();
    }

    /// Tells the other duties which upstream is beside this node.
    fn publish(&self) {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        let mut local = self.desk.borrow().local(&mesh);
        if let Some(local) = &mut local {
            local.upstream.trial = *self.trial.borrow();
        }
        self.local.send_if_modified(|held| {
            let changed = held.as_deref() != local.as_ref();
            if changed {
                if !is_like(held.as_deref(), local.as_ref()) {
                    tell(local.as_ref());
                }
                *held = local.map(Arc::new);
            }
            changed
        });
    }

    /// Whether the node may take calls.
    pub fn readiness(&self) -> Readiness {
        Readiness {
            configured: self.applied.borrow().stamp.version.number() > 0,
            member: self.view.borrow().standing == view::Standing::Member,
            running: *self.stage.borrow() == node::Stage::Run,
        }
    }

    /// All metrics as text.
    pub fn metrics(&self) -> String {
        self.metrics.encode()
    }

    /// The status of this node.
    pub fn status(&self) -> status::Status {
        let view = Arc::clone(&self.view.borrow());
        let local = self.local.borrow().clone();
        let source = status::Source {
            host: self.host,
            place: &self.place,
            stamp: self.applied.borrow().stamp,
            applied_unix_ms: self.applied_unix_ms.get(),
            view: &view,
            local: local.as_deref(),
            log: *self.reach.borrow(),
            ready: self.readiness().ready(),
            traffic: &self.traffic,
        };
        source.status()
    }

    /// The status of the mesh; `None` when too many such reports are being made.
    pub async fn mesh_status(&self) -> Option<whole::Mesh> {
        let _place = self.reports.try_acquire().ok()?;
        let mut gathered = self.gather::<status::Status>("/status").await;
        gathered.answers.push(self.status());
        let missing = gathered.missing.iter().map(|h| smol_str::format_smolstr!("{h}"));
        let missing: Vec<SmolStr> = missing.collect();
        Some(whole::mesh(&gathered.answers, missing, self.ctx.clock.unix_millis()))
    }

    /// What this node counted for the objectives of its configuration.
    pub fn burn(&self) -> book::Page {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        self.book.borrow().page(&mesh, self.ctx.clock.unix_millis())
    }

    /// The report on service levels; `None` when too many such reports are being made.
    pub async fn mesh_burn(&self) -> Option<report::Report> {
        let _place = self.reports.try_acquire().ok()?;
        let mut gathered = self.gather::<book::Page>("/burn").await;
        gathered.answers.insert(0, self.burn());
        let missing = gathered.missing.iter().map(|h| smol_str::format_smolstr!("{h}"));
        Some(report::report(&gathered.answers, missing.collect()))
    }

    /// Asks all other nodes for `path`.
    async fn gather<T: serde::de::DeserializeOwned>(&self, path: &str) -> scatter::Gathered<T> {
        let hosts = scatter::others(&self.view.borrow(), self.host);
        let limits = scatter::Limits {
            width: usize::from(self.settings.scatter),
            whole: time::Duration::from_millis(self.settings.report_ms),
        };
        let limit = time::Duration::from_millis(self.settings.answer_ms);
        scatter::gather(&hosts, limits, |host| ask::json(host.admin_addr(), path, limit)).await
    }
}

/// Whether both are the same but for what was seen of their answers.
fn is_like(old: Option<&node::Local>, new: Option<&node::Local>) -> bool {
    let (Some(old), Some(new)) = (old, new) else { return old.is_none() && new.is_none() };
    let mut seen = new.clone();
    seen.upstream.trial = old.upstream.trial;
    seen == *old
}

/// Logs what the node believes of its upstream from now on.
fn tell(local: Option<&node::Local>) {
    let Some(local) = local else { return log::info!("no upstream is beside this node") };
    let upstream = &local.upstream;
    log::info!(
        instance = local.instance.as_str(),
        life = upstream.life,
        service = upstream.service.as_str(),
        version = upstream.version.as_str(),
        phase:? = upstream.phase,
        slots = upstream.slots,
        connections = upstream.connections;
        "the upstream beside this node has changed"
    );
}
