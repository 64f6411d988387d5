//! `dandelionspool-bench fault` runs a proxy that injects faults into TCP and UDP.

use std::net;
use std::str;

use bpaf::Bpaf;

use crate::bench::upstream;
use crate::cli::exit;
use crate::standin::fault;

/// Arguments of `dandelionspool-bench fault`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Address for control: GET /rules, POST /rules, GET /counts
    #[bpaf(argument("ADDRESS"))]
    pub control: net::SocketAddr,
    /// Base address by which a host is known and the one its node binds; many
    #[bpaf(argument("KNOWN=BOUND"))]
    pub host: Vec<Pair>,
    /// Port that takes connections and the one they go to; many
    #[bpaf(argument("LISTEN=TARGET"))]
    pub link: Vec<Pair>,
    /// Seed of losses, duplicates and jitter
    #[bpaf(argument("SEED"), fallback(0), display_fallback)]
    pub seed: u64,
}

/// An address that the proxy binds and the one to which it forwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pair {
    /// Address that the proxy binds.
    pub from: net::SocketAddr,
    /// Address to which it forwards.
    pub to: net::SocketAddr,
}

/// Why a [`Pair`] can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PairError {
    /// There is no equals sign.
    #[error("expected ADDRESS=ADDRESS")]
    Form,
    /// One side is not an address.
    #[error(transparent)]
    Address(#[from] net::AddrParseError),
}

impl str::FromStr for Pair {
    type Err = PairError;

    fn from_str(text: &str) -> Result<Self, PairError> {
        let (from, to) = text.split_once('=').ok_or(PairError::Form)?;
        Ok(Self { from: from.parse()?, to: to.parse()? })
    }
}

/// Runs the command until SIGTERM or SIGINT.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    runtime.block_on(serve(args))
}

async fn serve(args: &Args) -> Result<(), exit::Failure> {
    let mut options = fault::Options::new(args.control).seed(args.seed);
    for pair in &args.host {
        options = options.host(pair.from, pair.to);
    }
    for pair in &args.link {
        options = options.link(pair.from, pair.to);
    }
    let server = fault::Server::bind(options).await;
    let server = server.map_err(|e| exit::Failure::Input(e.into()))?;
    let stop = upstream::signals().map_err(|e| exit::Failure::Refused(e.into()))?;
    server.serve(stop).await;
    Ok(())
}
