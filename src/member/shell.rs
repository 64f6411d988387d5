//! The thread of the membership duty: sockets, time and rings around the decisions.

use std::sync::Arc;

use tokio::net;
use tokio::sync::watch;

use crate::configs;
use crate::context;
use crate::member;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::traffic;
use crate::view;

/// What joins the membership duty to the others.
#[derive(Debug)]
pub struct Wiring {
    /// Configuration this node runs; its version rides in every probe.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// Where the known hosts are put.
    pub view: watch::Sender<Arc<view::View>>,
    /// To the distribution duty: peers that run something else. Full: dropped, since the next
    /// probe says it again.
    pub heard: ring::Sender<member::Heard>,
    /// The upstream beside this node.
    pub local: watch::Receiver<Option<Arc<node::Local>>>,
    /// Stage of the process; the duty leaves the mesh and ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// Runs the duty on the calling thread until the stage is [`node::Stage::End`].
///
/// # Errors
///
/// Fails when the runtime or the socket can't be made.
pub fn run(
    ctx: context::Context,
    settings: Arc<configs::Node>,
    wiring: Wiring,
) -> Result<(), member::Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(member::Error::Runtime)?;
    runtime.block_on(serve(ctx, settings, wiring))
}

async fn serve(
    _ctx: context::Context,
    settings: Arc<configs::Node>,
    mut wiring: Wiring,
) -> Result<(), member::Error> {
    let address = settings.bound().member_addr();
    let bound = net::UdpSocket::bind(address).await;
    let _socket = bound.map_err(|source| member::Error::Bind { address, source })?;
    // A dropped sender means that the process ends, too.
    let _ = wiring.stage.wait_for(|&stage| stage == node::Stage::End).await;
    Ok(())
}
