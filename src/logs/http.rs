//! The log service over HTTP/1.1. `docs/LOG-PROTOCOL.md` describes the protocol.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body;

use crate::configs;
use crate::logs::{self, connection, wire};
use crate::traffic;

/// Largest batch accepted, in bytes.
const BATCH_BYTES: usize = 16 << 20;

/// What went wrong with a request to the log service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection; nothing was sent.
    #[error("the log service can't be reached")]
    Connect(#[from] connection::Error),
    /// No connection in time; nothing was sent.
    #[error("the log service did not accept a connection in time")]
    ConnectTimeout,
    /// Sent, and then no answer in time.
    #[error("the log service did not answer in time")]
    AnswerTimeout,
    /// Sent, and then the connection failed.
    #[error("the connection to the log service was lost")]
    Lost(#[source] hyper::Error),
    /// The answer broke off or is too large.
    #[error("the answer of the log service is not whole")]
    Answer(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The answer lacks a header or it is not a number.
    #[error("the answer of the log service has no valid {0} header")]
    Header(&'static str),
    /// The batch does not decode.
    #[error("the log service sent a malformed batch")]
    Batch(#[from] wire::Error),
    /// Too many requests; nothing was appended.
    #[error("the log service is busy")]
    Busy {
        /// How long to wait, if the service said.
        retry_after: Option<time::Duration>,
    },
    /// Another status.
    #[error("the log service answered with status {0}")]
    Status(StatusCode),
    /// The name of the stream can't be part of a URL.
    #[error("the name of the stream can't be used")]
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
    /// Longest a request may take, its wait for a record not counted.
    timeout: time::Duration,
}

/// An answer read whole.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// A client with `settings` whose bytes count into `traffic`. Connects when it is first used.
    pub fn new(settings: &configs::log::Log, traffic: Arc<traffic::Traffic>) -> Self {
        let pool = Arc::new(connection::Pool::new(settings.address, traffic));
        Self { pool, timeout: time::Duration::from_millis(settings.append_ms) }
    }

    /// Sends `request` and reads its answer within `limit`, on a kept connection if one is idle.
    ///
    /// # Errors
    ///
    /// Whatever kept the answer away, whole or in part.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: time::Duration,
    ) -> Result<Answer, Error> {
        let mut request = request;
        if let Some(sender) = self.pool.reuse().await {
            match self.send(sender, request, limit).await? {
                Sent::Answered(answer) => return Ok(answer),
                Sent::Unsent(returned, _) => request = returned,
            }
        }
        let connect = tokio::time::timeout(self.timeout, self.pool.connect());
        let sender = connect.await.map_err(|_| Error::ConnectTimeout)??;
        match self.send(sender, request, limit).await? {
            Sent::Answered(answer) => Ok(answer),
            Sent::Unsent(_, error) => Err(connection::Error::from(error).into()),
        }
    }

    async fn send(
        &self,
        mut sender: connection::Sender,
        request: Request<Full<Bytes>>,
        limit: time::Duration,
    ) -> Result<Sent, Error> {
        self.pool.count();
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
        let sent = tokio::time::timeout(limit, exchange).await;
        let sent = sent.map_err(|_| Error::AnswerTimeout)??;
        if matches!(sent, Sent::Answered(_)) {
            self.pool.keep(sender);
        }
        Ok(sent)
    }

    /// Longest a request may take, its wait for a record not counted.
    pub const fn timeout(&self) -> time::Duration {
        self.timeout
    }

    /// A request to the service, which gives the connection its name.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        let host = self.pool.address().to_string();
        Request::builder().method(method).uri(path).header(header::HOST, host)
    }
}

/// What became of a request.
enum Sent {
    /// The service answered.
    Answered(Answer),
    /// No byte of the request was sent, because the connection had been closed.
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
        most: u32,
        wait: time::Duration,
    ) -> Result<logs::Batch, Error> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}?from={from}&most={most}&wait_ms={wait_ms}");
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

    /// How long the service asks to wait.
    pub fn retry_after(&self) -> Option<time::Duration> {
        let value = self.head.headers.get(header::RETRY_AFTER)?;
        let seconds = value.to_str().ok()?.parse().ok()?;
        Some(time::Duration::from_secs(seconds))
    }

    /// The epoch that the header `name` tells; 0 when there is none.
    ///
    /// # Errors
    ///
    /// The header holds something else.
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
    let collected = Limited::new(body, BATCH_BYTES).collect().await.map_err(Error::Answer)?;
    Ok(Answer { head, body: collected.to_bytes() })
}
