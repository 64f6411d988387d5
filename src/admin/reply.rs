//! HTTP answers of the operators' port.

use bytes::Bytes;
use http::header;
use http_body_util::Full;
use serde::Serialize;

/// An HTTP answer.
pub type Reply = http::Response<Full<Bytes>>;

/// Media type of the [`text`] answer to a scrape.
pub const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

const JSON: &str = "application/json";

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The body is not the JSON that the path requires.
    #[error("the body is not the JSON that this path takes")]
    Body,
    /// Too many reports on the whole mesh are being created.
    #[error("other reports on the whole mesh are being made; try again")]
    Busy,
    /// The path does not support the method.
    #[error("this path does not take this method")]
    Method,
    /// The path does not exist.
    #[error("there is no such path")]
    Path,
    /// The peer is not on the upstream's own host and must not announce it.
    #[error("an upstream announces itself from its own host only")]
    Peer,
}

impl Refusal {
    /// Returns the status code of the answer.
    pub const fn status(self) -> http::StatusCode {
        match self {
            Refusal::Body => http::StatusCode::BAD_REQUEST,
            Refusal::Busy => http::StatusCode::TOO_MANY_REQUESTS,
            Refusal::Method => http::StatusCode::METHOD_NOT_ALLOWED,
            Refusal::Path => http::StatusCode::NOT_FOUND,
            Refusal::Peer => http::StatusCode::FORBIDDEN,
        }
    }
}

/// The JSON of an error: a code for programs and a sentence for people.
#[derive(Serialize)]
struct Problem<E> {
    error: E,
    message: String,
}

/// Returns the answer to a refused request.
pub fn refuse(refusal: Refusal) -> Reply {
    problem(refusal.status(), refusal)
}

/// Returns an answer with `status` that describes `error`.
pub fn problem<E: Serialize + std::error::Error>(status: http::StatusCode, error: E) -> Reply {
    let message = error.to_string();
    json(status, &Problem { error, message })
}

/// Returns an answer with `body` as JSON.
pub fn json<T: Serialize>(status: http::StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => build(status, JSON, bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "cannot encode a report as JSON");
            build(http::StatusCode::INTERNAL_SERVER_ERROR, JSON, Bytes::new())
        }
    }
}

/// Returns an answer with the text `body` of media type `media`.
pub fn text(media: &'static str, body: String) -> Reply {
    build(http::StatusCode::OK, media, body.into())
}

/// Returns an answer without a body.
pub fn empty() -> Reply {
    build(http::StatusCode::NO_CONTENT, JSON, Bytes::new())
}

fn build(status: http::StatusCode, media: &'static str, body: Bytes) -> Reply {
    let mut reply = Reply::new(Full::new(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(media));
    if status == http::StatusCode::TOO_MANY_REQUESTS {
        let second = header::HeaderValue::from_static("1");
        reply.headers_mut().insert(header::RETRY_AFTER, second);
    }
    reply
}
