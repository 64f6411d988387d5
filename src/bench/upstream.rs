//! `dandelionspool-bench upstream` runs the stand-in for an upstream.

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool-bench upstream`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print JSON
    pub json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
