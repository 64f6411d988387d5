//! Requests of other nodes: calls for the upstream beside this one, and for held answers.

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
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::reply;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::upload;
use crate::retry;

/// A connection without a greeting of this mesh: it gets nothing and is closed.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the connection is not a node's of this mesh")]
pub struct Stranger;

/// Answers a request on a connection that `known` says was greeted on.
///
/// # Errors
///
/// The first request is no greeting.
pub async fn serve<C: claim::Claims>(
    state: Rc<state::State<C>>,
    known: Rc<Cell<bool>>,
    request: http::Request<Incoming>,
) -> Result<http::Response<body::Reply>, Stranger> {
    if !known.get() {
        known.set(links::is_greeting(&state.seal, state.me, &request));
        let empty = http::Response::new(body::Reply::whole(Bytes::new()));
        return if known.get() { Ok(empty) } else { Err(Stranger) };
    }
    if request.headers().contains_key(headers::SERVICE) {
        // The library moves the future of a stream about: a box is moved more cheaply.
        return Ok(Box::pin(call(&state, request)).await);
    }
    Ok(held(&state, &request).await)
}

async fn call<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    request: http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let flight = Some(state.flights.enter());
    let hold = resources::Hold { flight, ..resources::Hold::default() };
    let result = run(state, request, hold).await;
    let mut answer = match result {
        Ok(answer) => ran(answer),
        Err(refusal) => refused(&refusal),
    };
    if let Some(call_spec::Ran(ran)) = answer.extensions().get() {
        let micros = u64::try_from(ran.as_micros()).unwrap_or(u64::MAX);
        let mut micros = header::HeaderValue::from(micros);
        micros.set_sensitive(true);
        answer.headers_mut().insert(headers::RAN_US, micros);
    }
    let load = state.load().to_string();
    if let Ok(mut load) = header::HeaderValue::from_str(&load) {
        load.set_sensitive(true);
        answer.headers_mut().insert(headers::LOAD, load);
    }
    answer
}

async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    request: http::Request<Incoming>,
    mut hold: resources::Hold,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    const MALFORMED: refuse::Refusal = refuse::Refusal::not_run(retry::Reason::Malformed);
    let (parts, incoming) = request.into_parts();
    let text = |name| parts.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    let service = text(headers::SERVICE).ok_or(MALFORMED)?;
    let class = text(headers::CLASS);
    let kind = text(headers::KIND).unwrap_or_default();
    let weight = request_head::number(&parts.headers, headers::WEIGHT)?.ok_or(MALFORMED)?;
    let left = request_head::number(&parts.headers, headers::DEADLINE)?.ok_or(MALFORMED)?;
    let target = request_head::number(&parts.headers, headers::TARGET)?.unwrap_or(left);
    let now = state.ctx.now();
    let order = call_spec::Order {
        service: &service,
        class: class.as_deref(),
        kind: &kind,
        weight: u32::try_from(weight).map_err(|_| MALFORMED)?,
        inner: parts.headers.contains_key(headers::INNER),
        target: now + time::Duration::from_millis(target),
        deadline: now + time::Duration::from_millis(left),
    };
    let intake = intake(state, &order, &parts, incoming).await?;
    let request = internode::unwrap(parts, intake.attempt())?;
    owner::run(state, &order, request, &mut hold).await
}

/// Takes in a body before its call asks for a slot, so that no slot waits for a link. A call that
/// would be refused is refused before its body takes up the link.
async fn intake<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    order: &call_spec::Order<'_>,
    parts: &http::request::Parts,
    incoming: Incoming,
) -> Result<upload::Intake, refuse::Refusal> {
    let wire = received_body::Wire::new(incoming, received_body::Carrier::Inner);
    if !wire.is_end_stream() {
        owner::preview(state, order, &parts.headers)?;
    }
    // The entry has checked the size against the kind.
    let bounds = state.bounds(u64::MAX);
    let size = wire.size_hint();
    let mut turn = state.inflow.turn(size.exact().unwrap_or(size.lower()));
    let read = upload::Intake::read(wire, &bounds, &mut turn);
    let end = state.timer(owner::latest(state.ctx.now(), order.deadline));
    let late = refuse::Refusal::not_run(retry::Reason::TooLate).again(state.pause());
    let intake = tokio::time::timeout_at(end, read).await.map_err(|_| late)?;
    intake.map_err(refuse::Refusal::not_run)
}

/// The held answer of a call that came in here.
async fn held<C: claim::Claims>(
    state: &state::State<C>,
    request: &http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let gone = refuse::Refusal::unknown(retry::Reason::Conflict);
    let left =
        request_head::number(request.headers(), headers::DEADLINE).ok().flatten().unwrap_or(0);
    let Some((name, print)) = internode::asked(request.uri().path()) else { return refused(&gone) };
    let find = state.held.find(name, print);
    match tokio::time::timeout(time::Duration::from_millis(left), find).await {
        Ok(held_answers::Found::Answer(answer)) => ran(answer.replay()),
        Ok(held_answers::Found::Released) => {
            refused(&refuse::Refusal::not_run(retry::Reason::Conflict))
        }
        Ok(held_answers::Found::Gone) | Err(_) => refused(&gone),
    }
}

fn ran(mut answer: http::Response<body::Reply>) -> http::Response<body::Reply> {
    let ran = header::HeaderValue::from_static(headers::RAN);
    answer.headers_mut().insert(headers::OUTCOME, ran);
    answer
}

fn refused(refusal: &refuse::Refusal) -> http::Response<body::Reply> {
    let mut answer = reply::answer(refusal, true);
    if let Some(after) = refusal.retry_after {
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        answer.headers_mut().insert(headers::RETRY, header::HeaderValue::from(millis));
    }
    answer
}
