//! The admin duty: serves announcements, metrics, health and status at the operators' port.

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
use crate::leave;
use crate::logs::reachability;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::rollout;
use crate::traffic;
use crate::usage;
use crate::view;

/// Interval of checks for expired leases.
const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Maximum wait at the end for the last counts of the call path.
const FINAL_COUNTS_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Channels and shared state that connect the admin duty with the others.
#[derive(Debug)]
pub struct Wiring {
    /// The applied configuration.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the call path: answer counts of the local upstream while its version is on trial.
    pub trial: watch::Receiver<rollout::TrialReport>,
    /// From the call path: the incarnation of the local upstream that said that it leaves.
    pub leaving: watch::Receiver<Option<u32>>,
    /// Leavings that this duty acknowledges, and what other nodes know of them.
    pub leaves: leave::AdminSide,
    /// To the other duties: the upstream beside this node; `None` while there is none.
    pub local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    /// Whether the log answers; see [`reachability::Watched`].
    pub reach: watch::Receiver<reachability::Reachability>,
    /// From the call path: usage counts. If full, the call path adds the counts to the next ones.
    pub tallies: ring::Receiver<usage::Delta>,
    /// To the ledger: the same counts. If full, this duty waits, and counts stay in the call path.
    pub usage: ring::Sender<usage::Delta>,
    /// Registry of metrics.
    pub metrics: metrics::Metrics,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// Runs the duty until the stage is [`node::Stage::End`]. It spawns local tasks and therefore needs
/// a `tokio::task::LocalSet`, as [`node::duty::Duty`] provides.
///
/// # Errors
///
/// Fails when a port can't be bound.
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
        leaving: wiring.leaving,
        leaves: wiring.leaves,
        local: wiring.local,
        reachability: wiring.reach,
        metrics: wiring.metrics,
        stage: stage.clone(),
        traffic: wiring.traffic,
        announcements: RefCell::new(announce::Registry::new(
            address.ip(),
            time::Duration::from_millis(settings.admin.lease_ms),
        )),
        counts: RefCell::new(counts::Counts::new(ctx.clock.unix_millis())),
        applied_unix_ms: Cell::new(None),
        report_permits: Semaphore::new(state::MAX_REPORTS),
    });
    let connections = usize::from(settings.admin.connections);
    let mut tasks = vec![task::spawn_local(publish_changes(Rc::clone(&state)))];
    for listener in listeners {
        let accept = server::accept(listener, Rc::clone(&state), connections);
        tasks.push(task::spawn_local(accept));
    }
    let mut counting = task::spawn_local(forward_counts(Rc::clone(&state), tallies, calls, usage));
    // A dropped sender also means that the process ends.
    let _ = stage.wait_for(|&stage| stage == node::Stage::End).await;
    // The call path ends at the same time and sends its last counts.
    let _ = tokio::time::timeout(FINAL_COUNTS_TIMEOUT, &mut counting).await;
    counting.abort();
    tasks.iter().for_each(task::JoinHandle::abort);
    Ok(())
}

/// Publishes the local upstream on each change of the configuration, when it says that it leaves, and
/// after each lease check.
async fn publish_changes(state: Rc<state::State>) {
    let mut applied = state.applied.clone();
    applied.mark_changed();
    let mut leaving = state.leaving.clone();
    let mut leaves = state.leaves.known.clone();
    let mut tick = tokio::time::interval(LEASE_CHECK_INTERVAL);
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
            Ok(()) = leaving.changed() => {}
            Ok(()) = leaves.changed() => state.learn_leaves(&leaves.borrow_and_update()),
            _ = tick.tick() => state.announcements.borrow_mut().expire(state.ctx.now()),
        }
        state.publish();
        state.report_leaves().await;
    }
}

/// Receives counts from the call path and forwards them to the ledger, until the call path ends.
async fn forward_counts(
    state: Rc<state::State>,
    mut tallies: ring::Receiver<usage::Delta>,
    calls: calls::Calls,
    ledger: ring::Sender<usage::Delta>,
) {
    while let Some(delta) = tallies.recv().await {
        calls.add(&delta);
        state.counts.borrow_mut().add(&delta, state.ctx.clock.unix_millis());
        // While the ledger is behind, counts wait in the ring from the call path and in its
        // tally.
        if ledger.send(delta).await.is_err() {
            log::warn!("the ledger ended before the admin duty; usage counts may be lost");
        }
    }
}
