//! Calls between nodes: their encoding as HTTP/2 requests and answers.

use http::header;
use tokio::time;

use crate::admit;
use crate::claim;
use crate::clock;
use crate::host;
use crate::notice;
use crate::proxy::call_spec;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::links;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::request_head;
use crate::proxy::upload;
use crate::retry;

#[cfg(test)]
mod tests;

/// Authority of a call without a host.
const NO_HOST: &str = "none.invalid";

/// Maximum number of connections tried if they close before anything was sent.
const MAX_CONNECTION_TRIES: u8 = 3;

/// The word of another node, in its answer to a request, that the request was not run.
#[derive(Debug)]
pub struct NotRun(());

/// The answer of another node.
#[derive(Debug)]
pub struct Answer {
    /// Whether the node sent the head of a response, with or without a load.
    pub responded: bool,
    /// Load of the node's upstream.
    pub load: Option<admit::Load>,
    /// What the upstream says of itself.
    pub notice: Option<notice::Relayed>,
    /// Run time at the upstream.
    pub ran: Option<call_spec::RunTime>,
    /// Time for which the node held the call; `None` if it sent none.
    pub held: Option<time::Duration>,
    /// Whether the call gave up the wait for a connection before `connect_ms` had passed, so that
    /// the host may be live.
    pub given_up: bool,
    /// The upstream's answer, or why there is none.
    pub result: Result<http::Response<hyper::body::Incoming>, refuse::Refusal>,
}

impl Answer {
    /// Bounds the run time by `elapsed`, the time of the attempt. The other node may send any
    /// number, and the mean run time of the kind follows it.
    pub fn bound_ran(&mut self, elapsed: time::Duration) {
        self.ran = self.ran.map(|ran| call_spec::RunTime(ran.0.min(elapsed)));
    }
}

impl From<refuse::Refusal> for Answer {
    fn from(refusal: refuse::Refusal) -> Self {
        Self {
            responded: false,
            load: None,
            notice: None,
            ran: None,
            held: None,
            given_up: false,
            result: Err(refusal),
        }
    }
}

/// Turns the request of an attempt into a request to another node.
pub fn wrap(
    request: &mut http::Request<upload::Upload>,
    host: Option<&http::uri::Authority>,
    spec: &call_spec::CallSpec<'_>,
    now: clock::Instant,
) -> Result<(), refuse::Cause> {
    const MALFORMED: refuse::Cause = refuse::Cause::new(retry::Reason::Malformed);
    let mut uri = std::mem::take(request.uri_mut()).into_parts();
    uri.scheme = Some(http::uri::Scheme::HTTP);
    let none = || http::uri::Authority::from_static(NO_HOST);
    uri.authority = Some(host.cloned().unwrap_or_else(none));
    *request.uri_mut() = http::Uri::from_parts(uri).map_err(|_| MALFORMED)?;
    *request.version_mut() = http::Version::HTTP_2;
    let map = request.headers_mut();
    let text = |t: &str| header::HeaderValue::from_bytes(t.as_bytes()).map_err(|_| MALFORMED);
    map.insert(headers::SERVICE, text(spec.service)?);
    if let Some(class) = spec.class {
        map.insert(headers::CLASS, text(class)?);
    }
    map.insert(headers::KIND, text(spec.kind)?);
    map.insert(headers::WEIGHT, header::HeaderValue::from(spec.weight));
    if let Some(organisation) = spec.organisation {
        map.insert(headers::ORGANISATION, organisation.clone());
    }
    if spec.nested {
        map.insert(headers::INNER, header::HeaderValue::from_static("1"));
    }
    if spec.returning {
        map.insert(headers::RETURNING, header::HeaderValue::from_static("1"));
    }
    map.insert(headers::DEADLINE, remaining(spec.deadline, now));
    if spec.target < spec.deadline {
        map.insert(headers::TARGET, remaining(spec.target, now));
    }
    Ok(())
}

/// Milliseconds from `now` until `until`, as a header value.
fn remaining(until: clock::Instant, now: clock::Instant) -> header::HeaderValue {
    let millis = u64::try_from(until.since(now).as_millis()).unwrap_or(u64::MAX);
    let mut remaining = header::HeaderValue::from(millis);
    // The value differs each time and would only evict other headers from the table of HPACK.
    remaining.set_sensitive(true);
    remaining
}

/// Sets the `Host` header of a request to an upstream.
pub fn set_host(request: &mut http::Request<upload::Upload>, host: Option<&http::uri::Authority>) {
    let host = host.map_or("", http::uri::Authority::as_str);
    let value = header::HeaderValue::from_str(host);
    // All characters of an authority are allowed in a header.
    let value = value.unwrap_or(header::HeaderValue::from_static(""));
    request.headers_mut().insert(header::HOST, value);
}

/// Turns the request of another node into a request to the upstream.
pub fn unwrap(
    mut parts: http::request::Parts,
    upload: upload::Upload,
) -> Result<http::Request<upload::Upload>, refuse::Cause> {
    const MALFORMED: refuse::Cause = refuse::Cause::new(retry::Reason::Malformed);
    let host = parts.uri.authority().filter(|a| a.as_str() != NO_HOST).cloned();
    for name in [
        headers::SERVICE,
        headers::CLASS,
        headers::KIND,
        headers::WEIGHT,
        headers::ORGANISATION,
        headers::INNER,
        headers::RETURNING,
        headers::TARGET,
        headers::NOTICE,
        header::CONTENT_LENGTH.as_str(),
    ] {
        parts.headers.remove(name);
    }
    let path = parts.uri.path_and_query().cloned().ok_or(MALFORMED)?;
    parts.uri = http::Uri::from(path);
    parts.version = http::Version::HTTP_11;
    let mut request = http::Request::from_parts(parts, upload);
    set_host(&mut request, host.as_ref());
    Ok(request)
}

/// Sends a request to the node on `host` and reads the head of its answer.
pub async fn call(
    links: &links::Links,
    host: host::HostId,
    request: http::Request<upload::Upload>,
    unsent: proof::Unsent,
    end: time::Instant,
) -> Answer {
    call_within(links, host, request, unsent, (end, None), |_, _| ()).await
}

/// Like [`call()`], until `end`, where the connection is awaited for at most `limit`, if one is given.
/// `resent` is
/// called with the headers of the request and the number of the connection, from 2, before the
/// request is sent again as nothing of it was sent on the connection before.
pub async fn call_within(
    links: &links::Links,
    host: host::HostId,
    mut request: http::Request<upload::Upload>,
    mut unsent: proof::Unsent,
    (end, limit): (time::Instant, Option<time::Duration>),
    resent: impl Fn(&header::HeaderMap, u8),
) -> Answer {
    for connection in 1..=MAX_CONNECTION_TRIES {
        let link = time::timeout_at(end, links.get_within(host, limit)).await;
        let mut link = match link {
            Err(_) => return refuse::Refusal::unsent(unsent, retry::Reason::TooLate).into(),
            Ok(Err(error)) => {
                log::debug!("no connection to {host}: {error}");
                let given_up = matches!(error, links::Error::GivenUp);
                let refusal = refuse::Refusal::unsent(unsent, retry::Reason::Unreachable);
                return Answer { given_up, ..refusal.into() };
            }
            Ok(Ok(link)) => link,
        };
        if connection > 1 {
            resent(request.headers(), connection);
        }
        match time::timeout_at(end, send(&mut link, request, unsent)).await {
            Err(_) => return refuse::Refusal::unknown(retry::Reason::Timeout).into(),
            Ok(Ok(answer)) => return read(answer),
            Ok(Err(Failed::Unsent(returned, token))) => (request, unsent) = (*returned, token),
            Ok(Err(Failed::Lost(error))) => {
                log::debug!("call lost on the way to {host}: {error}");
                return refuse::Refusal::unknown(retry::Reason::Cut).into();
            }
        }
    }
    refuse::Refusal::unsent(unsent, retry::Reason::Unreachable).into()
}

/// Why a request got no answer on a connection.
enum Failed {
    /// Nothing of the request was sent, as the connection was closed in the meantime.
    Unsent(Box<http::Request<upload::Upload>>, proof::Unsent),
    /// The connection or the stream failed.
    Lost(hyper::Error),
}

/// Sends a request on `link`. Uses up `unsent`, which [`Failed::Unsent`] gives back.
async fn send(
    link: &mut links::Sender,
    request: http::Request<upload::Upload>,
    unsent: proof::Unsent,
) -> Result<http::Response<hyper::body::Incoming>, Failed> {
    let answer = link.try_send_request(request).await;
    answer.map_err(|mut failed| match failed.take_message() {
        Some(request) => Failed::Unsent(Box::new(request), unsent),
        None => Failed::Lost(failed.into_error()),
    })
}

fn read(mut answer: http::Response<hyper::body::Incoming>) -> Answer {
    let map = answer.headers_mut();
    let load = map.remove(headers::LOAD).and_then(|v| v.to_str().ok()?.parse().ok());
    let notice = map.remove(headers::NOTICE).and_then(|v| v.to_str().ok()?.parse().ok());
    let ran = map.remove(headers::RAN_US).and_then(|v| v.to_str().ok()?.parse().ok());
    let ran = ran.map(|micros| call_spec::RunTime(time::Duration::from_micros(micros)));
    let held = map.remove(headers::HELD_US).and_then(|v| v.to_str().ok()?.parse().ok());
    let held = held.map(time::Duration::from_micros);
    // Several outcomes may contradict each other; the first of them alone proves nothing.
    let single = map.get_all(headers::OUTCOME).iter().count() == 1;
    let outcome = map.remove(headers::OUTCOME).filter(|_| single);
    let result = match refusal(&answer, outcome.as_ref()) {
        Some(refusal) => Err(refusal),
        None => Ok(answer),
    };
    Answer { responded: true, load, notice, ran, held, given_up: false, result }
}

/// The refusal in `answer`, which has `outcome`; `None` if it is the upstream's answer. Anything but
/// a plain "not run" is unknown.
fn refusal<B>(
    answer: &http::Response<B>,
    outcome: Option<&header::HeaderValue>,
) -> Option<refuse::Refusal> {
    if outcome.is_some_and(|outcome| outcome == headers::RAN) {
        return None;
    }
    let proof = outcome.filter(|outcome| *outcome == headers::NOT_RUN).map(|_| NotRun(()));
    let map = answer.headers();
    let reason = map.get(headers::REASON).and_then(|v| v.to_str().ok()?.parse().ok());
    let reason = reason.unwrap_or(retry::Reason::Malformed);
    let reason = if map.contains_key(headers::LIMITED) { retry::Reason::Limited } else { reason };
    let refusal = match proof {
        Some(proof) => refuse::Refusal::relayed(proof, reason),
        None => refuse::Refusal::unknown(reason),
    };
    let retry_after = request_head::number(map, headers::RETRY).ok().flatten();
    Some(refusal.with_retry_after(retry_after.map(time::Duration::from_millis)))
}

/// Path prefix of requests for held answers.
const HELD: &str = "/held/";

/// The request for the held answer of the call `id`, and the token of that request.
pub fn held_answer_request(
    id: held_answers::CallId,
    request_hash: held_answers::RequestHash,
    deadline: clock::Instant,
    now: clock::Instant,
) -> Option<(http::Request<upload::Upload>, proof::Unsent)> {
    let key = u128::from_le_bytes(id.key.0);
    let uri = format!(
        "http://{NO_HOST}{HELD}{key:032x}/{:016x}/{print}",
        id.number,
        print = request_hash
    );
    let remaining = remaining(deadline, now);
    let request = http::Request::builder().uri(uri).header(headers::DEADLINE, remaining);
    let request = request.body(upload::Upload::Buffered(None)).ok()?;
    Some((request, proof::Unsent::fresh()))
}

/// Parses the path of a request made by [`held_answer_request()`].
pub fn parse_held_answer(path: &str) -> Option<(held_answers::CallId, held_answers::RequestHash)> {
    let mut parts = path.strip_prefix(HELD)?.splitn(3, '/');
    let key = u128::from_str_radix(parts.next()?, 16).ok()?;
    let number = u64::from_str_radix(parts.next()?, 16).ok()?;
    let request_hash = held_answers::RequestHash::from_hex(parts.next()?).ok()?;
    Some((held_answers::CallId { key: claim::Key(key.to_le_bytes()), number }, request_hash))
}
