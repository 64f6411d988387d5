//! Requests of other nodes: calls for the local upstream, and requests for held answers.

use std::cell::Cell;
use std::rc::Rc;
use std::time;

use bytes::Bytes;
use http::header;
use hyper::body::Body as _;
use hyper::body::Incoming;

use crate::claim;
use crate::proxy::body;
use crate::proxy::call_spec;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::internode;
use crate::proxy::links;
use crate::proxy::owner;
use crate::proxy::proof;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::reply;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::upload;
use crate::retry;

/// The peer did not send a valid greeting. Its connection is closed without an answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the peer is not a node of this mesh")]
pub struct Unauthenticated;

/// Answers a request of another node. `authenticated` belongs to the connection and is set by its
/// first request, the greeting.
///
/// # Errors
///
/// The first request is not a valid greeting.
pub async fn serve<C: claim::Claims>(
    state: Rc<state::State<C>>,
    authenticated: Rc<Cell<bool>>,
    request: http::Request<Incoming>,
) -> Result<http::Response<body::Reply>, Unauthenticated> {
    if !authenticated.get() {
        authenticated.set(links::is_greeting(&state.seal, state.me, &request));
        let empty = http::Response::new(body::Reply::buffered(Bytes::new()));
        return if authenticated.get() { Ok(empty) } else { Err(Unauthenticated) };
    }
    if request.headers().contains_key(headers::SERVICE) {
        // hyper moves the future of a stream several times; moving a box is cheaper.
        return Ok(Box::pin(call(&state, request)).await);
    }
    Ok(held_answer(&state, &request).await)
}

async fn call<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    request: http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let arrived = state.ctx.now();
    let in_flight = Some(state.in_flight.enter());
    state.overload.call_entered();
    let resources = resources::Resources { in_flight, ..resources::Resources::default() };
    let result = run(state, request, proof::Unsent::fresh(), resources).await;
    let mut answer = match result {
        Ok(answer) => mark_ran(answer),
        Err(refusal) => refusal_answer(&refusal),
    };
    if let Some(call_spec::RunTime(ran)) = answer.extensions().get() {
        let micros = u64::try_from(ran.as_micros()).unwrap_or(u64::MAX);
        let mut micros = header::HeaderValue::from(micros);
        micros.set_sensitive(true);
        answer.headers_mut().insert(headers::RAN_US, micros);
    }
    if state.settings.call.node_delay {
        let held = state.ctx.now().since(arrived).as_micros();
        let mut held = header::HeaderValue::from(u64::try_from(held).unwrap_or(u64::MAX));
        held.set_sensitive(true);
        answer.headers_mut().insert(headers::HELD_US, held);
    }
    let load = state.load().to_string();
    if let Ok(mut load) = header::HeaderValue::from_str(&load) {
        load.set_sensitive(true);
        answer.headers_mut().insert(headers::LOAD, load);
    }
    if let Some(notice) = state.relayed_notice()
        && let Ok(notice) = header::HeaderValue::from_str(&notice.to_string())
    {
        answer.headers_mut().insert(headers::NOTICE, notice);
    }
    answer
}

async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    request: http::Request<Incoming>,
    unsent: proof::Unsent,
    mut resources: resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let (parts, incoming) = request.into_parts();
    let text = |name| text(&parts.headers, name);
    let (required, unsent) = unsent.check(Required::read(&parts.headers))?;
    let Required { service, weight, remaining, target } = required;
    let class = text(headers::CLASS);
    let kind = text(headers::KIND).unwrap_or_default();
    let organisation = parts.headers.get(headers::ORGANISATION).cloned();
    let now = state.ctx.now();
    // The time budget was sent with the request, which has waited in this node since.
    let waited = state.overload.arrival_delay(now);
    let remaining = time::Duration::from_millis(remaining).saturating_sub(waited);
    let target = time::Duration::from_millis(target).saturating_sub(waited);
    if let Some(notice) = text(headers::NOTICE).and_then(|text| text.parse().ok()) {
        state.learn_notice(&notice);
    }
    let spec = call_spec::CallSpec {
        service: &service,
        class: class.as_deref(),
        kind: &kind,
        weight,
        organisation: organisation.as_ref(),
        nested: parts.headers.contains_key(headers::INNER),
        returning: parts.headers.contains_key(headers::RETURNING),
        target: now + target,
        deadline: now + remaining,
    };
    let (body, unsent) = unsent.check(read_body(state, &spec, &parts, incoming).await)?;
    let (request, unsent) = unsent.check(internode::unwrap(parts, body.attempt()))?;
    owner::run(state, &spec, request, unsent, &mut resources).await
}

/// The headers without which a request is no call.
struct Required {
    service: String,
    weight: u32,
    /// Milliseconds until the deadline.
    remaining: u64,
    /// Milliseconds to meet the target latency; [`headers::TARGET`] may be missing.
    target: u64,
}

impl Required {
    fn read(map: &header::HeaderMap) -> Result<Self, refuse::Cause> {
        const MALFORMED: refuse::Cause = refuse::Cause::new(retry::Reason::Malformed);
        let service = text(map, headers::SERVICE).ok_or(MALFORMED)?;
        let weight = request_head::number(map, headers::WEIGHT)?.ok_or(MALFORMED)?;
        let weight = u32::try_from(weight).map_err(|_| MALFORMED)?;
        let remaining = request_head::number(map, headers::DEADLINE)?.ok_or(MALFORMED)?;
        let target = request_head::number(map, headers::TARGET)?.unwrap_or(remaining);
        Ok(Self { service, weight, remaining, target })
    }
}

fn text(map: &header::HeaderMap, name: &str) -> Option<String> {
    let value = map.get(name)?.as_bytes();
    str::from_utf8(value).ok().map(str::to_owned)
}

/// Reads the body of a call before the call asks for a slot, so that no slot is held while the link
/// is slow. A call that would not be admitted is refused before its body takes up the link.
async fn read_body<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    spec: &call_spec::CallSpec<'_>,
    parts: &http::request::Parts,
    incoming: Incoming,
) -> Result<upload::Body, refuse::Cause> {
    let received = received_body::ReceivedBody::new(incoming, received_body::Carrier::Http2);
    let size = received.size_hint();
    if !received.is_end_stream() {
        owner::preview(state, spec, &parts.headers, &size)?;
    }
    // The entry node has checked the size against the limit of the kind.
    let bounds = state.bounds(u64::MAX);
    let mut turn = state.inbound_link.turn(size.exact().unwrap_or(size.lower()));
    let read = upload::Body::read(received, &bounds, &mut turn);
    let end = state.timer(owner::slot_deadline(state.ctx.now(), spec.deadline));
    let late = refuse::Cause::new(retry::Reason::TooLate).retry_in(state.retry_delay());
    let body = tokio::time::timeout_at(end, read).await.map_err(|_| late)?;
    body.map_err(refuse::Cause::new)
}

/// Returns the held answer of a call for which this node was the entry node.
async fn held_answer<C: claim::Claims>(
    state: &state::State<C>,
    request: &http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let unknown = refuse::Refusal::unknown(retry::Reason::Conflict);
    let remaining =
        request_head::number(request.headers(), headers::DEADLINE).ok().flatten().unwrap_or(0);
    let Some((id, request_hash)) = internode::parse_held_answer(request.uri().path()) else {
        return refusal_answer(&unknown);
    };
    let find = state.held_answers.find(id, request_hash);
    match tokio::time::timeout(time::Duration::from_millis(remaining), find).await {
        Ok(held_answers::FirstCall::Answer(answer)) => mark_ran(answer.replay()),
        Ok(held_answers::FirstCall::Released(first)) => {
            refusal_answer(&refuse::Refusal::released(first))
        }
        Ok(held_answers::FirstCall::Unknown) | Err(_) => refusal_answer(&unknown),
    }
}

fn mark_ran(mut answer: http::Response<body::Reply>) -> http::Response<body::Reply> {
    let ran = header::HeaderValue::from_static(headers::RAN);
    answer.headers_mut().insert(headers::OUTCOME, ran);
    answer
}

fn refusal_answer(refusal: &refuse::Refusal) -> http::Response<body::Reply> {
    let limited = refusal.outcome().is_limited();
    let mut answer = reply::answer(refusal, true);
    if limited {
        let full = header::HeaderValue::from_static(retry::Reason::Full.as_str());
        answer.headers_mut().insert(headers::REASON, full);
        answer.headers_mut().insert(headers::LIMITED, header::HeaderValue::from_static("1"));
    }
    if let Some(after) = refusal.retry_after() {
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        answer.headers_mut().insert(headers::RETRY, header::HeaderValue::from(millis));
    }
    answer
}
