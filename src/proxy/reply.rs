//! The answer to the caller of a call that its upstream did not answer.

use std::time;

use bytes::{Bytes, BytesMut};
use http::header;

use crate::proxy::body;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::retry;

/// Size of the head and body of a usual refusal.
const ENCODED_BYTES: usize = 512;

/// The answer for `refusal`, with the name of its reason as the body. `verbose` adds the project's
/// own headers and rounds `Retry-After` to whole seconds.
pub fn answer(refusal: &refuse::Refusal, verbose: bool) -> http::Response<body::Reply> {
    let reason = refusal.outcome().reason().map_or("", retry::Reason::as_str);
    let mut answer =
        http::Response::new(body::Reply::buffered(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = refusal.status();
    let map = answer.headers_mut();
    if verbose {
        let outcome = refuse::name(refusal.outcome());
        map.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome));
        map.insert(headers::REASON, header::HeaderValue::from_static(reason));
    }
    map.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    if refusal.status() == http::StatusCode::UNAUTHORIZED {
        let scheme = header::HeaderValue::from_static(headers::BEARER);
        map.insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(after) = refusal.retry_after() {
        let whole = || header::HeaderValue::from(seconds(after));
        let exact = (!verbose).then(|| fraction(after)).flatten();
        map.insert(header::RETRY_AFTER, exact.unwrap_or_else(whole));
    }
    answer
}

/// `answer` as HTTP/1.1 bytes, for a connection on which hyper doesn't serve the request. `head_only`
/// leaves the body out, as in the answer to a HEAD request. `close` tells the caller that the
/// connection ends.
pub fn encode(
    answer: &http::Response<body::Reply>,
    content: &str,
    head_only: bool,
    close: bool,
) -> Bytes {
    let mut bytes = BytesMut::with_capacity(ENCODED_BYTES);
    bytes.extend_from_slice(b"HTTP/1.1 ");
    bytes.extend_from_slice(answer.status().as_str().as_bytes());
    bytes.extend_from_slice(b" ");
    bytes.extend_from_slice(answer.status().canonical_reason().unwrap_or_default().as_bytes());
    for (name, value) in answer.headers() {
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
    }
    if close {
        bytes.extend_from_slice(b"\r\nconnection: close");
    }
    bytes.extend_from_slice(b"\r\ncontent-length: ");
    bytes.extend_from_slice(content.len().to_string().as_bytes());
    bytes.extend_from_slice(b"\r\n\r\n");
    if !head_only {
        bytes.extend_from_slice(content.as_bytes());
    }
    bytes.freeze()
}

/// Whole seconds, rounded up, at least 1, as the standard requires for `Retry-After`.
fn seconds(after: time::Duration) -> u64 {
    (after.as_secs() + u64::from(after.subsec_nanos() > 0)).max(1)
}

/// Seconds with a fraction, for callers that support it.
fn fraction(after: time::Duration) -> Option<header::HeaderValue> {
    header::HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}
