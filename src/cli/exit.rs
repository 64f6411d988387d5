//! Exit codes and how failures are printed.

use std::process;

/// Usage errors, as bpaf reports them.
const USAGE: u8 = 2;

/// Why a command ended without doing its work. Each variant has a stable exit code.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input is bad: a file can't be read or fails its checks.
    #[error("{0:#}")]
    Input(eyre::Report),
    /// Somebody else was first, or the mesh refused.
    #[error("{0:#}")]
    Refused(eyre::Report),
    /// The platform or the node asked can't be reached.
    #[error("{0:#}")]
    Unreachable(eyre::Report),
}

impl Failure {
    /// The exit code: 1 bad input, 3 conflict or refused, 4 unreachable.
    pub const fn code(&self) -> u8 {
        match self {
            Failure::Input(_) => 1,
            Failure::Refused(_) => 3,
            Failure::Unreachable(_) => 4,
        }
    }
}

/// Reads the arguments of this process by `parser`, gives them to `run` and says how it ended.
pub fn main<T>(
    parser: bpaf::OptionParser<T>,
    run: impl FnOnce(T) -> Result<(), Failure>,
) -> process::ExitCode {
    match parser.run_inner(bpaf::Args::current_args()) {
        Ok(command) => report(run(command)),
        Err(failure) => usage(failure),
    }
}

/// Prints the result of a usage error or of `--help`, and gives its exit code.
fn usage(failure: bpaf::ParseFailure) -> process::ExitCode {
    let wanted = matches!(failure, bpaf::ParseFailure::Stdout(..));
    failure.print_message(100);
    if wanted { process::ExitCode::SUCCESS } else { process::ExitCode::from(USAGE) }
}

/// Prints a failure once, without a backtrace, and gives the exit code of `result`.
/// Prints the failure of a command, if it failed, and gives its exit code.
pub fn report(result: Result<(), Failure>) -> process::ExitCode {
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("dandelionspool: {failure}");
            process::ExitCode::from(failure.code())
        }
    }
}
