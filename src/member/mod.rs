//! Membership: who is there, and in what state.

use std::io;
use std::net;

use crate::host;
use crate::version;

pub mod shell;

/// Bytes of a configuration's digest that a probe carries.
pub const HASH_BYTES: usize = 4;

/// A peer runs a configuration that differs from ours: newer, older or another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Heard {
    /// The peer.
    pub host: host::HostId,
    /// Version it runs.
    pub version: version::Version,
    /// First bytes of the digest of what it runs.
    pub hash: [u8; HASH_BYTES],
}

/// Why the membership duty ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't receive membership datagrams on {address}")]
    Bind {
        /// Address of the socket.
        address: net::SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The runtime of the thread can't be made.
    #[error("can't start the runtime of the membership duty")]
    Runtime(#[source] io::Error),
}
