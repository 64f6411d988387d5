//! Errors of the call path.

use std::io;
use std::net;

/// Why the call path ended badly.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener can't be opened.
    #[error("can't listen on {address}")]
    Listen {
        /// Where.
        address: net::SocketAddr,
        /// The operating system's answer.
        source: io::Error,
    },
}

/// Why a body ended before it was whole.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// The connection it came on failed.
    #[error("the body was cut short")]
    Cut(#[source] hyper::Error),
    /// The peer reset its stream.
    #[error("the body was reset")]
    Reset,
    /// The deadline passed.
    #[error("the deadline passed before the body was whole")]
    Late,
    /// It is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Most bytes allowed.
        limit: u64,
    },
    /// The call was given up.
    #[error("the call was given up")]
    Left,
}
