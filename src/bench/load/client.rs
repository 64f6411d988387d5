//! HTTP/1.1 connections to the targets, kept and used again.

use std::net;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;

/// A request as the generator sends it.
pub type Request = http::Request<Full<Bytes>>;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke before the whole answer.
    #[error("the connection broke: {0}")]
    Broken(#[from] hyper::Error),
}

/// Idle connections of each target.
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

    /// Sends `request` to the target number `to` and returns the whole answer. A request that an
    /// idle connection gave back unsent goes on a new one.
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
