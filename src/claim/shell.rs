//! The thread of the ledger: claims and usage on their way to the log.

use std::sync::Arc;
use std::time;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::admin::metrics;
use crate::claim::event::{End, Ticket};
use crate::claim::{handle, ledger, serve, wire};
use crate::clock;
use crate::configs;
use crate::context;
use crate::logs;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::seal;
use crate::traffic;
use crate::usage;
use crate::view;

/// Inputs that may wait for the loop. Full: whoever has one waits.
const INPUTS: usize = 1024;

/// Inputs taken at once, so that what they cause shares frames and appends.
const BURST: usize = 256;

/// Longest rest of the ledger; what it waits for wakes it before.
const REST: time::Duration = time::Duration::from_secs(3);

/// What joins the ledger's duty to the others.
#[derive(Debug)]
pub struct Wiring<L> {
    /// From the call path, see [`handle::pair`].
    pub ends: handle::Ends,
    /// From the reports duty: what was counted. Full: it stays there and comes with the next.
    pub deltas: ring::Receiver<usage::Delta>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// Configuration that this node runs, which tells the epoch of the log.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The platform's log.
    pub log: L,
    /// Registry of metrics.
    pub metrics: metrics::Metrics,
    /// Stage of the process; the duty ends after [`node::Stage::End`], when usage is in the log.
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// What happens to the duty.
#[derive(Debug)]
pub enum Input {
    /// An append of claims has ended.
    Appended {
        /// Partition and life of its writer.
        place: (u16, u64),
        /// Which append.
        ticket: Ticket,
        /// How it ended.
        end: End,
    },
    /// A node sent a frame.
    Asked {
        /// Number of its connection.
        number: u64,
        /// The frame.
        ask: wire::Ask,
    },
    /// This node's connection to a host has ended.
    Ended {
        /// The host.
        host: crate::host::HostId,
        /// Which connection.
        life: u64,
    },
    /// A node has connected.
    Joined {
        /// Number of the connection.
        number: u64,
        /// Takes frames to it.
        frames: mpsc::Sender<bytes::Bytes>,
    },
    /// A node's connection has ended.
    Left {
        /// Number of the connection.
        number: u64,
    },
    /// A read of claims has ended.
    Read {
        /// Partition and life of its writer.
        place: (u16, u64),
        /// What it gave; `None` when it failed.
        batch: Option<logs::Batch>,
    },
    /// A writer answered this node.
    Told {
        /// The frame.
        tell: wire::Tell,
    },
    /// An append of usage has ended.
    UsageAppended {
        /// Whether it succeeded.
        success: bool,
    },
}

/// Why the ledger can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't listen on {address} for claims")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// The operating system's answer.
        source: std::io::Error,
    },
}

/// Runs the duty until the stage is [`node::Stage::End`] and what was counted is in the log; spawns
/// local tasks, so that it needs a `tokio::task::LocalSet` such as [`node::duty::Duty`] gives.
///
/// # Errors
///
/// Fails when the port can't be listened on.
pub async fn run<L: logs::Service>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: Wiring<L>,
) -> Result<(), Error> {
    let address = settings.bound().ledger_addr();
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|source| Error::Bind { address, source })?;
    let (inputs, arriving) = mpsc::channel(INPUTS);
    let shared = serve::Shared {
        host: settings.host(),
        seal: seal::Seal::new(&settings.mesh, &settings.key),
        inputs,
        traffic: Arc::clone(&wiring.traffic),
    };
    let flush = time::Duration::from_millis(settings.stop.flush_ms);
    let acceptor = task::spawn_local(serve::accept(listener, shared.clone()));
    let metrics = ledger::Metrics::new(&wiring.metrics);
    let state = ledger::Ledger::new(ctx, &settings, wiring.log, shared, metrics);
    let ends = Ends {
        claims: wiring.ends.claims,
        releases: wiring.ends.releases,
        deltas: wiring.deltas,
        arriving,
        view: wiring.view,
        applied: wiring.applied,
        stage: wiring.stage,
    };
    serve_all(ctx, state, ends, flush).await;
    acceptor.abort();
    Ok(())
}

/// What the loop listens to.
struct Ends {
    claims: ring::Receiver<handle::Claim>,
    releases: ring::Receiver<crate::claim::record::Entry>,
    deltas: ring::Receiver<usage::Delta>,
    arriving: mpsc::Receiver<Input>,
    view: watch::Receiver<Arc<view::View>>,
    applied: watch::Receiver<Arc<mesh::Applied>>,
    stage: watch::Receiver<node::Stage>,
}

async fn serve_all<L: logs::Service>(
    ctx: context::Context,
    mut state: ledger::Ledger<L>,
    mut ends: Ends,
    flush: time::Duration,
) {
    let mut claims = Vec::new();
    let mut releases = Vec::new();
    let mut inputs = Vec::new();
    let mut end: Option<clock::Instant> = None;
    let mut epoch = ends.applied.borrow().version_id.version.epoch();
    ends.view.mark_changed();
    loop {
        let wake = state.wake().since(ctx.now()).min(REST);
        tokio::select! {
            1.. = ends.claims.recv_many(&mut claims, BURST) => {}
            1.. = ends.releases.recv_many(&mut releases, BURST) => {}
            1.. = ends.arriving.recv_many(&mut inputs, BURST) => {}
            Some(delta) = ends.deltas.recv() => state.count(&delta),
            Ok(()) = ends.view.changed() => ends.view.mark_changed(),
            Ok(()) = ends.applied.changed() => ends.applied.mark_changed(),
            _ = ends.stage.wait_for(|&s| s == node::Stage::End), if end.is_none() => {
                end = Some(ctx.now() + flush);
            }
            () = tokio::time::sleep(wake) => {}
        }
        let now = ctx.now();
        // The hosts are needed before the claims that may have come at the same moment.
        if ends.view.has_changed().unwrap_or(false) {
            let view = Arc::clone(&ends.view.borrow_and_update());
            state.update(view, now);
        }
        if ends.applied.has_changed().unwrap_or(false) {
            let now_in = ends.applied.borrow_and_update().version_id.version.epoch();
            if now_in > std::mem::replace(&mut epoch, now_in) {
                state.restored(now);
            }
        }
        claims.drain(..).for_each(|claim| state.claim(claim, now));
        releases.drain(..).for_each(|entry| state.release(entry, now));
        inputs.drain(..).for_each(|input| state.take(input, now));
        let last = end.is_some() && ends.deltas.is_closed() && ends.deltas.is_empty();
        state.turn(now, end.is_some());
        if end.is_some_and(|end| now >= end || (last && state.flushed())) {
            return;
        }
    }
}
