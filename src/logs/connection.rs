//! Persistent connections to the log service, with their bytes counted.

use std::io;
use std::net;
use std::pin;
use std::sync::atomic;
use std::sync::{Arc, Mutex, PoisonError};
use std::task;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::socket;
use crate::traffic;

/// Limit on idle connections kept for later requests.
const MAX_IDLE: usize = 8;

/// Sends requests over one connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Why no connection could be made. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Connecting to the address failed.
    #[error("the connection could not be made")]
    Connect(#[from] io::Error),
    /// The HTTP handshake failed.
    #[error("the HTTP handshake failed")]
    Handshake(#[from] hyper::Error),
}

/// Connections to one address. They belong to the tokio runtime that made them, so every thread
/// with its own runtime has its own pool.
#[derive(Debug)]
pub struct Pool {
    address: net::SocketAddr,
    /// Idle connections, at most [`MAX_IDLE`]; the most recently used one is last.
    idle: Mutex<Vec<Sender>>,
    traffic: Arc<traffic::Traffic>,
}

impl Pool {
    /// A pool without connections yet.
    pub fn new(address: net::SocketAddr, traffic: Arc<traffic::Traffic>) -> Self {
        Self { address, idle: Mutex::default(), traffic }
    }

    /// Address of the service.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// An idle connection that is still open.
    pub async fn reuse(&self) -> Option<Sender> {
        loop {
            let mut sender = self.pop()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    /// A new connection.
    pub async fn connect(&self) -> Result<Sender, Error> {
        let stream = TcpStream::connect(self.address).await?;
        socket::configure(&stream)?;
        let counted = Counted { stream, traffic: Arc::clone(&self.traffic) };
        let (sender, connection) = http1::handshake(TokioIo::new(counted)).await?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "a connection to the log service ended");
            }
        });
        Ok(sender)
    }

    /// Returns `sender` to the pool, after its last answer was read completely.
    pub fn release(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE && !sender.is_closed() {
            idle.push(sender);
        }
    }

    /// Counts one request.
    pub fn count_request(&self) {
        let counts = self.traffic.of(traffic::Purpose::Log);
        counts.messages.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn pop(&self) -> Option<Sender> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }
}

/// A stream whose bytes are counted as traffic to the log.
#[derive(Debug)]
struct Counted {
    stream: TcpStream,
    traffic: Arc<traffic::Traffic>,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.traffic.of(traffic::Purpose::Log).received(bytes);
        result
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        if let task::Poll::Ready(Ok(bytes)) = &result {
            let counts = self.traffic.of(traffic::Purpose::Log);
            counts.sent.fetch_add(*bytes as u64, atomic::Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
