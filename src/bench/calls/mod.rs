//! `dandelionspool-bench calls` measures calls through nodes: real processes on loopback under
//! open-loop load, at several levels and with faults, compared with direct calls to an upstream.

use std::path;

use bpaf::Bpaf;

use crate::bench::fleet;
use crate::bench::load;
use crate::cli::exit;

mod report;
mod run;
mod site;

/// Arguments of `dandelionspool-bench calls`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Site to model: condor or cascadia
    #[bpaf(argument("NAME"), fallback(site::Preset::Condor), display_fallback)]
    pub preset: site::Preset,
    /// Configuration file; the example of the preset by default
    #[bpaf(argument("FILE"))]
    pub configuration: Option<path::PathBuf>,
    /// Mean time of a call, in milliseconds; the shorter, the more calls a second
    #[bpaf(argument("MILLIS"), fallback(100.0), display_fallback)]
    pub mean: f64,
    /// Time of each run that is counted, in seconds
    #[bpaf(argument("SECONDS"), fallback(8.0), display_fallback)]
    pub seconds: f64,
    /// Only this run, such as 200 or slow; every run by default
    #[bpaf(argument("RUN"))]
    pub only: Option<site::Case>,
    /// Seed of the load
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
    /// Print JSON
    pub json: bool,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fleet failed.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The load can't be run.
    #[error(transparent)]
    Load(#[from] load::Error),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(path::PathBuf, std::io::Error),
    /// A publish was refused.
    #[error("publish ended with {0}: {1}")]
    Publish(i32, String),
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = runtime.worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    let rows = runtime.block_on(run::all(args)).map_err(|e| exit::Failure::Refused(e.into()))?;
    if args.json {
        let text = serde_json::to_string_pretty(&rows);
        println!("{}", text.map_err(|e| exit::Failure::Refused(e.into()))?);
    } else {
        report::print(&rows);
    }
    Ok(())
}
