//! Calls between nodes: how they are written to HTTP/2 and read from it.

use http::header;
use tokio::time;

use crate::admit;
use crate::claim;
use crate::clock;
use crate::host;
use crate::proxy::call_spec;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::links;
use crate::proxy::refuse;
use crate::proxy::request_head;
use crate::proxy::upload;
use crate::retry;

/// Authority of a call whose caller named no host.
const NO_HOST: &str = "none.invalid";

/// Connections tried when they close before anything is sent.
const TRIES: u8 = 3;

/// An answer of another node.
#[derive(Debug)]
pub struct Answer {
    /// Load of its upstream.
    pub load: Option<admit::Load>,
    /// How long the upstream took.
    pub ran: Option<call_spec::Ran>,
    /// The upstream's answer, or why there is none.
    pub result: Result<http::Response<hyper::body::Incoming>, refuse::Refusal>,
}

impl From<refuse::Refusal> for Answer {
    fn from(refusal: refuse::Refusal) -> Self {
        Self { load: None, ran: None, result: Err(refusal) }
    }
}

/// Turns the request of an attempt into one for another node.
pub fn address(
    request: &mut http::Request<upload::Upload>,
    host: Option<&http::uri::Authority>,
    order: &call_spec::Order<'_>,
    now: clock::Instant,
) -> Result<(), refuse::Refusal> {
    const MALFORMED: refuse::Refusal = refuse::Refusal::not_run(retry::Reason::Malformed);
    let mut uri = std::mem::take(request.uri_mut()).into_parts();
    uri.scheme = Some(http::uri::Scheme::HTTP);
    let none = || http::uri::Authority::from_static(NO_HOST);
    uri.authority = Some(host.cloned().unwrap_or_else(none));
    *request.uri_mut() = http::Uri::from_parts(uri).map_err(|_| MALFORMED)?;
    *request.version_mut() = http::Version::HTTP_2;
    let map = request.headers_mut();
    let text = |t: &str| header::HeaderValue::from_str(t).map_err(|_| MALFORMED);
    map.insert(headers::SERVICE, text(order.service)?);
    if let Some(class) = order.class {
        map.insert(headers::CLASS, text(class)?);
    }
    map.insert(headers::KIND, text(order.kind)?);
    map.insert(headers::WEIGHT, header::HeaderValue::from(order.weight));
    if order.inner {
        map.insert(headers::INNER, header::HeaderValue::from_static("1"));
    }
    map.insert(headers::DEADLINE, left(order.deadline, now));
    if order.target < order.deadline {
        map.insert(headers::TARGET, left(order.target, now));
    }
    Ok(())
}

/// Milliseconds from `now` until `until`.
fn left(until: clock::Instant, now: clock::Instant) -> header::HeaderValue {
    let millis = u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
    let mut left = header::HeaderValue::from(millis);
    // It is new each time: it would only push others out of the table of known headers.
    left.set_sensitive(true);
    left
}

/// Sets the header that names the host to an upstream.
pub fn name_host(request: &mut http::Request<upload::Upload>, host: Option<&http::uri::Authority>) {
    let host = host.map_or("", http::uri::Authority::as_str);
    let value = header::HeaderValue::from_str(host);
    // An authority has only characters that a header may have.
    let value = value.unwrap_or(header::HeaderValue::from_static(""));
    request.headers_mut().insert(header::HOST, value);
}

/// The request for the upstream in a call of another node.
pub fn unwrap(
    mut parts: http::request::Parts,
    upload: upload::Upload,
) -> Result<http::Request<upload::Upload>, refuse::Refusal> {
    const MALFORMED: refuse::Refusal = refuse::Refusal::not_run(retry::Reason::Malformed);
    let host = parts.uri.authority().filter(|a| a.as_str() != NO_HOST).cloned();
    for name in [
        headers::SERVICE,
        headers::CLASS,
        headers::KIND,
        headers::WEIGHT,
        headers::INNER,
        headers::TARGET,
        header::CONTENT_LENGTH.as_str(),
    ] {
        parts.headers.remove(name);
    }
    let path = parts.uri.path_and_query().cloned().ok_or(MALFORMED)?;
    parts.uri = http::Uri::from(path);
    parts.version = http::Version::HTTP_11;
    let mut request = http::Request::from_parts(parts, upload);
    name_host(&mut request, host.as_ref());
    Ok(request)
}

/// Sends a call to the node of `host` and reads the head of its answer.
pub async fn call(
    links: &links::Links,
    host: host::HostId,
    mut request: http::Request<upload::Upload>,
    end: time::Instant,
) -> Answer {
    for _ in 0..TRIES {
        let link = time::timeout_at(end, links.get(host)).await;
        let mut link = match link {
            Err(_) => return refuse::Refusal::not_run(retry::Reason::TooLate).into(),
            Ok(Err(error)) => {
                log::debug!("no connection to {host}: {error}");
                return refuse::Refusal::not_run(retry::Reason::Unreachable).into();
            }
            Ok(Ok(link)) => link,
        };
        let answer = time::timeout_at(end, link.try_send_request(request)).await;
        match answer {
            Err(_) => return refuse::Refusal::unknown(retry::Reason::Timeout).into(),
            Ok(Ok(answer)) => return read(answer),
            Ok(Err(mut failed)) => match failed.take_message() {
                // Nothing was sent: the connection closed in between.
                Some(unsent) => request = unsent,
                None => return lost(host, failed.error()).into(),
            },
        }
    }
    refuse::Refusal::not_run(retry::Reason::Unreachable).into()
}

/// What is known of a call whose connection or stream failed.
fn lost(host: host::HostId, error: &hyper::Error) -> refuse::Refusal {
    log::debug!("call lost on the way to {host}: {error}");
    refuse::Refusal::unknown(retry::Reason::Cut)
}

fn read(mut answer: http::Response<hyper::body::Incoming>) -> Answer {
    let map = answer.headers_mut();
    let load = map.remove(headers::LOAD).and_then(|v| v.to_str().ok()?.parse().ok());
    let ran = map.remove(headers::RAN_US).and_then(|v| v.to_str().ok()?.parse().ok());
    let ran = ran.map(|micros| call_spec::Ran(time::Duration::from_micros(micros)));
    let outcome = map.remove(headers::OUTCOME);
    let result = match outcome.as_ref().map(header::HeaderValue::as_bytes) {
        Some(o) if o == headers::RAN.as_bytes() => Ok(answer),
        Some(o) if o == headers::NOT_RUN.as_bytes() => Err(refusal(&answer, true)),
        _ => Err(refusal(&answer, false)),
    };
    Answer { load, ran, result }
}

fn refusal<B>(answer: &http::Response<B>, proven: bool) -> refuse::Refusal {
    let map = answer.headers();
    let reason = map.get(headers::REASON).and_then(|v| v.to_str().ok()?.parse().ok());
    let reason = reason.unwrap_or(retry::Reason::Malformed);
    let refusal =
        if proven { refuse::Refusal::not_run(reason) } else { refuse::Refusal::unknown(reason) };
    match request_head::number(map, headers::RETRY) {
        Ok(Some(millis)) => refusal.again(time::Duration::from_millis(millis)),
        Ok(None) | Err(_) => refusal,
    }
}

/// Path of requests for a held answer.
const HELD: &str = "/held/";

/// The request for the answer of the call `name`.
pub fn ask(
    name: held_answers::Name,
    print: held_answers::Print,
    deadline: clock::Instant,
    now: clock::Instant,
) -> Option<http::Request<upload::Upload>> {
    let key = u128::from_le_bytes(name.key.0);
    let uri = format!("http://{NO_HOST}{HELD}{key:032x}/{:016x}/{print}", name.number);
    let left = left(deadline, now);
    let request = http::Request::builder().uri(uri).header(headers::DEADLINE, left);
    request.body(upload::Upload::Kept(None)).ok()
}

/// The call that a request made by [`ask()`] is about.
pub fn asked(path: &str) -> Option<(held_answers::Name, held_answers::Print)> {
    let mut parts = path.strip_prefix(HELD)?.splitn(3, '/');
    let key = u128::from_str_radix(parts.next()?, 16).ok()?;
    let number = u64::from_str_radix(parts.next()?, 16).ok()?;
    let print = held_answers::Print::from_hex(parts.next()?).ok()?;
    Some((held_answers::Name { key: claim::Key(key.to_le_bytes()), number }, print))
}
