//! Client of the log service over HTTP/1.1. `docs/LOG-PROTOCOL.md` describes the protocol.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;

use crate::configs;
use crate::logs::{self, connection, wire};
use crate::traffic;

/// Limit on the body of an answer, in bytes.
const MAX_BATCH_BYTES: usize = 16 << 20;

/// Why a request to the log service failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made; nothing was sent.
    #[error("the log service can't be reached")]
    Connect(#[from] connection::Error),
    /// No connection was made in time; nothing was sent.
    #[error("the log service did not accept a connection in time")]
    ConnectTimeout,
    /// The request was sent, but not answered in time.
    #[error("the log service did not answer in time")]
    AnswerTimeout,
    /// The request was sent, and then the connection failed.
    #[error("the connection to the log service was lost")]
    Lost(#[source] hyper::Error),
    /// The answer is truncated or too large.
    #[error("the answer of the log service is truncated or too large")]
    Answer(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// A header of the answer is missing or not a number.
    #[error("the answer of the log service has no valid {0} header")]
    Header(&'static str),
    /// The batch does not decode.
    #[error("the log service sent a malformed batch")]
    Batch(#[from] wire::Error),
    /// The service refused the request because of its load; nothing was appended.
    #[error("the log service is busy")]
    Busy {
        /// The Retry-After header, if the service sent one.
        retry_after: Option<time::Duration>,
    },
    /// The service answered with another status.
    #[error("the log service answered with status {0}")]
    Status(StatusCode),
    /// The name of the stream can't be part of a URL.
    #[error("the name of the stream can't be part of a URL")]
    Stream(#[from] http::Error),
}

impl logs::Failure for Error {
    fn uncertain(&self) -> bool {
        match self {
            Error::Connect(_) | Error::ConnectTimeout | Error::Busy { .. } => false,
            Error::Stream(_) => false,
            Error::Status(status) => {
                status.is_server_error() && *status != StatusCode::SERVICE_UNAVAILABLE
            }
            Error::AnswerTimeout | Error::Lost(_) | Error::Answer(_) => true,
            Error::Header(_) | Error::Batch(_) => true,
        }
    }
}

/// A client of the log service. Clones share their connections; each runtime has its own client.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<connection::Pool>,
    /// How long a request may take, without the time it waits for a record.
    timeout: time::Duration,
}

/// An answer that was read completely.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// A client with `settings` that counts its bytes in `traffic`. It connects when it is first
    /// used.
    pub fn new(settings: &configs::log::Log, traffic: Arc<traffic::Traffic>) -> Self {
        let pool = Arc::new(connection::Pool::new(settings.address, traffic));
        Self { pool, timeout: time::Duration::from_millis(settings.append_ms) }
    }

    /// Sends `request` and reads its answer within `timeout`, on an idle connection if there is
    /// one.
    ///
    /// # Errors
    ///
    /// No complete answer was received.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Answer, Error> {
        let mut request = request;
        if let Some(sender) = self.pool.reuse().await {
            match self.send(sender, request, timeout).await? {
                Sent::Answered(answer) => return Ok(answer),
                Sent::Unsent(returned, _) => request = returned,
            }
        }
        let connect = tokio::time::timeout(self.timeout, self.pool.connect());
        let sender = connect.await.map_err(|_| Error::ConnectTimeout)??;
        match self.send(sender, request, timeout).await? {
            Sent::Answered(answer) => Ok(answer),
            Sent::Unsent(_, error) => Err(connection::Error::from(error).into()),
        }
    }

    async fn send(
        &self,
        mut sender: connection::Sender,
        request: Request<Full<Bytes>>,
        timeout: time::Duration,
    ) -> Result<Sent, Error> {
        self.pool.count_request();
        let exchange = async {
            let response = match sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut failed) => {
                    return match failed.take_message() {
                        Some(request) => Ok(Sent::Unsent(request, failed.into_error())),
                        None => Err(Error::Lost(failed.into_error())),
                    };
                }
            };
            Ok(Sent::Answered(read(response).await?))
        };
        let sent = tokio::time::timeout(timeout, exchange).await;
        let sent = sent.map_err(|_| Error::AnswerTimeout)??;
        if matches!(sent, Sent::Answered(_)) {
            self.pool.release(sender);
        }
        Ok(sent)
    }

    /// How long a request may take, without the time it waits for a record.
    pub const fn timeout(&self) -> time::Duration {
        self.timeout
    }

    /// Starts a request to the service, with its address as the Host header.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        let host = self.pool.address().to_string();
        Request::builder().method(method).uri(path).header(header::HOST, host)
    }
}

/// Outcome of sending a request.
enum Sent {
    /// The service answered.
    Answered(Answer),
    /// No byte of the request was sent, because the connection was closed.
    Unsent(Request<Full<Bytes>>, hyper::Error),
}

impl logs::Service for Client {
    type Error = Error;

    async fn append(&self, stream: &str, body: Bytes) -> Result<logs::Offset, Error> {
        let path = format!("/streams/{stream}");
        let request = self.request(http::Method::POST, &path).body(Full::new(body))?;
        let answer = self.call(request, self.timeout).await?;
        answer.check()?;
        answer.number(wire::OFFSET_HEADER)
    }

    async fn read(
        &self,
        stream: &str,
        from: logs::Offset,
        max: u32,
        wait: time::Duration,
    ) -> Result<logs::Batch, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}?from={from}&most={max}&wait_ms={wait_ms}");
        let request = self.request(http::Method::GET, &path).body(Full::default())?;
        let answer = self.call(request, wait.saturating_add(self.timeout)).await?;
        answer.check()?;
        let first = answer.number(wire::FIRST_HEADER)?;
        let next = answer.number(wire::NEXT_HEADER)?;
        let epoch = answer.epoch(wire::EPOCH_HEADER)?;
        Ok(logs::Batch { epoch, ..wire::decode(first, next, answer.body)? })
    }
}

impl Answer {
    fn check(&self) -> Result<(), Error> {
        match self.head.status {
            status if status.is_success() => Ok(()),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy { retry_after: self.retry_after() }),
            status => Err(Error::Status(status)),
        }
    }

    /// Value of the Retry-After header.
    pub fn retry_after(&self) -> Option<time::Duration> {
        let value = self.head.headers.get(header::RETRY_AFTER)?;
        let seconds = value.to_str().ok()?.parse().ok()?;
        Some(time::Duration::from_secs(seconds))
    }

    /// The epoch in the header `name`; 0 without that header.
    ///
    /// # Errors
    ///
    /// The header is not a number.
    pub fn epoch(&self, name: &'static str) -> Result<logs::Epoch, Error> {
        if self.head.headers.contains_key(name) { self.number(name) } else { Ok(0) }
    }

    fn number(&self, name: &'static str) -> Result<u64, Error> {
        let value = self.head.headers.get(name).and_then(|v| v.to_str().ok());
        value.and_then(|v| v.parse().ok()).ok_or(Error::Header(name))
    }
}

async fn read(response: http::Response<body::Incoming>) -> Result<Answer, Error> {
    let (head, body) = response.into_parts();
    let collected = Limited::new(body, MAX_BATCH_BYTES).collect().await.map_err(Error::Answer)?;
    Ok(Answer { head, body: collected.to_bytes() })
}
