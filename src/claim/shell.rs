//! The ledger duty: sends claims and usage to the log.

use std::sync::Arc;
use std::time;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::admin::metrics;
use crate::claim::event::{AppendId, AppendOutcome};
use crate::claim::{handle, ledger, serve, wire};
use crate::clock;
use crate::configs;
use crate::context;
use crate::logs;
use crate::mesh;
use crate::node;
use crate::node::stop;
use crate::ring;
use crate::seal;
use crate::traffic;
use crate::usage;
use crate::view;

/// Inputs that may wait for the loop. When the queue is full, senders wait.
const INPUT_CAPACITY: usize = 1024;

/// Inputs handled in one turn of the loop, so that their requests share frames and appends.
const BURST: usize = 256;

/// Upper bound of the loop's sleep; events and timers wake it earlier.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Channels that connect the ledger duty with the other duties.
#[derive(Debug)]
pub struct Wiring<L> {
    /// Claims and releases of the call path, see [`handle::pair`].
    pub receivers: handle::Receivers,
    /// Usage counted by the call path, passed on by the admin duty. When the ring is full, counts
    /// stay with the sender and are part of the next delta.
    pub deltas: ring::Receiver<usage::Delta>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// Configuration that this node runs; its version shows the epoch of the log.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The platform's log.
    pub log: L,
    /// Registry of metrics.
    pub metrics: metrics::Metrics,
    /// Stage of the process. After [`node::Stage::End`] the duty ends as soon as usage is in the
    /// log.
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// An input of the duty's loop.
#[derive(Debug)]
pub enum Input {
    /// An append of claims has finished.
    Appended {
        /// Partition and generation of its writer.
        writer: (u16, u64),
        /// The append.
        id: AppendId,
        /// Its outcome.
        outcome: AppendOutcome,
    },
    /// Another node sent a frame to the writers here.
    Request {
        /// Number of its connection.
        number: u64,
        /// The frame.
        request: wire::Request,
    },
    /// This node's connection to a host has ended.
    Disconnected {
        /// The host.
        host: crate::host::HostId,
        /// Generation of the connection.
        generation: u64,
    },
    /// A node has connected.
    PeerConnected {
        /// Number of the connection.
        number: u64,
        /// Queue of frames to it.
        frames: mpsc::Sender<bytes::Bytes>,
    },
    /// A node's connection has ended.
    PeerDisconnected {
        /// Number of the connection.
        number: u64,
    },
    /// A read of claims has finished.
    Read {
        /// Partition and generation of its writer.
        writer: (u16, u64),
        /// The batch; `None` when the read failed.
        batch: Option<logs::Batch>,
    },
    /// A writer on another host answered this node.
    Response {
        /// The frame.
        response: wire::Response,
    },
    /// An append of usage has finished.
    UsageAppended {
        /// Whether it succeeded.
        success: bool,
    },
}

/// Why the ledger duty can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Listening on the address failed.
    #[error("can't listen on {address} for claims")]
    Bind {
        /// The address.
        address: std::net::SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
}

/// Runs the duty until the stage is [`node::Stage::End`], and from then on until all counted usage
/// is in the log or the flush time has passed. It spawns local tasks and must run in a
/// `tokio::task::LocalSet`, as [`node::duty::Duty`] provides.
///
/// # Errors
///
/// Listening on the port failed.
pub async fn run<L: logs::Service>(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: Wiring<L>,
) -> Result<(), Error> {
    let address = settings.bound().ledger_addr();
    let bound = TcpListener::bind(address).await;
    let listener = bound.map_err(|source| Error::Bind { address, source })?;
    let (inputs, arriving) = mpsc::channel(INPUT_CAPACITY);
    let shared = serve::Shared {
        host: settings.host(),
        seal: seal::Seal::new(&settings.mesh, &settings.key),
        inputs,
        traffic: Arc::clone(&wiring.traffic),
    };
    let flush = stop::Plan::new(&settings.stop).flush;
    let acceptor = task::spawn_local(serve::accept(listener, shared.clone()));
    let metrics = ledger::Metrics::new(&wiring.metrics);
    let state = ledger::Ledger::new(ctx, &settings, wiring.log, shared, metrics);
    let channels = Channels {
        claims: wiring.receivers.claims,
        releases: wiring.receivers.releases,
        deltas: wiring.deltas,
        arriving,
        view: wiring.view,
        applied: wiring.applied,
        stage: wiring.stage,
    };
    run_loop(ctx, state, channels, flush).await;
    acceptor.abort();
    Ok(())
}

/// Channels that the loop receives from.
struct Channels {
    claims: ring::Receiver<handle::Claim>,
    releases: ring::Receiver<crate::claim::record::Entry>,
    deltas: ring::Receiver<usage::Delta>,
    arriving: mpsc::Receiver<Input>,
    view: watch::Receiver<Arc<view::View>>,
    applied: watch::Receiver<Arc<mesh::Applied>>,
    stage: watch::Receiver<node::Stage>,
}

async fn run_loop<L: logs::Service>(
    ctx: context::Context,
    mut state: ledger::Ledger<L>,
    mut channels: Channels,
    flush: time::Duration,
) {
    let mut claims = Vec::new();
    let mut releases = Vec::new();
    let mut inputs = Vec::new();
    let mut flush_by: Option<clock::Instant> = None;
    let mut epoch = channels.applied.borrow().version_id.version.epoch();
    channels.view.mark_changed();
    loop {
        let wake = state.wake().since(ctx.now()).min(MAX_PAUSE);
        tokio::select! {
            1.. = channels.claims.recv_many(&mut claims, BURST) => {}
            1.. = channels.releases.recv_many(&mut releases, BURST) => {}
            1.. = channels.arriving.recv_many(&mut inputs, BURST) => {}
            Some(delta) = channels.deltas.recv() => state.count(&delta),
            Ok(()) = channels.view.changed() => channels.view.mark_changed(),
            Ok(()) = channels.applied.changed() => channels.applied.mark_changed(),
            _ = channels.stage.wait_for(|&s| s == node::Stage::End), if flush_by.is_none() => {
                flush_by = Some(ctx.now() + flush);
            }
            () = tokio::time::sleep(wake) => {}
        }
        let now = ctx.now();
        // The view is applied first, since claims that arrived at the same time need its hosts.
        if channels.view.has_changed().unwrap_or(false) {
            let view = Arc::clone(&channels.view.borrow_and_update());
            state.update(view, now);
        }
        if channels.applied.has_changed().unwrap_or(false) {
            let current = channels.applied.borrow_and_update().version_id.version.epoch();
            if current > std::mem::replace(&mut epoch, current) {
                state.restored(now);
            }
        }
        claims.drain(..).for_each(|claim| state.claim(claim, now));
        releases.drain(..).for_each(|entry| state.release(entry, now));
        inputs.drain(..).for_each(|input| state.handle(input, now));
        let last = flush_by.is_some() && channels.deltas.is_closed() && channels.deltas.is_empty();
        state.poll(now, flush_by.is_some());
        if flush_by.is_some_and(|flush_by| now >= flush_by || (last && state.flushed())) {
            return;
        }
    }
}
