//! `dandelionspool publish` publishes a configuration file.

use std::net;
use std::path;

use bpaf::Bpaf;

use crate::cli::exit;

/// Arguments of `dandelionspool publish`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Address of the log service, such as 127.0.0.1:7000
    #[bpaf(argument("ADDRESS"))]
    pub log: net::SocketAddr,
    /// Version the file was made from; 0 when there is none
    #[bpaf(argument("VERSION"))]
    pub base: u64,
    /// Configuration file
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    Err(exit::Failure::Refused(eyre::eyre!("not built yet: {args:?}")))
}
