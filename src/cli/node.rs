//! `dandelionspool node` runs the node beside an upstream.

use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool node`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Settings file
    #[bpaf(argument("FILE"))]
    pub settings: path::PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
