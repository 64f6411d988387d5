//! `dandelionspool local` runs a small mesh in one process.

use std::path;

use bpaf::Bpaf;
use tokio::runtime;

use crate::cli::exit;
use crate::cli::logging;
use crate::cli::node;
use crate::configs;
use crate::host;
use crate::standin::local_mesh;

/// Arguments of `dandelionspool local`.
#[derive(Bpaf, Clone, Debug)]
pub struct Args {
    /// Settings file of the mesh, such as one of the examples
    #[bpaf(positional("FILE"))]
    pub file: path::PathBuf,
}

/// Runs the command until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when a file is invalid, an address is in use or a node fails.
pub fn run(args: &Args) -> Result<(), exit::Failure> {
    let settings = configs::load::load::<configs::local::Local>(&args.file);
    let settings = settings.map_err(|e| exit::Failure::Input(e.into()))?;
    logging::init();
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| exit::Failure::Refused(e.into()))?;
    runtime.block_on(serve(settings, args.file.parent().unwrap_or(path::Path::new("."))))
}

async fn serve(settings: configs::local::Local, base: &path::Path) -> Result<(), exit::Failure> {
    let mut signals = node::Signals::new().map_err(|e| exit::Failure::Refused(e.into()))?;
    let small = local_mesh::LocalMesh::start(settings, base).await.map_err(failure)?;
    explain(&small, &base.join("FILE"));
    let stopped = async {
        signals.next().await;
    };
    small.run(stopped).await.map_err(failure)
}

fn failure(error: local_mesh::Error) -> exit::Failure {
    match error {
        local_mesh::Error::File(..)
        | local_mesh::Error::Invalid(..)
        | local_mesh::Error::Mismatch(..) => exit::Failure::Input(error.into()),
        local_mesh::Error::Listen(..)
        | local_mesh::Error::Node(..)
        | local_mesh::Error::Refused(_) => exit::Failure::Refused(error.into()),
        local_mesh::Error::Publish(..) => exit::Failure::Unreachable(error.into()),
    }
}

/// Prints how to call the mesh, publish to it and watch it.
fn explain(small: &local_mesh::LocalMesh, file: &path::Path) {
    let (log, version) = (small.log, small.version);
    println!("{} hosts start; version {version} is published", small.hosts.len());
    for host in &small.hosts {
        let id = host::HostId::new(host.listen);
        let (calls, admin) = (id.call_addr(), id.admin_addr());
        println!("  {:<16} {:<14} calls http://{calls}  admin {admin}", host.class, host.zone);
    }
    let Some(first) = small.hosts.first() else { return };
    let id = host::HostId::new(first.listen);
    println!("call:    curl -i http://{}/PATH", id.call_addr());
    println!("publish: dandelionspool publish {} --base {version} --log {log}", file.display());
    println!("watch:   dandelionspool status --node {}", id.admin_addr());
    println!("stop:    Ctrl-C");
}
