//! Errors of the call path.

use std::io;
use std::net;

#[cfg(doc)]
use crate::proxy::meter;

/// Errors that end the call path.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A listener can't be opened.
    #[error("can't listen on {address}")]
    Listen {
        /// The address to listen on.
        address: net::SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Why a body ended before it was complete.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// The connection failed.
    #[error("the connection failed before the end of the body")]
    Cut(#[source] hyper::Error),
    /// The peer reset the stream.
    #[error("the peer reset the stream before the end of the body")]
    Reset,
    /// The peer sent [`meter::MAX_BYTES`] in which there is no part of the body.
    #[error("the body does not go on in the bytes that follow")]
    Endless,
    /// The deadline passed.
    #[error("the deadline passed before the end of the body")]
    Timeout,
    /// The body is larger than allowed.
    #[error("the body is larger than {limit} bytes")]
    TooLarge {
        /// Maximum size, in bytes.
        limit: u64,
    },
    /// The call was cancelled.
    #[error("the call was cancelled")]
    Cancelled,
    /// The attempt that sends the body has ended.
    #[error("the attempt has ended before the end of the body")]
    AttemptEnded,
}
