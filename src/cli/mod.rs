//! The command line, with one file for each command, typed failures and stable exit codes.

use std::process;

use bpaf::Bpaf;

pub mod ask;
pub mod check;
pub mod exit;
pub mod follow;
pub mod key;
pub mod local;
pub mod logging;
pub mod losses;
pub mod node;
pub mod publish;
pub mod report;
pub mod status;
pub mod trace;

/// Distributes configuration to the proxies of a service mesh.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub enum Command {
    /// Check a configuration file and list every fault in it
    #[bpaf(command)]
    Check(#[bpaf(external(check::args))] check::Args),
    /// Make an API key and its digest, which the configuration lists
    #[bpaf(command)]
    Key(#[bpaf(external(key::args))] key::Args),
    /// Run a small mesh in this process, on loopback addresses
    #[bpaf(command)]
    Local(#[bpaf(external(local::args))] local::Args),
    /// Count the calls without an answer in logs, by second, route and reason
    #[bpaf(command)]
    Losses(#[bpaf(external(losses::args))] losses::Args),
    /// Run the node beside an upstream
    #[bpaf(command)]
    Node(#[bpaf(external(node::args))] node::Args),
    /// Publish a configuration file as a new version
    #[bpaf(command)]
    Publish(#[bpaf(external(publish::args))] publish::Args),
    /// Report on service levels or on usage
    #[bpaf(command)]
    Report(#[bpaf(external(report::args))] report::Args),
    /// Show what the mesh runs, as seen from one node
    #[bpaf(command)]
    Status(#[bpaf(external(status::args))] status::Args),
    /// Show the path of one call in the logs of several nodes
    #[bpaf(command)]
    Trace(#[bpaf(external(trace::args))] trace::Args),
}

/// Parses the arguments of this process and runs the command.
pub fn main() -> process::ExitCode {
    exit::main(command(), run)
}

fn run(command: Command) -> Result<(), exit::Failure> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Key(args) => key::run(&args),
        Command::Local(args) => local::run(&args),
        Command::Losses(args) => losses::run(&args),
        Command::Node(args) => node::run(&args),
        Command::Publish(args) => publish::run(&args),
        Command::Report(args) => report::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Trace(args) => trace::run(&args),
    }
}
