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
use crate::ring;

/// Room for requests to stop.
const STOPS: usize = 2;

/// Arguments of `dandelionspool node`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub settings: path::PathBuf,
}

/// Runs the command until SIGTERM or SIGINT and the drain that follows; a second signal ends it
/// at once.
///
/// # Errors
///
/// Settings that can't be used, a duty that failed.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let settings = configs::load(&args.settings).map_err(|e| exit::Failure::Input(e.into()))?;
    logging::init();
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: configs::Node) -> Result<(), exit::Failure> {
    let mut signals = Signals::new().map_err(|e| exit::Failure::Refused(e.into()))?;
    log::info!(listen:% = settings.listen, zone:% = settings.zone; "node starts");
    let running = node::shell::Node::start(context::Context::system(), settings);
    let running = running.map_err(|e| exit::Failure::Refused(e.into()))?;
    let (stop, stops) = ring::bounded(STOPS);
    tokio::spawn(async move {
        loop {
            signals.next().await;
            // A full ring has a request in it already.
            let _ = stop.offer(node::shell::Stop);
        }
    });
    let result = running.run(stops).await;
    log::info!("node ends");
    result.map_err(|e| exit::Failure::Refused(e.into()))
}

/// The signals that ask for a planned stop.
pub(super) struct Signals {
    interrupt: unix::Signal,
    terminate: unix::Signal,
}

impl Signals {
    /// Takes the signals over from the operating system's defaults.
    pub(super) fn new() -> std::io::Result<Self> {
        Ok(Self {
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            terminate: unix::signal(unix::SignalKind::terminate())?,
        })
    }

    /// Waits for the next one.
    pub(super) async fn next(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}
