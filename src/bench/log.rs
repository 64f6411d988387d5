//! `dandelionspool-bench log` runs the stand-in for the platform's log service.

use std::net;
use std::time;

use bpaf::Bpaf;

use crate::cli::exit;
use crate::standin::log;

/// Arguments of `dandelionspool-bench log`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"), fallback(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7000))), display_fallback)]
    pub listen: net::SocketAddr,
    /// Seconds a record is kept
    #[bpaf(argument("SECONDS"), fallback(86_400), display_fallback)]
    pub retention_s: u64,
    /// Most records kept of a stream
    #[bpaf(argument("COUNT"), fallback(100_000), display_fallback)]
    pub records: usize,
    /// Appends allowed a second
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    pub rate: u32,
}

impl Args {
    /// The options of the stand-in that these arguments ask for.
    pub fn options(&self) -> log::Options {
        let age = time::Duration::from_secs(self.retention_s);
        let retention = log::store::Retention { age, count: self.records };
        log::Options { retention, rate: self.rate, ..log::Options::default() }
    }
}

/// Runs the stand-in until Ctrl-C.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Unreachable(e.into()))?;
    let served = runtime.block_on(serve(args));
    served.map_err(|e| exit::Failure::Input(eyre::Report::new(e).wrap_err(args.listen)))
}

async fn serve(args: &Args) -> std::io::Result<()> {
    let server = log::Server::bind(args.listen, args.options()).await?;
    println!("{{\"listen\":\"{}\"}}", server.address());
    tokio::signal::ctrl_c().await
}
