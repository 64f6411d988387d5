//! `dandelionspool local` runs a whole small mesh in one process.

use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool local`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Example file to run
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
