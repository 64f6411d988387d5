//! `dandelionspool-bench converge` measures the spread of accepted versions.

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool-bench converge`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print JSON
    pub json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
