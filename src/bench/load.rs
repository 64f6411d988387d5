//! `dandelionspool-bench load` sends calls at given rates.

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool-bench load`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print JSON
    pub json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
