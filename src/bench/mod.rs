//! Experiments with real processes on loopback.

use std::process;

/// Runs the command line of the bench.
pub fn main() -> process::ExitCode {
    process::ExitCode::from(2)
}
