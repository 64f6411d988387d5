//! `dandelionspool check` checks a configuration file.

use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool check`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Print faults as JSON
    pub json: bool,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
