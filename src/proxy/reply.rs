//! The answer to the caller of a call that its upstream did not answer.

use std::time;

use bytes::Bytes;
use http::header;

use crate::proxy::body;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::retry;

/// The answer for `refusal`, with the name of its reason as the body. `verbose` adds the project's
/// own headers and rounds `Retry-After` to whole seconds.
pub fn answer(refusal: &refuse::Refusal, verbose: bool) -> http::Response<body::Reply> {
    let reason = refusal.outcome.reason().map_or("", retry::Reason::as_str);
    let mut answer =
        http::Response::new(body::Reply::buffered(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = refusal.status;
    let map = answer.headers_mut();
    if verbose {
        let outcome = refuse::name(refusal.outcome);
        map.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome));
        map.insert(headers::REASON, header::HeaderValue::from_static(reason));
    }
    map.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    if refusal.status == http::StatusCode::UNAUTHORIZED {
        let scheme = header::HeaderValue::from_static(headers::BEARER);
        map.insert(header::WWW_AUTHENTICATE, scheme);
    }
    if let Some(after) = refusal.retry_after {
        let whole = || header::HeaderValue::from(seconds(after));
        let exact = (!verbose).then(|| fraction(after)).flatten();
        map.insert(header::RETRY_AFTER, exact.unwrap_or_else(whole));
    }
    answer
}

/// Whole seconds, rounded up, at least 1, as the standard requires for `Retry-After`.
fn seconds(after: time::Duration) -> u64 {
    (after.as_secs() + u64::from(after.subsec_nanos() > 0)).max(1)
}

/// Seconds with a fraction, for callers that support it.
fn fraction(after: time::Duration) -> Option<header::HeaderValue> {
    header::HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}
