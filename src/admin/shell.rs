//! The thread of the reports duty: announcements, metrics, health and status.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task;

use crate::admin::{self, announce, calls, metrics, server, state};
use crate::burn::counts;
use crate::clock::Clock as _;
use crate::configs;
use crate::context;
use crate::logs::reachability;
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

/// What joins the reports duty to the others.
#[derive(Debug)]
pub struct Wiring {
    /// Configuration this node runs.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the call path: what was seen of that upstream while its version is tried.
    pub trial: watch::Receiver<rollout::TrialReport>,
    /// Where the upstream beside this node is put; `None` while there is none.
    pub local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    /// Whether the log answers, see [`reachability::Watched`].
    pub reach: watch::Receiver<reachability::Reachability>,
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
    let state = Rc::new(state::State {
        ctx,
        host: settings.host(),
        locality: view::Locality { region: settings.region.clone(), zone: settings.zone.clone() },
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
        book: RefCell::new(counts::Counts::new(ctx.clock.unix_millis())),
        applied_unix_ms: Cell::new(None),
        reports: Semaphore::new(state::REPORTS),
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
async fn follow(state: Rc<state::State>) {
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
                let runs = applied.borrow_and_update().version_id.version.number() > 0;
                state.applied_unix_ms.set(runs.then(|| state.ctx.clock.unix_millis()));
            }
            _ = tick.tick() => state.desk.borrow_mut().expire(state.ctx.now()),
        }
        state.publish();
    }
}

/// Takes what the call path counted, until the call path has ended.
async fn count(
    state: Rc<state::State>,
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
