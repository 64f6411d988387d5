//! Distribution of accepted configurations among the nodes.
//!
//! A few readers in each availability zone read the log and push a new version along a tree of the
//! zone's hosts. A host that a push missed learns of the version from membership's probes and pulls
//! it.

use std::io;
use std::net;

pub mod confirm;
pub mod decision;
mod dissemination;
pub mod lease;
mod log_reads;
pub mod message;
mod peer_messages;
pub mod peers;
pub mod pull;
pub mod push;
pub mod read_schedule;
pub mod recovery;
pub mod replica;
pub mod shell;
pub mod start;
pub mod transfer;
pub mod tree;
pub mod version_cache;
pub mod wire;

#[cfg(test)]
mod tests;

/// Why the distribution duty ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The sockets can't be bound.
    #[error("can't receive configurations on {address}")]
    Bind {
        /// Address of both sockets, for UDP and TCP.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}
