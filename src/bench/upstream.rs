//! `dandelionspool-bench upstream` runs the stand-in for an upstream.

use std::net;
use std::str;
use std::time;

use bpaf::Bpaf;
use tokio::signal::unix;

use crate::cli::exit;
use crate::standin::upstream;

/// Arguments of `dandelionspool-bench upstream`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Address for calls; control listens on the port after it
    #[bpaf(argument("ADDRESS"))]
    pub address: net::SocketAddr,
    /// Admin address of the node on its host
    #[bpaf(argument("ADDRESS"))]
    pub admin: Option<net::SocketAddr>,
    /// Service it serves
    #[bpaf(argument("NAME"))]
    pub service: String,
    /// Its class in the configuration; the service's name by default
    #[bpaf(argument("NAME"))]
    pub class: Option<String>,
    /// Calls it runs at once
    #[bpaf(argument("COUNT"), fallback(9), display_fallback)]
    pub slots: u16,
    /// Connections it keeps open
    #[bpaf(argument("COUNT"), fallback(130), display_fallback)]
    pub connections: u16,
    /// Time it is cold after its start, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(0), display_fallback)]
    pub cold: u64,
    /// Time it runs calls on after it has announced a drain, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(3000), display_fallback)]
    pub grace: u64,
    /// Mean time of a call, in milliseconds
    #[bpaf(argument("MILLIS"), fallback(10.0), display_fallback)]
    pub mean: f64,
    /// Mean time of calls under a path prefix, in milliseconds, such as /browse=4; many
    #[bpaf(argument("PREFIX=MILLIS"))]
    pub time: Vec<Mean>,
    /// Path prefix of the calls that end the process
    #[bpaf(argument("PREFIX"))]
    pub crash: Option<String>,
    /// Seed of the service times
    #[bpaf(argument("SEED"), fallback(0), display_fallback)]
    pub seed: u64,
}

/// Mean time of the calls under a path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Mean {
    /// Path prefix.
    pub prefix: String,
    /// Mean time, in milliseconds.
    pub millis: f64,
}

/// Why a [`Mean`] can't be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MeanError {
    /// There is no equals sign.
    #[error("expected PREFIX=MILLIS")]
    Form,
    /// The time is not a number of at least 0.
    #[error("the time must be a number of at least 0")]
    Millis,
}

impl str::FromStr for Mean {
    type Err = MeanError;

    fn from_str(text: &str) -> Result<Self, MeanError> {
        let (prefix, millis) = text.rsplit_once('=').ok_or(MeanError::Form)?;
        let millis = millis.parse().ok().filter(|m| (0.0..1e9).contains(m));
        Ok(Self { prefix: prefix.to_owned(), millis: millis.ok_or(MeanError::Millis)? })
    }
}

/// Runs the command until SIGTERM or SIGINT, then drains.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    runtime.block_on(serve(args))
}

async fn serve(args: &Args) -> Result<(), exit::Failure> {
    let server = upstream::Server::bind(options(args)).await;
    let server = server.map_err(|e| exit::Failure::Input(e.into()))?;
    let stop = signals().map_err(|e| exit::Failure::Refused(e.into()))?;
    server.serve(stop).await;
    Ok(())
}

fn options(args: &Args) -> upstream::Options {
    let class = args.class.as_ref().unwrap_or(&args.service);
    let mut options = upstream::Options::new(args.address, &args.service)
        .class(class)
        .slots(args.slots)
        .connections(args.connections)
        .cold(time::Duration::from_millis(args.cold))
        .grace(time::Duration::from_millis(args.grace))
        .mean(millis(args.mean))
        .seed(args.seed);
    for mean in &args.time {
        options = options.mean_of(&mean.prefix, millis(mean.millis));
    }
    if let Some(prefix) = &args.crash {
        options = options.crash(prefix);
    }
    match args.admin {
        Some(admin) => options.admin(admin),
        None => options,
    }
}

fn millis(millis: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

/// Returns a future that is ready at the first SIGTERM or SIGINT.
pub(super) fn signals() -> std::io::Result<impl Future<Output = ()>> {
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut int = unix::signal(unix::SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
