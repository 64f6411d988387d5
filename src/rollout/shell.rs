//! The duty that publishes the status of roll-out orders.

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

/// Delay between two hosts that may publish the same status: the first in the order of their ids
/// writes it at once, and the next one reads first whether it has been written. A read and a
/// conditional write take tens of milliseconds.
const TURN_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Turns after which all remaining hosts write at the same time.
const MAX_TURNS: u32 = 8;

/// Delay before a retry after a failed read or write.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// The channels that connect the duty to its node.
#[derive(Debug)]
pub struct Wiring<S> {
    /// Where statuses are published.
    pub statuses: S,
    /// The progress of each order as the call path determines it.
    pub progress: watch::Receiver<Vec<table::Progress>>,
    /// The published statuses, for the call path.
    pub status_list: watch::Sender<status::StatusList>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
}

/// The channels that the call path uses.
#[derive(Clone, Debug)]
pub struct Channels {
    /// The progress of each order, for the duty.
    pub progress: watch::Sender<Vec<table::Progress>>,
    /// The published statuses.
    pub statuses: watch::Receiver<status::StatusList>,
    /// The report on the upstream beside this node, for its announcement.
    pub trial: watch::Sender<rollout::TrialReport>,
}

impl Default for Channels {
    /// Channels without a duty at the other end.
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
/// None; failed reads and writes are retried.
pub async fn run<S: status::Statuses>(
    ctx: context::Context,
    me: host::HostId,
    wiring: Wiring<S>,
) -> Result<(), std::convert::Infallible> {
    let mut stage = wiring.stage.clone();
    let mut progress = wiring.progress.clone();
    progress.mark_changed();
    loop {
        tokio::select! {
            // The sender is dropped when the process ends.
            _ = stage.wait_for(|&stage| stage == node::Stage::End) => return Ok(()),
            changed = progress.changed() => if changed.is_err() { return Ok(()) },
        }
        let list = progress.borrow_and_update().clone();
        if list.is_empty() {
            continue;
        }
        tokio::select! {
            _ = stage.wait_for(|&stage| stage == node::Stage::End) => return Ok(()),
            // Newer progress replaces the list that is being published.
            _ = progress.changed() => progress.mark_changed(),
            () = publish(ctx, me, &wiring, &list) => {}
        }
    }
}

/// Writes the statuses of `list` that are not published yet, once it is this host's turn.
async fn publish<S: status::Statuses>(
    ctx: context::Context,
    me: host::HostId,
    wiring: &Wiring<S>,
    list: &[table::Progress],
) {
    let began = ctx.now();
    let turn = TURN_INTERVAL * rank(me, &wiring.view.borrow());
    loop {
        let Some(published) = read(wiring).await else { continue };
        let missing: Vec<status::Status> =
            list.iter().filter_map(|progress| status::unpublished(progress, &published)).collect();
        if missing.is_empty() {
            return;
        }
        if !wait(ctx, began, turn).await {
            continue;
        }
        for status in missing {
            write(wiring, &status, published.position).await;
        }
    }
}

/// Waits until `turn` has passed since `began`; `true` if it had passed before the call.
async fn wait(ctx: context::Context, began: clock::Instant, turn: time::Duration) -> bool {
    let remaining = turn.saturating_sub(ctx.now().since(began));
    tokio::time::sleep(remaining).await;
    remaining.is_zero()
}

/// Reads the published statuses and passes them to the call path; `None` if the read failed.
async fn read<S: status::Statuses>(wiring: &Wiring<S>) -> Option<status::StatusList> {
    match wiring.statuses.read().await {
        Ok(published) => {
            wiring.status_list.send_replace(published.clone());
            Some(published)
        }
        Err(error) => {
            log::warn!(error:% = error; "failed to read the statuses of roll-outs");
            tokio::time::sleep(RETRY_DELAY).await;
            None
        }
    }
}

async fn write<S: status::Statuses>(wiring: &Wiring<S>, status: &status::Status, position: u64) {
    let (service, version) = (status.service.as_str(), status.version.as_str());
    match wiring.statuses.write(status, position).await {
        Ok(done) => {
            log::info!(
                service, version, state:? = status.state, mark = position, done;
                "submitted the status of a roll-out"
            );
        }
        Err(error) => {
            log::warn!(
                service, version, state:? = status.state, error:% = error;
                "failed to write the status of a roll-out"
            );
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// The turn of `me`: its position among the hosts that are alive, at most [`MAX_TURNS`].
fn rank(me: host::HostId, view: &view::View) -> u32 {
    let before = view.hosts.iter().filter(|h| h.id < me && h.health == view::Health::Alive);
    u32::try_from(before.count()).unwrap_or(u32::MAX).min(MAX_TURNS)
}
