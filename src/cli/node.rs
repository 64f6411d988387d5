//! `dandelionspool node` runs the node beside an upstream.

use std::path;

use bpaf::Bpaf;
use tokio::runtime;
use tokio::signal::unix;

use crate::cli::exit;
use crate::cli::logging;
use crate::configs;
use crate::context;
use crate::node;
use crate::node::ports;
use crate::ring;

/// Capacity of the queue of stop requests: one for the drain, one to end at once.
const STOP_QUEUE: usize = 2;

/// Arguments of `dandelionspool node`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub settings: path::PathBuf,
}

/// Runs the command until SIGTERM or SIGINT and the drain that follows; a SIGINT during it ends the
/// command at once.
///
/// # Errors
///
/// Fails when the settings are invalid or a duty fails.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    run_with(&args.settings, ports::Builtin)
}

/// Like [`run`], with the settings file `path` and other `ports`.
///
/// # Errors
///
/// Fails when the settings are invalid or a duty fails.
pub fn run_with<P: ports::Ports>(path: &path::Path, ports: P) -> Result<(), exit::Failure> {
    let settings = configs::load(path).map_err(|e| exit::Failure::Input(e.into()))?;
    let sink = logging::init_node().map_err(|e| exit::Failure::Refused(e.into()))?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    let result = runtime.block_on(serve(path, settings, ports));
    sink.flush_lines();
    result
}

async fn serve<P: ports::Ports>(
    path: &path::Path,
    settings: configs::Node,
    ports: P,
) -> Result<(), exit::Failure> {
    let mut signals = Signals::new().map_err(|e| exit::Failure::Refused(e.into()))?;
    let mut reloads =
        unix::signal(unix::SignalKind::hangup()).map_err(|e| exit::Failure::Refused(e.into()))?;
    log::info!(listen:% = settings.listen, zone:% = settings.zone; "node starts");
    let running = node::shell::Node::start(context::Context::system(), settings.clone(), ports);
    let running = running.map_err(|e| exit::Failure::Refused(e.into()))?;
    let (stop, stops) = ring::bounded(STOP_QUEUE);
    tokio::spawn(async move {
        let mut stopping = false;
        loop {
            let signal = signals.next().await;
            // A supervisor may repeat its request; only an operator at a terminal asks for the end
            // of calls in flight.
            if std::mem::replace(&mut stopping, true) && signal == Signal::Terminate {
                log::info!("a planned stop is under way already");
                continue;
            }
            // If the queue is full, it already contains a stop request.
            let _ = stop.offer(node::shell::Stop);
        }
    });
    let path = path.to_owned();
    tokio::spawn(async move {
        while reloads.recv().await.is_some() {
            reload(&path, &settings);
        }
    });
    let result = running.run(stops).await;
    log::info!("node ends");
    result.map_err(|e| exit::Failure::Refused(e.into()))
}

/// Checks the settings file and logs whether it has changed. Changes take effect only when a node
/// starts.
fn reload(path: &path::Path, running: &configs::Node) {
    match configs::load(path) {
        Ok(settings) if settings == *running => log::info!("the settings are unchanged"),
        Ok(_) => log::warn!("the settings have changed and take effect at the next start"),
        Err(error) => log::error!(error:% = error; "the settings file is invalid and is ignored"),
    }
}

/// A signal that asks for a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Signal {
    /// SIGINT.
    Interrupt,
    /// SIGTERM.
    Terminate,
}

/// The signals that ask for a planned stop.
pub(super) struct Signals {
    interrupt: unix::Signal,
    terminate: unix::Signal,
}

impl Signals {
    /// Installs handlers that replace the default actions of the signals.
    pub(super) fn new() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            terminate: unix::signal(unix::SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) -> Signal {
        tokio::select! {
            _ = self.interrupt.recv() => Signal::Interrupt,
            _ = self.terminate.recv() => Signal::Terminate,
        }
    }
}
