//! Requests to the operators' port of a node.

use std::io;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Why a request has no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be opened.
    #[error("can't connect to {0}")]
    Connect(net::SocketAddr, #[source] io::Error),
    /// The connection broke, or the peer does not speak HTTP.
    #[error("the HTTP request to {0} failed")]
    Exchange(net::SocketAddr, #[source] hyper::Error),
    /// The answer was truncated or is too large.
    #[error("the answer of {0} is truncated or too large")]
    Answer(net::SocketAddr, #[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer does not have the expected JSON form.
    #[error("the answer of {0} is not a valid report")]
    Malformed(net::SocketAddr, #[source] serde_json::Error),
    /// The request can't be built.
    #[error("the request is not valid")]
    Request(#[from] http::Error),
    /// The node refused the request.
    #[error("{0} answered with status {1}")]
    Status(net::SocketAddr, http::StatusCode),
    /// There was no complete answer in time.
    #[error("no complete answer from {0} in time")]
    Timeout(net::SocketAddr),
}

/// Requests `path` from `node` on a new connection and reads the JSON answer, within `limit`.
///
/// # Errors
///
/// Fails when there is no complete answer of the expected form in time.
pub async fn json<T: serde::de::DeserializeOwned>(
    node: net::SocketAddr,
    path: &str,
    limit: time::Duration,
) -> Result<T, Error> {
    let exchange = tokio::time::timeout(limit, exchange(node, path));
    let body = exchange.await.unwrap_or(Err(Error::Timeout(node)))?;
    serde_json::from_slice(&body).map_err(|e| Error::Malformed(node, e))
}

async fn exchange(node: net::SocketAddr, path: &str) -> Result<Bytes, Error> {
    let request = http::Request::get(path)
        .header(http::header::HOST, node.to_string())
        .body(Empty::<Bytes>::new())?;
    let stream = TcpStream::connect(node).await.map_err(|e| Error::Connect(node, e))?;
    let io = rt::TokioIo::new(stream);
    let broken = |e| Error::Exchange(node, e);
    let (mut sender, connection) = http1::handshake(io).await.map_err(broken)?;
    let answer = async {
        let answer = sender.send_request(request).await.map_err(broken)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| Error::Answer(node, e))?.to_bytes();
        if status.is_success() { Ok(body) } else { Err(Error::Status(node, status)) }
    };
    tokio::pin!(answer);
    tokio::select! {
        done = &mut answer => done,
        ended = connection => match ended {
            // The connection may end at the same moment as the answer is complete.
            Ok(()) => answer.await,
            Err(error) => Err(broken(error)),
        },
    }
}
