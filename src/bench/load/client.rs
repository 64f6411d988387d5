//! An HTTP/1.1 client that reuses its connections to the targets.

use std::net;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;

/// A request with a complete body.
pub type Request = http::Request<Full<Bytes>>;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be opened; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke before the response was complete.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// The targets with their idle connections.
#[derive(Debug)]
pub struct Client {
    targets: Vec<(net::SocketAddr, Mutex<Vec<Sender>>)>,
}

impl Client {
    /// A client of `targets` without connections.
    pub fn new(targets: &[net::SocketAddr]) -> Self {
        Self { targets: targets.iter().map(|to| (*to, Mutex::default())).collect() }
    }

    /// Address of the target number `to`.
    pub fn address(&self, to: usize) -> net::SocketAddr {
        self.targets[to].0
    }

    /// Sends `request` to the target number `to` and returns the complete response. If an idle
    /// connection was closed before it sent the request, the next one is used, or a new one.
    pub async fn send(
        &self,
        to: usize,
        mut request: Request,
    ) -> Result<http::Response<Bytes>, Error> {
        while let Some(mut sender) = self.idle(to) {
            match sender.try_send_request(request).await {
                Ok(answer) => return self.finish(to, sender, answer).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut sender = self.connect(to).await?;
        let answer = sender.send_request(request).await?;
        self.finish(to, sender, answer).await
    }

    async fn finish(
        &self,
        to: usize,
        sender: Sender,
        answer: http::Response<hyper::body::Incoming>,
    ) -> Result<http::Response<Bytes>, Error> {
        let (parts, body) = answer.into_parts();
        let bytes = body.collect().await?.to_bytes();
        if !sender.is_closed() {
            self.lock(to).push(sender);
        }
        Ok(http::Response::from_parts(parts, bytes))
    }

    async fn connect(&self, to: usize) -> Result<Sender, Error> {
        let stream = TcpStream::connect(self.targets[to].0).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn idle(&self, to: usize) -> Option<Sender> {
        let mut idle = self.lock(to);
        loop {
            let sender = idle.pop()?;
            if sender.is_ready() {
                return Some(sender);
            }
        }
    }

    fn lock(&self, to: usize) -> std::sync::MutexGuard<'_, Vec<Sender>> {
        self.targets[to].1.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
