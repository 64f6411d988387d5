//! The thread that says what becomes of orders.

use std::sync::Arc;
use std::time;

use tokio::sync::watch;

use crate::clock;
use crate::context;
use crate::host;
use crate::node;
use crate::rollout;
use crate::rollout::status;
use crate::rollout::table;
use crate::view;

/// Time between two hosts that may say the same: the first in the order of their names says it at once,
/// the next looks whether it has been said. A read and a conditional write take tens of
/// milliseconds.
const TURN: time::Duration = time::Duration::from_millis(250);

/// Hosts that take turns; all later ones look at the same time.
const TURNS: u32 = 8;

/// Pause after a failed read or write.
const PAUSE: time::Duration = time::Duration::from_millis(400);

/// What joins the duty to the call path.
#[derive(Debug)]
pub struct Wiring<S> {
    /// Where it is said.
    pub statuses: S,
    /// What the call path believes.
    pub progress: watch::Receiver<Vec<table::Progress>>,
    /// What is said, to the call path.
    pub status_list: watch::Sender<status::StatusList>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
}

/// The ends of the call path.
#[derive(Clone, Debug)]
pub struct Channels {
    /// What it believes.
    pub progress: watch::Sender<Vec<table::Progress>>,
    /// What is said.
    pub statuses: watch::Receiver<status::StatusList>,
    /// What it has seen of the upstream beside this node, to its announcement.
    pub trial: watch::Sender<rollout::TrialReport>,
}

impl Default for Channels {
    /// Ends that lead nowhere.
    fn default() -> Self {
        Self {
            progress: watch::Sender::default(),
            statuses: watch::Sender::default().subscribe(),
            trial: watch::Sender::default(),
        }
    }
}

/// Runs the duty until the stage is [`node::Stage::End`].
///
/// # Errors
///
/// None; a store that does not answer is asked again.
pub async fn run<S: status::Statuses>(
    ctx: context::Context,
    me: host::HostId,
    wiring: Wiring<S>,
) -> Result<(), std::convert::Infallible> {
    let mut stage = wiring.stage.clone();
    let mut beliefs = wiring.progress.clone();
    beliefs.mark_changed();
    loop {
        tokio::select! {
            // An ended sender means that the process ends.
            _ = stage.wait_for(|&stage| stage == node::Stage::End) => return Ok(()),
            changed = beliefs.changed() => if changed.is_err() { return Ok(()) },
        }
        let list = beliefs.borrow_and_update().clone();
        if list.is_empty() {
            continue;
        }
        tokio::select! {
            _ = stage.wait_for(|&stage| stage == node::Stage::End) => return Ok(()),
            // What the call path comes to believe meanwhile is said next.
            _ = beliefs.changed() => beliefs.mark_changed(),
            () = say(ctx, me, &wiring, &list) => {}
        }
    }
}

/// Says what is to be said of `list`, once it is this host's turn.
async fn say<S: status::Statuses>(
    ctx: context::Context,
    me: host::HostId,
    wiring: &Wiring<S>,
    list: &[table::Progress],
) {
    let began = ctx.now();
    let turn = TURN * rank(me, &wiring.view.borrow());
    loop {
        let Some(said) = read(wiring).await else { continue };
        let missing: Vec<status::Status> =
            list.iter().filter_map(|belief| status::next(belief, &said)).collect();
        if missing.is_empty() {
            return;
        }
        if !wait(ctx, began, turn).await {
            continue;
        }
        for status in missing {
            write(wiring, &status, said.position).await;
        }
    }
}

/// Waits for the turn that comes `turn` after `began`; whether it had come already.
async fn wait(ctx: context::Context, began: clock::Instant, turn: time::Duration) -> bool {
    let left = turn.saturating_sub(ctx.now().since(began));
    tokio::time::sleep(left).await;
    left.is_zero()
}

async fn read<S: status::Statuses>(wiring: &Wiring<S>) -> Option<status::StatusList> {
    match wiring.statuses.read().await {
        Ok(said) => {
            wiring.status_list.send_replace(said.clone());
            Some(said)
        }
        Err(error) => {
            log::warn!(error:% = error; "can't read what is said of roll-outs");
            tokio::time::sleep(PAUSE).await;
            None
        }
    }
}

async fn write<S: status::Statuses>(wiring: &Wiring<S>, status: &status::Status, mark: u64) {
    let (service, version) = (status.service.as_str(), status.version.as_str());
    match wiring.statuses.write(status, mark).await {
        Ok(done) => {
            log::info!(service, version, state:? = status.state, mark, done; "says what becomes of a roll-out");
        }
        Err(error) => {
            log::warn!(service, version, state:? = status.state, error:% = error; "can't say what becomes of a roll-out");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// The place of `me` among the hosts that answer, at most [`TURNS`].
fn rank(me: host::HostId, view: &view::View) -> u32 {
    let before = view.hosts.iter().filter(|h| h.id < me && h.health == view::Health::Alive);
    u32::try_from(before.count()).unwrap_or(u32::MAX).min(TURNS)
}
