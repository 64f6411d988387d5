//! The duty of calls: starts the listeners, follows what the other duties find out, and ends when
//! nothing is in flight.

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
use crate::proxy::serve;
use crate::proxy::state;
use crate::proxy::wiring;
use crate::ring;
use crate::rollout;
use crate::usage;
use crate::view;

/// Longest the last connections may take to close once nothing is in flight.
const CLOSE: time::Duration = time::Duration::from_secs(2);

/// Time between two rounds of closing what is no longer used.
const TIDY: time::Duration = time::Duration::from_secs(1);

/// Least time between two rebuilds of the table of upstreams, so that churn doesn't take up the
/// thread.
const REBUILD: time::Duration = time::Duration::from_millis(20);

/// Time between two looks at the orders of roll-outs. Their shortest steps last some hundred
/// milliseconds.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Ends a task when dropped.
struct Task(task::JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Serves calls until the process drains and nothing is in flight, or until it ends.
///
/// Runs on a [`task::LocalSet`].
///
/// # Errors
///
/// An address to listen on is taken.
pub async fn run<C: claim::Claims>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: wiring::Wiring<C>,
) -> Result<(), error::Error> {
    let state = Rc::new(state::State::new(ctx, settings, &wiring));
    let callers = serve::listen(state.settings.call_addr()).await?;
    let nodes = serve::listen(state.settings.bound().inner_addr()).await?;
    let (close, closing) = watch::channel(false);
    state.rebuild(Arc::clone(&wiring.applied.borrow()), &wiring.view.borrow());
    let followers = [
        spawn(follow_tables(Rc::clone(&state), wiring.applied.clone(), wiring.view.clone())),
        spawn(follow_local(Rc::clone(&state))),
        spawn(follow_ends(Rc::clone(&state))),
        spawn(follow_suspects(Rc::clone(&state))),
        spawn(follow_rollouts(Rc::clone(&state), wiring.rollouts.clone())),
        spawn(follow_stop(Rc::clone(&state), wiring.stage.clone())),
        spawn(keep_house(Rc::clone(&state), wiring.tallies.clone())),
    ];
    let mut callers = spawn(serve::callers(Rc::clone(&state), callers, closing.clone()));
    let mut nodes = spawn(serve::nodes(Rc::clone(&state), nodes, closing));
    let mut stage = wiring.stage;
    let mut over = stage.clone();
    let closed = async {
        drained(&state, &mut stage).await;
        close.send_replace(true);
        let both = async { tokio::join!(&mut callers.0, &mut nodes.0) };
        // Connections still open then carry no call.
        let _ = tokio::time::timeout(CLOSE, both).await;
    };
    tokio::select! {
        () = until(&mut over, node::Stage::End) => {}
        () = closed => {}
    }
    drop(followers);
    state.tally.borrow_mut().flush(&wiring.tallies);
    Ok(())
}

fn spawn(task: impl Future<Output = ()> + 'static) -> Task {
    Task(task::spawn_local(task))
}

/// Waits until the process is at least as far as `least`. An ended sender means its end.
async fn until(stage: &mut watch::Receiver<node::Stage>, least: node::Stage) {
    let _ = stage.wait_for(|s| *s >= least).await;
}

/// Bounds the calls that come after a planned stop has begun.
async fn follow_stop<C: claim::Claims>(
    state: Rc<state::State<C>>,
    mut stage: watch::Receiver<node::Stage>,
) {
    until(&mut stage, node::Stage::Leave).await;
    state.leave();
}

/// Waits until the process drains, callers had time to learn it, and nothing is in flight.
async fn drained<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    stage: &mut watch::Receiver<node::Stage>,
) {
    until(stage, node::Stage::Drain).await;
    state.slots.drain();
    tokio::time::sleep(time::Duration::from_millis(state.settings.proxy.linger_ms)).await;
    state.flights.idle().await;
}

/// Takes each new configuration and view into use.
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
        tokio::time::sleep(REBUILD).await;
    }
}

/// Takes each change of the upstream beside this node into use.
async fn follow_local<C: claim::Claims>(state: Rc<state::State<C>>) {
    let mut local = state.local.clone();
    while local.changed().await.is_ok() {
        local.borrow_and_update();
        state.limit();
    }
}

/// Tells of each end of the upstream beside this node under calls.
async fn follow_ends<C: claim::Claims>(state: Rc<state::State<C>>) {
    let limit = time::Duration::from_millis(state.settings.proxy.connect_ms);
    loop {
        let prints = state.ends.next(|key| state.runs.has(key), || state.serving(), limit).await;
        state.ended(&prints);
    }
}

/// Takes what the mesh knows of requests under which upstreams end into use.
async fn follow_suspects<C: claim::Claims>(state: Rc<state::State<C>>) {
    while state.suspects.learn().await {}
}

/// Takes the orders of roll-outs one look further at a time.
async fn follow_rollouts<C: claim::Claims>(
    state: Rc<state::State<C>>,
    ends: rollout::shell::Channels,
) {
    let mut look = tokio::time::interval(LOOK);
    look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        if state.rollouts.is_idle(state.ctx.now()) {
            continue;
        }
        let view = Arc::clone(&state.view.borrow());
        state.rollouts.settle(&ends.statuses.borrow());
        state.look(&view);
        let beliefs = state.rollouts.progress();
        ends.progress.send_if_modified(|old| std::mem::replace(old, beliefs.clone()) != beliefs);
        let trial = state.rollouts.trial();
        ends.trial.send_if_modified(|old| std::mem::replace(old, trial) != trial);
    }
}

/// Hands over usage counts and closes what is no longer used.
async fn keep_house<C: claim::Claims>(
    state: Rc<state::State<C>>,
    tallies: ring::Sender<usage::Delta>,
) {
    let period = time::Duration::from_millis(state.settings.proxy.tally_ms.max(1));
    let mut hand = tokio::time::interval(period);
    let mut tidy = tokio::time::interval(TIDY);
    loop {
        tokio::select! {
            _ = hand.tick() => state.tally.borrow_mut().flush(&tallies),
            _ = tidy.tick() => {
                let address = state.local.borrow().as_ref().map(|l| l.address);
                state.pool.tidy(address);
                state.links.tidy();
                state.held.tidy();
            }
        }
    }
}
