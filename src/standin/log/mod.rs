//! A stand-in for the platform's log service: append-only streams in memory behind plain HTTP.
//!
//! `docs/LOG-PROTOCOL.md` describes the protocol. Records expire, the rate of appends is limited,
//! and `POST /faults` makes the service fail in the ways of [`faults::Faults`].

use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

use crate::context;

pub mod faults;
pub mod rate;
pub mod serve;
pub mod store;

/// Pause after a failed accept, so that it causes no busy loop.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Limits of the stand-in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Options {
    /// Age and number of the records that are kept.
    pub retention: store::Retention,
    /// Maximum number of appends per second, over all streams.
    pub rate: u32,
    /// Maximum size of a record, in bytes.
    pub body_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        let age = time::Duration::from_secs(86_400);
        let retention = store::Retention { age, count: 100_000 };
        Self { retention, rate: 500, body_bytes: 2 << 20 }
    }
}

/// A running stand-in, which stops when this value is dropped.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    shared: Arc<serve::Shared>,
    /// The task that accepts connections; aborting it closes all of them.
    task: task::JoinHandle<()>,
}

impl Server {
    /// Listens on `address`, whose port may be 0, and serves until it is dropped.
    pub async fn bind(address: net::SocketAddr, options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(serve::Shared::new(context::Context::system(), options));
        let task = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared, task })
    }

    /// The address on which it listens, with the port that was chosen for port 0.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Puts `faults` in force, as `POST /faults` does.
    pub fn set_faults(&self, faults: faults::Faults) {
        self.shared.set_faults(faults);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<serve::Shared>) {
    let mut connections = task::JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(connection(stream, Arc::clone(&shared)));
            }
            Err(error) => {
                log::warn!(error:% = error; "the log stand-in can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn connection(stream: TcpStream, shared: Arc<serve::Shared>) {
    let nodelay = stream.set_nodelay(true);
    let handler = service::service_fn(move |request| Arc::clone(&shared).handle(request));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let served = builder.serve_connection(TokioIo::new(stream), handler).await;
    log::debug!(nodelay:? = nodelay, served:? = served; "a connection to the log stand-in ended");
}
