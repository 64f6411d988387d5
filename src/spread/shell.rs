//! The thread of the distribution duty: sockets, time and rings around the decisions.

use std::sync::Arc;

use tokio::net;
use tokio::sync::watch;

use crate::configs;
use crate::context;
use crate::logs;
use crate::member;
use crate::mesh;
use crate::node;
use crate::ring;
use crate::spread;
use crate::traffic;
use crate::view;

/// What joins the distribution duty to the others.
#[derive(Debug)]
pub struct Wiring<L> {
    /// Where the configuration this node runs is put, whole.
    pub applied: watch::Sender<Arc<mesh::Applied>>,
    /// The known hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// From the membership duty: peers that run something else.
    pub heard: ring::Receiver<member::Heard>,
    /// The platform's log.
    pub log: L,
    /// Stage of the process; the duty ends at [`node::Stage::End`].
    pub stage: watch::Receiver<node::Stage>,
    /// Counters of control traffic.
    pub traffic: Arc<traffic::Traffic>,
}

/// Runs the duty until the stage is [`node::Stage::End`]; spawns local tasks, so that it needs a
/// `tokio::task::LocalSet` such as [`node::duty::Duty`] gives.
///
/// # Errors
///
/// Fails when the sockets can't be made.
pub async fn run<L: logs::Service>(
    _ctx: context::Context,
    settings: Arc<configs::Node>,
    mut wiring: Wiring<L>,
) -> Result<(), spread::Error> {
    let address = settings.bound().spread_addr();
    let bound = net::UdpSocket::bind(address).await;
    let _socket = bound.map_err(|source| spread::Error::Bind { address, source })?;
    // A dropped sender means that the process ends, too.
    let _ = wiring.stage.wait_for(|&stage| stage == node::Stage::End).await;
    Ok(())
}
