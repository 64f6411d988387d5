//! A proxy that injects faults into TCP and UDP between the hosts of a mesh.
//!
//! It holds the addresses by which hosts know each other, while their nodes bind others
//! ([`crate::configs::Node::bind`]). A datagram leaves from the address of the host that sent it,
//! so that receivers who trust the source address are not misled. All hosts of a mesh therefore
//! stand behind the same proxy.

use std::io;
use std::net;

mod control;
mod knobs;
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
