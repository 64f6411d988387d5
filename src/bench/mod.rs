//! Experiments with real processes on loopback: stand-ins for the platform and measurements.
//!
//! Each command is a module with `Args` and `run`. It is registered by a variant of [`Command`] and
//! a line in `run`.

use std::process;

use bpaf::Bpaf;

use crate::cli::exit;

pub mod calls;
pub mod capacity;
pub mod converge;
pub mod fault;
pub mod fleet;
pub mod load;
pub mod log;
pub mod named_limit;
pub mod policies;
pub mod quotas;
pub mod upstream;

/// Proves and measures dandelionspool with real processes on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Measure calls through nodes: service, latency, attempts, refusals
    #[bpaf(command)]
    Calls(#[bpaf(external(calls::args))] calls::Args),
    /// Work out the capacity table from a file of measurements
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::args))] capacity::Args),
    /// Measure how fast and at what cost an accepted version reaches every node
    #[bpaf(command)]
    Converge(#[bpaf(external(converge::args))] converge::Args),
    /// Run a proxy that injects faults into TCP and UDP
    #[bpaf(command)]
    Fault(#[bpaf(external(fault::args))] fault::Args),
    /// Send calls at given rates and report how they ended
    #[bpaf(command)]
    Load(#[bpaf(external(load::args))] load::Args),
    /// Run the stand-in for the platform's log service
    #[bpaf(command)]
    Log(#[bpaf(external(log::args))] log::Args),
    /// Run policies of choice and of retry side by side in virtual time
    #[bpaf(command)]
    Policies(#[bpaf(external(policies::args))] policies::Args),
    /// Run ways to hold the limits of organisations side by side in virtual time
    #[bpaf(command)]
    Quotas(#[bpaf(external(quotas::args))] quotas::Args),
    /// Run the stand-in for an upstream
    #[bpaf(command)]
    Upstream(#[bpaf(external(upstream::args))] upstream::Args),
}

/// Runs the command that the command line asks for.
pub fn main() -> process::ExitCode {
    exit::main(command(), run)
}

fn run(command: Command) -> Result<(), exit::Failure> {
    match command {
        Command::Calls(args) => calls::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Converge(args) => converge::run(&args),
        Command::Fault(args) => fault::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Log(args) => log::run(&args),
        Command::Policies(args) => policies::run(&args),
        Command::Quotas(args) => quotas::run(&args),
        Command::Upstream(args) => upstream::run(&args),
    }
}
