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

/// Why the operators' port can't be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't listen on {address} for operators")]
    Bind {
        /// The address.
        address: net::SocketAddr,
        /// The operating system's answer.
        source: io::Error,
    },
}
