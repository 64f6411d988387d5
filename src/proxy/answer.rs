//! Answers of the local upstream, and whether they are believed.
//!
//! An upstream may send bytes that belong to no request, or the answer to an earlier request, late
//! or once more. Nothing of an answer can be read before it is known that it belongs to the request
//! that was sent: neither its status nor what it says of the call or of the upstream.

use http::header;
use hyper::body::{Body, Incoming};
use hyper::ext;
use prometheus_client::metrics::counter;

use crate::proxy::dialect;

#[cfg(test)]
mod tests;

/// Highest status of HTTP.
const MAX_STATUS: u16 = 599;

/// Counts of the answers that were not believed.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Answers with the id of another request, or without one where upstreams echo it.
    pub foreign: counter::Counter,
    /// Answers that are no complete answer of an upstream: not signed, merged with a cut one,
    /// without a marked end, or with a status that is invalid or that they don't confirm.
    pub malformed: counter::Counter,
}

/// The request to which an answer must belong.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// The header names of the upstream.
    pub dialect: &'a dialect::Dialect,
    /// Method of the request.
    pub method: &'a http::Method,
    /// Id of the request, if it has one.
    pub id: Option<&'a header::HeaderValue>,
}

/// An answer as it was received, of which nothing can be read but by [`Unverified::verify`].
#[derive(Debug)]
pub struct Unverified(http::Response<Incoming>);

/// An answer that belongs to the request that was sent.
#[derive(Debug)]
pub enum Verified {
    /// The upstream has not run the request and never will.
    NotRun(http::Response<Incoming>, NotRun),
    /// The upstream ran the request.
    Ran(http::Response<Incoming>),
    /// The upstream may have run the request, and the status would tell callers that it has not.
    /// The answer is not passed on.
    Unmarked(http::Response<Incoming>),
}

/// The word of the upstream, in its answer to a request, that it has not run the request.
#[derive(Debug)]
pub struct NotRun(());

/// Why an answer is not believed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Mismatch {
    /// It has the id of another request, or no id where upstreams echo it.
    #[error("foreign-id")]
    Foreign,
    /// Its head, or its body, holds the status line of another answer: one of the two was cut, and
    /// they are read as one.
    #[error("merged")]
    Merged,
    /// Its status is none of HTTP.
    #[error("invalid-status")]
    Invalid,
    /// It announces another protocol, which was not asked for.
    #[error("upgraded")]
    Upgraded,
    /// It was not made by the upstream itself.
    #[error("unsigned")]
    Unsigned,
    /// Its head does not end.
    #[error("endless")]
    Endless,
    /// Its end is not marked, so that a part of it looks like the whole.
    #[error("unframed")]
    Unframed,
    /// Its status tells callers that the request was not run, and the upstream doesn't say so.
    #[error("unmarked")]
    Unmarked,
}

/// An answer that is not believed. The request may have run, and its true answer may still come.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the answer is not believed: {mismatch}")]
pub struct Rejected {
    /// Why.
    pub mismatch: Mismatch,
    /// The id that it echoes.
    pub echo: Option<header::HeaderValue>,
    /// Its status; `None` if none was read.
    pub status: Option<http::StatusCode>,
}

impl Rejected {
    /// Bytes whose head does not end.
    pub const fn endless() -> Self {
        Self { mismatch: Mismatch::Endless, echo: None, status: None }
    }

    /// The answer of [`Verified::Unmarked`].
    pub fn unmarked<B>(answer: &http::Response<B>, dialect: &dialect::Dialect) -> Self {
        Self::new(Mismatch::Unmarked, answer, dialect)
    }

    fn new<B>(mismatch: Mismatch, answer: &http::Response<B>, dialect: &dialect::Dialect) -> Self {
        let echo = answer.headers().get(&dialect.id).cloned();
        Self { mismatch, echo, status: Some(answer.status()) }
    }
}

impl Counts {
    /// Counts an answer that was not believed.
    pub fn record(&self, mismatch: Mismatch) {
        match mismatch {
            Mismatch::Foreign => self.foreign.inc(),
            Mismatch::Endless
            | Mismatch::Invalid
            | Mismatch::Merged
            | Mismatch::Upgraded
            | Mismatch::Unsigned
            | Mismatch::Unframed
            | Mismatch::Unmarked => self.malformed.inc(),
        };
    }
}

impl Unverified {
    /// An answer received on a connection to an upstream.
    pub const fn new(answer: http::Response<Incoming>) -> Self {
        Self(answer)
    }

    /// Checks that the answer belongs to the request `expected`, and tells whether that ran.
    ///
    /// # Errors
    ///
    /// The answer is not believed. Its connection must not be used again.
    pub fn verify(self, expected: &Expected<'_>) -> Result<Verified, Rejected> {
        let (Self(answer), dialect) = (self, expected.dialect);
        if let Some(mismatch) = mismatch(&answer, expected) {
            return Err(Rejected::new(mismatch, &answer, dialect));
        }
        Ok(if dialect.is_not_run(answer.status(), answer.headers()) {
            Verified::NotRun(answer, NotRun(()))
        } else if dialect.promises_not_run(answer.status()) {
            Verified::Unmarked(answer)
        } else {
            Verified::Ran(answer)
        })
    }
}

/// Why `answer` can't be the answer to `expected`; `None` if it is.
///
/// An answer that says that the request was not run needs no signature and no marked end, as
/// nothing of it is passed on.
fn mismatch<B: Body>(answer: &http::Response<B>, expected: &Expected<'_>) -> Option<Mismatch> {
    let dialect = expected.dialect;
    if is_foreign(answer.headers(), expected) {
        return Some(Mismatch::Foreign);
    }
    if is_merged(answer, dialect) {
        return Some(Mismatch::Merged);
    }
    // The parser has refused statuses below 100 already.
    if answer.status().as_u16() > MAX_STATUS {
        return Some(Mismatch::Invalid);
    }
    if answer.status().is_informational() {
        return Some(Mismatch::Upgraded);
    }
    if dialect.is_not_run(answer.status(), answer.headers()) {
        return None;
    }
    if !dialect.is_signed(answer.headers()) {
        return Some(Mismatch::Unsigned);
    }
    (!is_framed(expected.method, answer)).then_some(Mismatch::Unframed)
}

/// Whether an answer with the headers `map` is not known to belong to the request. An upstream that
/// signs its answers echoes the id in all of them; another one may leave it out.
fn is_foreign(map: &header::HeaderMap, expected: &Expected<'_>) -> bool {
    let mut echoes = map.get_all(&expected.dialect.id).iter().peekable();
    if echoes.peek().is_none() {
        return expected.id.is_some() && expected.dialect.signature.is_some();
    }
    echoes.any(|echo| Some(echo) != expected.id)
}

/// Whether the head of `answer` holds a second status line. Its status, and the mark of a
/// rejection, may then be those of an answer that was cut before its id.
///
/// The values of headers are searched only where they may say that the request was not run: other
/// answers may name a status line.
fn is_merged<B>(answer: &http::Response<B>, dialect: &dialect::Dialect) -> bool {
    let reason = answer.extensions().get::<ext::ReasonPhrase>();
    if reason.is_some_and(|reason| has_status_line(reason.as_bytes())) {
        return true;
    }
    let map = answer.headers();
    let may_say_not_run =
        map.contains_key(&dialect.not_run) || dialect.is_not_run(answer.status(), map);
    may_say_not_run && map.values().any(|value| has_status_line(value.as_bytes()))
}

/// Whether `text` contains the begin of a status line: `HTTP/1.1 200`.
pub fn has_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    text.windows(VERSION.len() + 5).any(|window| {
        let line = window.strip_prefix(VERSION);
        line.is_some_and(|line| {
            line[0].is_ascii_digit() && line[1] == b' ' && line[2..].iter().all(u8::is_ascii_digit)
        })
    })
}

/// Whether the answer's end is marked: by its length, by chunks, or because it has no body.
fn is_framed<B: Body>(method: &http::Method, answer: &http::Response<B>) -> bool {
    method == http::Method::HEAD
        || answer.body().is_end_stream()
        || answer.body().size_hint().exact().is_some()
        || is_chunked(answer.headers())
}

/// Whether the body comes in chunks, whose last one marks its end. After any other transfer coding
/// it ends with its connection.
fn is_chunked(map: &header::HeaderMap) -> bool {
    let codings = map.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let codings = codings.and_then(|codings| codings.to_str().ok()).unwrap_or_default();
    codings.rsplit(',').next().is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}
