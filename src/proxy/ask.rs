//! The head of a caller's request, read and checked.

use std::time;

use http::header;

use crate::proxy::dialect;
use crate::proxy::headers;
use crate::proxy::refuse;
use crate::retry;

/// Headers that concern one connection only, beside those that `Connection` names.
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

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Method.
    pub method: http::Method,
    /// Path with query.
    pub path: http::uri::PathAndQuery,
    /// Host that the caller named, with its port.
    pub host: Option<http::uri::Authority>,
    /// Headers that go to the upstream.
    pub headers: header::HeaderMap,
    /// Time until the caller gives up, if it named one.
    pub left: Option<time::Duration>,
    /// How many calls of the mesh led to this one.
    pub depth: u8,
    /// Attempt number of the call that led to this one, 1 when none did.
    pub outer: u8,
    /// The caller's idempotency key.
    pub key: Option<header::HeaderValue>,
    /// Identity of the call.
    pub id: header::HeaderValue,
}

impl Ask {
    /// Reads a head; `id` makes an identity when the caller sent none.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::Malformed`] when the head makes no sense or could be read in two ways,
    /// [`retry::Reason::TooLarge`] when its path is longer than `most` bytes.
    pub fn read(
        mut parts: http::request::Parts,
        most: usize,
        dialect: &dialect::Dialect,
        id: impl FnOnce() -> header::HeaderValue,
    ) -> Result<Self, refuse::Refusal> {
        const TOO_LONG: refuse::Refusal = refuse::Refusal {
            status: http::StatusCode::URI_TOO_LONG,
            ..refuse::Refusal::not_run(retry::Reason::TooLarge)
        };
        const MALFORMED: refuse::Refusal = refuse::Refusal::not_run(retry::Reason::Malformed);
        let map = &mut parts.headers;
        let path = parts.uri.path_and_query().cloned().ok_or(MALFORMED)?;
        if parts.method == http::Method::CONNECT {
            return Err(MALFORMED);
        }
        if path.as_str().len() > most {
            return Err(TOO_LONG);
        }
        let host = host(&parts.uri, map, parts.version).ok_or(MALFORMED)?;
        let left = number(map, dialect.remaining.as_str())?.map(time::Duration::from_millis);
        let depth = small(number(map, headers::DEPTH)?.unwrap_or(0));
        let outer = small(number(map, headers::ATTEMPT)?.unwrap_or(1));
        let key = single(map, headers::IDEMPOTENCY_KEY).ok_or(MALFORMED)?;
        let known = single(map, dialect.id.as_str()).ok_or(MALFORMED)?;
        strip(map);
        map.remove(&dialect.remaining);
        map.remove(header::HOST);
        map.remove(header::CONTENT_LENGTH);
        let mut id = known.unwrap_or_else(id);
        // Each call has its own: it would only push others out of the tables of HTTP/2.
        id.set_sensitive(true);
        map.insert(&dialect.id, id.clone());
        let headers = parts.headers;
        Ok(Self { method: parts.method, path, host, headers, left, depth, outer, key, id })
    }
}

/// Removes what concerns one connection only, and what only nodes may say.
pub fn strip(map: &mut header::HeaderMap) {
    if map.contains_key(header::CONNECTION) {
        for name in named(map) {
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

/// The headers that `Connection` names.
fn named(map: &header::HeaderMap) -> Vec<header::HeaderName> {
    let values = map.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).filter_map(|n| n.trim().parse().ok()).collect()
}

/// The one host that the request names; `None` when it names two, or none where it must.
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

/// The value of a header that may stand once: the outer `None` says that it stands twice.
fn single(map: &header::HeaderMap, name: &str) -> Option<Option<header::HeaderValue>> {
    let mut values = map.get_all(name).iter();
    let first = values.next().cloned();
    if values.next().is_some() { None } else { Some(first) }
}

/// The number in a header.
///
/// # Errors
///
/// [`retry::Reason::Malformed`] when it is no number.
pub fn number(map: &header::HeaderMap, name: &str) -> Result<Option<u64>, refuse::Refusal> {
    let Some(value) = map.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|v| v.parse().ok());
    number.map(Some).ok_or(refuse::Refusal::not_run(retry::Reason::Malformed))
}

/// `number`, or the largest byte.
fn small(number: u64) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}
