//! Distribution of accepted configurations among the nodes.
//!
//! A few readers of each availability zone read the log; they push a new version along a tree of
//! the zone's hosts; whoever was missed hears of it by membership's probes and pulls it.

use std::io;
use std::net;

mod answer;
pub mod confirm;
pub mod decision;
mod learn;
pub mod message;
pub mod peers;
pub mod pull;
pub mod push;
mod reading;
pub mod recovery;
pub mod replica;
pub mod shelf;
pub mod shell;
pub mod start;
pub mod tail;
pub mod transfer;
pub mod tree;
pub mod wire;

#[cfg(test)]
mod tests;

/// Why the distribution duty ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't receive configurations on {address}")]
    Bind {
        /// Address of the sockets.
        address: net::SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}
