//! The calls duty: starts the listeners, follows the state published by the other duties, and ends
//! when no call is in flight.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use tokio::sync::watch;
use tokio::task;

use crate::claim;
use crate::configs;
use crate::context;
use crate::mesh;
use crate::node;
use crate::proxy::error;
use crate::proxy::overload;
use crate::proxy::serve;
use crate::proxy::state;
use crate::proxy::wiring;
use crate::ring;
use crate::rollout;
use crate::usage;
use crate::view;

/// Time for open connections to close once no call is in flight.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time between two rounds of closing unused connections and dropping expired answers.
const MAINTENANCE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Minimum time between two rebuilds of the table of upstreams, so that churn of the membership
/// doesn't occupy the thread.
const MIN_REBUILD_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time between two updates of the roll-outs. Their shortest steps last a few hundred milliseconds.
const ROLLOUT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Aborts a task when dropped.
struct Task(task::JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves calls until the process drains and no call is in flight, or until the process ends.
///
/// Runs on a [`task::LocalSet`].
///
/// # Errors
///
/// [`error::Error::Listen`] when a listener can't be opened.
pub async fn run<C: claim::Claims>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: wiring::Wiring<C>,
) -> Result<(), error::Error> {
    let state = Rc::new(state::State::new(ctx, settings, &wiring));
    let callers = serve::listen(state.settings.call_addr()).await?;
    let nodes = serve::listen(state.settings.bound().inner_addr()).await?;
    state.quotas.open(state.settings.bound()).await?;
    let (close, closing) = watch::channel(false);
    state.rebuild(Arc::clone(&wiring.applied.borrow()), &wiring.view.borrow());
    let followers = [
        spawn(follow_tables(Rc::clone(&state), wiring.applied.clone(), wiring.view.clone())),
        spawn(follow_local(Rc::clone(&state))),
        spawn(follow_crashes(Rc::clone(&state))),
        spawn(follow_quarantine(Rc::clone(&state))),
        spawn(follow_rollouts(Rc::clone(&state), wiring.rollouts.clone())),
        spawn(Rc::clone(&state.quotas).run()),
        spawn(follow_stop(Rc::clone(&state), wiring.stage.clone())),
        spawn(maintain(Rc::clone(&state), wiring.tallies.clone())),
        spawn(overload::measure(Rc::clone(&state))),
    ];
    let mut callers = spawn(serve::callers(Rc::clone(&state), callers, closing.clone()));
    let mut nodes = spawn(serve::nodes(Rc::clone(&state), nodes, closing));
    let mut stage = wiring.stage;
    let mut ended = stage.clone();
    let closed = async {
        wait_drained(&state, &mut stage).await;
        close.send_replace(true);
        let both = async { tokio::join!(&mut callers.0, &mut nodes.0) };
        // Connections that are still open after the time-out carry no call.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, both).await;
    };
    tokio::select! {
        () = until(&mut ended, node::Stage::End) => {}
        () = closed => {}
    }
    drop(followers);
    state.tally.borrow_mut().flush(&wiring.tallies);
    Ok(())
}

fn spawn(task: impl Future<Output = ()> + 'static) -> Task {
    Task(task::spawn_local(task))
}

/// Waits until the process has reached the stage `min`. A closed channel counts as its end.
async fn until(stage: &mut watch::Receiver<node::Stage>, min: node::Stage) {
    let _ = stage.wait_for(|s| *s >= min).await;
}

/// Limits the deadlines of calls once a planned stop has begun.
async fn follow_stop<C: claim::Claims>(
    state: Rc<state::State<C>>,
    mut stage: watch::Receiver<node::Stage>,
) {
    until(&mut stage, node::Stage::Leave).await;
    state.begin_stop();
}

/// Waits until the process drains, callers have had time to notice, and no call is in flight.
async fn wait_drained<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    stage: &mut watch::Receiver<node::Stage>,
) {
    until(stage, node::Stage::Drain).await;
    state.slots.drain();
    tokio::time::sleep(time::Duration::from_millis(state.settings.proxy.linger_ms)).await;
    state.in_flight.wait_idle().await;
}

/// Applies each new configuration and view of the mesh.
async fn follow_tables<C: claim::Claims>(
    state: Rc<state::State<C>>,
    mut applied: watch::Receiver<Arc<mesh::Applied>>,
    mut view: watch::Receiver<Arc<view::View>>,
) {
    loop {
        let changed = tokio::select! {
            changed = applied.changed() => changed,
            changed = view.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let mesh = Arc::clone(&applied.borrow_and_update());
        let hosts = Arc::clone(&view.borrow_and_update());
        state.rebuild(mesh, &hosts);
        tokio::time::sleep(MIN_REBUILD_INTERVAL).await;
    }
}

/// Applies each change of the local upstream, the one beside this node.
async fn follow_local<C: claim::Claims>(state: Rc<state::State<C>>) {
    let mut local = state.local.clone();
    while local.changed().await.is_ok() {
        local.borrow_and_update();
        state.apply_limits();
    }
}

/// Reports each crash of the local upstream while calls ran there.
async fn follow_crashes<C: claim::Claims>(state: Rc<state::State<C>>) {
    let limit = time::Duration::from_millis(state.settings.proxy.connect_ms);
    loop {
        let fingerprints = state
            .crashes
            .next_crash(|key| state.running.has(key), || state.serving_address(), limit)
            .await;
        state.upstream_crashed(&fingerprints);
    }
}

/// Applies each update of the quarantine.
async fn follow_quarantine<C: claim::Claims>(state: Rc<state::State<C>>) {
    while state.quarantine.follow().await {}
}

/// Updates the roll-outs at a fixed interval and publishes this node's progress.
async fn follow_rollouts<C: claim::Claims>(
    state: Rc<state::State<C>>,
    channels: rollout::shell::Channels,
) {
    let mut update = tokio::time::interval(ROLLOUT_INTERVAL);
    update.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        update.tick().await;
        if state.rollouts.is_idle(state.ctx.now()) {
            continue;
        }
        let view = Arc::clone(&state.view.borrow());
        state.rollouts.apply_statuses(&channels.statuses.borrow());
        state.update_rollouts(&view);
        let progress = state.rollouts.progress();
        channels
            .progress
            .send_if_modified(|old| std::mem::replace(old, progress.clone()) != progress);
        let trial = state.rollouts.trial();
        channels.trial.send_if_modified(|old| std::mem::replace(old, trial) != trial);
    }
}

/// Flushes usage counts, closes unused connections and drops expired answers.
async fn maintain<C: claim::Claims>(
    state: Rc<state::State<C>>,
    tallies: ring::Sender<usage::Delta>,
) {
    let period = time::Duration::from_millis(state.settings.proxy.tally_ms.max(1));
    let mut flush = tokio::time::interval(period);
    let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
    loop {
        tokio::select! {
            _ = flush.tick() => state.tally.borrow_mut().flush(&tallies),
            _ = maintenance.tick() => {
                let address = state.local.borrow().as_ref().map(|l| l.address);
                state.pool.close_idle(address);
                state.links.close_idle();
                state.held_answers.remove_expired();
            }
        }
    }
}
