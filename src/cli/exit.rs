//! Exit codes and the output of failures.

use std::process;

/// Exit code of a usage error.
const USAGE: u8 = 2;

/// Why a command failed. Each variant has a stable exit code.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input is invalid: a file can't be read or fails its checks.
    #[error("{0:#}")]
    Input(eyre::Report),
    /// The request was in conflict with another one, or the mesh refused it.
    #[error("{0:#}")]
    Refused(eyre::Report),
    /// The platform or the node can't be reached.
    #[error("{0:#}")]
    Unreachable(eyre::Report),
}

impl Failure {
    /// Returns the exit code: 1 for invalid input, 3 for a conflict or refusal, 4 for unreachable.
    pub const fn code(&self) -> u8 {
        match self {
            Failure::Input(_) => 1,
            Failure::Refused(_) => 3,
            Failure::Unreachable(_) => 4,
        }
    }
}

/// Parses the arguments of this process, calls `run` with the result and returns the exit code.
pub fn main<T>(
    parser: bpaf::OptionParser<T>,
    run: impl FnOnce(T) -> Result<(), Failure>,
) -> process::ExitCode {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(command) => report(run(command)),
        Err(failure) => usage(failure),
    }
}

/// Prints a usage error, or the output of `--help` or `--version`, and returns the exit code.
fn usage(failure: bpaf::ParseFailure) -> process::ExitCode {
    let is_help = matches!(failure, bpaf::ParseFailure::Stdout(..));
    failure.print_message(100);
    if is_help { process::ExitCode::SUCCESS } else { process::ExitCode::from(USAGE) }
}

/// Prints the failure of a command, if it failed, without a backtrace, and returns the exit code.
pub fn report(result: Result<(), Failure>) -> process::ExitCode {
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("dandelionspool: {failure}");
            process::ExitCode::from(failure.code())
        }
    }
}
