//! The answer to a call that has none of its upstream.

use std::time;

use bytes::Bytes;
use http::header;

use crate::proxy::body;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::retry;

/// The answer that tells `refusal`, with the reason's name as its body.
pub fn answer(refusal: &refuse::Refusal, verbose: bool) -> http::Response<body::Reply> {
    let reason = refusal.outcome.reason().map_or("", retry::Reason::as_str);
    let mut answer = http::Response::new(body::Reply::whole(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = refusal.status;
    let map = answer.headers_mut();
    if verbose {
        let outcome = refuse::name(refusal.outcome);
        map.insert(headers::OUTCOME, header::HeaderValue::from_static(outcome));
        map.insert(headers::REASON, header::HeaderValue::from_static(reason));
    }
    map.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/plain"));
    if let Some(after) = refusal.retry_after {
        let whole = || header::HeaderValue::from(seconds(after));
        let exact = (!verbose).then(|| fraction(after)).flatten();
        map.insert(header::RETRY_AFTER, exact.unwrap_or_else(whole));
    }
    answer
}

/// Whole seconds, rounded up, at least one: the unit of `Retry-After`.
fn seconds(after: time::Duration) -> u64 {
    (after.as_secs() + u64::from(after.subsec_nanos() > 0)).max(1)
}

/// Seconds with their fraction, for callers that read it.
fn fraction(after: time::Duration) -> Option<header::HeaderValue> {
    header::HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64())).ok()
}
