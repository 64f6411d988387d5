//! Answers of the operators' port.

use bytes::Bytes;
use http::header;
use http_body_util::Full;
use serde::Serialize;

/// An answer.
pub type Reply = http::Response<Full<Bytes>>;

/// Media type of [`text`] answers to scrapes.
pub const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

const JSON: &str = "application/json";

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The body is not the JSON that the path takes.
    #[error("the body is not the JSON that this path takes")]
    Body,
    /// Too many reports on the whole mesh are being made.
    #[error("other reports on the whole mesh are being made; try again")]
    Busy,
    /// The path does not take the method.
    #[error("this path does not take this method")]
    Method,
    /// There is no such path.
    #[error("there is no such path")]
    Path,
    /// Only the upstream's own host may announce.
    #[error("an upstream announces itself from its own host only")]
    Peer,
}

impl Refusal {
    /// The status that says so.
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

/// An error as JSON: a code for programs and a sentence for people.
#[derive(Serialize)]
struct Problem<E> {
    error: E,
    message: String,
}

/// The answer to a refused request.
pub fn refuse(refusal: Refusal) -> Reply {
    problem(refusal.status(), refusal)
}

/// An answer with `status` that names `error`.
pub fn problem<E: Serialize + std::error::Error>(status: http::StatusCode, error: E) -> Reply {
    let message = error.to_string();
    json(status, &Problem { error, message })
}

/// An answer with `body` as JSON.
pub fn json<T: Serialize>(status: http::StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => build(status, JSON, bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "a report can't be written as JSON");
            build(http::StatusCode::INTERNAL_SERVER_ERROR, JSON, Bytes::new())
        }
    }
}

/// An answer with `body` as text of the media type `media`.
pub fn text(media: &'static str, body: String) -> Reply {
    build(http::StatusCode::OK, media, body.into())
}

/// An answer without a body.
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
