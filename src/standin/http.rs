//! An HTTP/1.1 client that opens a connection for each request, for stand-ins, bench and tests.

use std::io;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net::TcpStream;

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection can't be opened.
    #[error("can't connect to {0}: {1}")]
    Connect(net::SocketAddr, io::Error),
    /// The connection broke, or the response is not HTTP.
    #[error("exchange with {0} failed: {1}")]
    Exchange(net::SocketAddr, hyper::Error),
    /// The request can't be built.
    #[error("the request is not valid: {0}")]
    Request(#[from] http::Error),
    /// The response was not complete in time.
    #[error("no complete response from {0} in time")]
    Timeout(net::SocketAddr),
}

/// Sends `request` to `to` on a new connection and returns the complete response, or
/// [`Error::Timeout`] after `limit`.
pub async fn send(
    to: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
    limit: time::Duration,
) -> Result<http::Response<Bytes>, Error> {
    let answer = tokio::time::timeout(limit, exchange(to, request)).await;
    answer.unwrap_or(Err(Error::Timeout(to)))
}

/// Requests `path` from `to` with `GET`, see [`send`].
pub async fn get(
    to: net::SocketAddr,
    path: &str,
    limit: time::Duration,
) -> Result<http::Response<Bytes>, Error> {
    let request = http::Request::get(path)
        .header(http::header::HOST, to.to_string())
        .body(Full::new(Bytes::new()))?;
    send(to, request, limit).await
}

/// Sends a request with a JSON body to `to`, see [`send`].
pub async fn json(
    to: net::SocketAddr,
    method: http::Method,
    path: &str,
    body: &serde_json::Value,
    limit: time::Duration,
) -> Result<http::Response<Bytes>, Error> {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, to.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    send(to, request, limit).await
}

async fn exchange(
    to: net::SocketAddr,
    request: http::Request<Full<Bytes>>,
) -> Result<http::Response<Bytes>, Error> {
    let stream = TcpStream::connect(to).await.map_err(|e| Error::Connect(to, e))?;
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) =
        http1::handshake(io).await.map_err(|e| Error::Exchange(to, e))?;
    let driver = tokio::spawn(connection);
    let answer = async {
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        Ok(http::Response::from_parts(parts, bytes))
    };
    let answer = answer.await.map_err(|e| Error::Exchange(to, e));
    driver.abort();
    answer
}
