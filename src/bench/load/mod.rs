//! `dandelionspool-bench load` sends calls at given rates (open loop) and checks the responses.
//!
//! Calls start by their schedule, however slow the responses are, and latency counts from the
//! intended start. Otherwise a stalled mesh would delay the calls that would show the stall.

use std::fs;
use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

mod arrivals;
mod call;
mod client;
mod drive;
mod plan;
mod tally;

#[cfg(test)]
mod tests;

pub use call::Outcome;
pub use call::TryResult;
pub use drive::Error;
pub use drive::drive;
pub use drive::run_blocking;
pub use plan::Flow;
pub use plan::Plan;
pub use tally::Count;
pub use tally::Tally;

/// Arguments of `dandelionspool-bench load`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print JSON
    pub json: bool,
    /// Plan: a JSON file with `targets` and `flows`
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let bytes = fs::read(&args.file).map_err(|e| input(args, e.into()))?;
    let plan: plan::Plan = serde_json::from_slice(&bytes).map_err(|e| input(args, e.into()))?;
    plan.check().map_err(|e| input(args, e.into()))?;
    let tally = drive::run_blocking(&plan).map_err(|e| exit::Failure::Refused(e.into()))?;
    let report = tally.report(plan.duration());
    if args.json {
        println!("{report}");
    } else {
        print!("{}", tally.text(plan.duration()));
    }
    Ok(())
}

fn input(args: &Args, error: eyre::Report) -> exit::Failure {
    exit::Failure::Input(error.wrap_err(args.file.display().to_string()))
}
