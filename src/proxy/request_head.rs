//! Parses and checks the head of a caller's request.

use std::time;

use http::header;

use crate::proxy::dialect;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::retry;

/// Hop-by-hop headers, besides those listed in `Connection`.
const HOP_BY_HOP: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The HTTP method.
    pub method: http::Method,
    /// The path with its query.
    pub path: http::uri::PathAndQuery,
    /// The requested host, with its port.
    pub host: Option<http::uri::Authority>,
    /// Headers that are sent to the upstream.
    pub headers: header::HeaderMap,
    /// Time remaining until the caller gives up; `None` if it sent none.
    pub remaining: Option<time::Duration>,
    /// Number of calls of the mesh that led to this one.
    pub depth: u8,
    /// Attempt number of the call that led to this one; 1 if there is none.
    pub outer_attempt: u8,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<header::HeaderValue>,
    /// The request id.
    pub id: header::HeaderValue,
}

impl RequestHead {
    /// Parses a head; `id` makes a request id if the caller sent none.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::Malformed`] if the head is invalid or ambiguous,
    /// [`retry::Reason::TooLarge`] if its path is longer than `max_path` bytes.
    pub fn read(
        mut parts: http::request::Parts,
        max_path: usize,
        dialect: &dialect::Dialect,
        id: impl FnOnce() -> header::HeaderValue,
    ) -> Result<Self, refuse::Cause> {
        const TOO_LONG: refuse::Cause =
            refuse::Cause::new(retry::Reason::TooLarge).status(http::StatusCode::URI_TOO_LONG);
        const MALFORMED: refuse::Cause = refuse::Cause::new(retry::Reason::Malformed);
        let map = &mut parts.headers;
        let path = parts.uri.path_and_query().cloned().ok_or(MALFORMED)?;
        if parts.method == http::Method::CONNECT {
            return Err(MALFORMED);
        }
        if path.as_str().len() > max_path {
            return Err(TOO_LONG);
        }
        let host = host(&parts.uri, map, parts.version).ok_or(MALFORMED)?;
        let remaining = number(map, dialect.remaining.as_str())?.map(time::Duration::from_millis);
        let depth = saturating_u8(number(map, headers::DEPTH)?.unwrap_or(0));
        let outer_attempt = saturating_u8(number(map, headers::ATTEMPT)?.unwrap_or(1));
        let idempotency_key = single(map, headers::IDEMPOTENCY_KEY).ok_or(MALFORMED)?;
        let sent_id = single(map, dialect.id.as_str()).ok_or(MALFORMED)?;
        strip(map);
        map.remove(&dialect.remaining);
        map.remove(header::HOST);
        map.remove(header::CONTENT_LENGTH);
        let mut id = sent_id.unwrap_or_else(id);
        // Each call has its own id, which would only evict other headers from the tables of HPACK.
        id.set_sensitive(true);
        map.insert(&dialect.id, id.clone());
        let headers = parts.headers;
        Ok(Self {
            method: parts.method,
            path,
            host,
            headers,
            remaining,
            depth,
            outer_attempt,
            idempotency_key,
            id,
        })
    }
}

/// Removes the hop-by-hop headers, and those that only nodes may send.
pub fn strip(map: &mut header::HeaderMap) {
    if map.contains_key(header::CONNECTION) {
        for name in connection_headers(map) {
            map.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        map.remove(name);
    }
    map.remove(KEEP_ALIVE);
    map.remove(PROXY_CONNECTION);
    let ours = |n: &&header::HeaderName| n.as_str().starts_with(headers::PREFIX);
    while let Some(name) = map.keys().find(ours).cloned() {
        map.remove(name);
    }
}

/// The headers listed in `Connection`.
fn connection_headers(map: &header::HeaderMap) -> Vec<header::HeaderName> {
    let values = map.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).filter_map(|n| n.trim().parse().ok()).collect()
}

/// The requested host. The outer `None` marks an invalid request: two hosts, or none in HTTP/1.1.
fn host(
    uri: &http::Uri,
    map: &header::HeaderMap,
    version: http::Version,
) -> Option<Option<http::uri::Authority>> {
    let named = single(map, header::HOST.as_str())?;
    if let Some(authority) = uri.authority() {
        return Some(Some(authority.clone()));
    }
    match named {
        Some(host) => http::uri::Authority::try_from(host.as_bytes()).ok().map(Some),
        None => (version == http::Version::HTTP_10).then_some(None),
    }
}

/// The value of a header that may occur only once; the outer `None` means that it is repeated.
fn single(map: &header::HeaderMap, name: &str) -> Option<Option<header::HeaderValue>> {
    let mut values = map.get_all(name).iter();
    let first = values.next().cloned();
    if values.next().is_some() { None } else { Some(first) }
}

/// The number in a header; `None` if the header is absent.
///
/// # Errors
///
/// [`retry::Reason::Malformed`] if the value is not a number.
pub fn number(map: &header::HeaderMap, name: &str) -> Result<Option<u64>, refuse::Cause> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|v| v.parse().ok());
    number.map(Some).ok_or(refuse::Cause::new(retry::Reason::Malformed))
}

/// `number`, or [`u8::MAX`] if it is larger.
fn saturating_u8(number: u64) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}
