//! `dandelionspool status` shows which versions the mesh runs.

use std::net;

use bpaf::Bpaf;

use crate::admin::mesh_status;
use crate::cli::{ask, exit};

/// Arguments of `dandelionspool status`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Operators' port of any node, such as 127.0.0.1:7104
    #[bpaf(argument("ADDRESS"))]
    pub node: net::SocketAddr,
    /// Print JSON
    pub json: bool,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the node can't be reached or refuses the request.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let mesh: mesh_status::MeshStatus = ask::fetch_report(args.node, "/status?mesh=1")?;
    ask::print(args.json, &mesh, text)
}

fn text(mesh: &mesh_status::MeshStatus) -> String {
    let mut text = ask::format_coverage(&mesh.coverage);
    let since = mesh.newest_unix_ms.map(ask::format_time).unwrap_or_default();
    text += &format!("newest version {} ({}), first run {since}\n", mesh.newest, mesh.digest);
    text += &format!("{} nodes behind, {} not ready\n", mesh.behind, mesh.unready);
    text += &log(&mesh.log);
    text += &format!("\n{:<24} {:>10} {:>7}\n", "ZONE", "VERSION", "NODES");
    for row in &mesh.running {
        text += &format!("{:<24} {:>10} {:>7}\n", row.zone, row.version, row.nodes);
    }
    if !mesh.behind_hosts.is_empty() {
        text += &format!("\n{:<24} {:>10} {:>10}  ZONE\n", "BEHIND", "VERSION", "FOR");
    }
    for row in &mesh.behind_hosts {
        let seconds = row.behind_ms / 1000;
        text += &format!("{:<24} {:>10} {:>9}s  {}\n", row.host, row.version, seconds, row.zone);
    }
    text += &format!("\n{:<24} {:>8} {:>8} {:>9}\n", "SERVICE", "WARMING", "SERVING", "DRAINING");
    for (service, counts) in &mesh.upstreams {
        let (warming, serving, draining) = (counts.warming, counts.serving, counts.draining);
        text += &format!("{service:<24} {warming:>8} {serving:>8} {draining:>9}\n");
    }
    text
}

fn log(log: &mesh_status::Log) -> String {
    let counts = format!(
        "{} nodes get answers, {} get none, {} have not asked",
        log.answers, log.fails, log.unasked
    );
    match log.fails_since_unix_ms {
        Some(since) => format!("log: failing since {}; {counts}\n", ask::format_time(since)),
        None => format!("log: {counts}\n"),
    }
}
