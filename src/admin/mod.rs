//! Metrics, health, status and announcements over HTTP, for operators and for the upstream beside
//! this node.

use std::io;
use std::net;

pub mod announce;
pub mod calls;
pub mod mesh_status;
pub mod metrics;
pub mod query;
pub mod reply;
pub mod scatter;
pub mod server;
pub mod shell;
pub mod state;
pub mod status;

#[cfg(test)]
mod tests;

/// Error of serving the operators' port.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be bound.
    #[error("can't listen on {address} for the operators' port")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
}
