//! A proxy that injects faults into TCP and UDP between the hosts of a mesh.
//!
//! The proxy binds the addresses by which hosts know each other, and their nodes bind others
//! ([`crate::configs::Node::bind`]). It forwards a datagram from the known address of the host that
//! sent it, because receivers identify the sender by the source address. All hosts of a mesh must
//! therefore be behind the same proxy.

use std::io;
use std::net;

mod control;
mod live;
pub mod rules;
mod server;
mod tcp;
mod udp;

#[cfg(test)]
mod tests;

pub use server::Options;
pub use server::Server;

/// Why the proxy can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("can't bind {0}: {1}")]
    Bind(net::SocketAddr, io::Error),
}
