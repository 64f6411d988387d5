//! The upstream's own node: admit a call, run it at the upstream, check its answer.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use hyper::body::Body as _;
use tokio::time;

use crate::claim;
use crate::clock;
use crate::node;
use crate::proxy::ask;
use crate::proxy::body;
use crate::proxy::dialect;
use crate::proxy::guard;
use crate::proxy::headers;
use crate::proxy::order;
use crate::proxy::pool;
use crate::proxy::refuse;
use crate::proxy::slots;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::proxy::wire;
use crate::quarantine;
use crate::retry;
use crate::view;

/// Connections tried when they close before anything is sent.
const TRIES: u8 = 3;

/// Largest shed answer that is read to keep its connection, in bytes.
const SHED_BYTES: u64 = 4096;

/// The last of a call's time in which it is no longer admitted: one in this many.
const MARGIN_SHARE: u32 = 20;

/// Least of that time.
const LEAST_MARGIN: Duration = Duration::from_millis(2);

/// Most of that time.
const MOST_MARGIN: Duration = Duration::from_millis(100);

/// Runs a call at the upstream beside this node.
///
/// `hold` gets the slot and the connection while the answer streams.
///
/// # Errors
///
/// The refusal says whether the call may have run.
pub async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    order: &order::Order<'_>,
    request: http::Request<upload::Upload>,
    hold: &mut guard::Hold,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let result = admit(state, order, request, hold).await;
    if let Err(refuse::Refusal { outcome: retry::Outcome::Unknown(reason), .. }) = result {
        hold.cut(reason);
    }
    if state.rollouts.has_orders()
        && let Some(evidence) = state.evidence(order.kind, &result)
        && let Ok(local) = find(state, order)
    {
        state.rollouts.note_own(&local.upstream, evidence);
    }
    result
}

/// The same without a look at what the answer says of the upstream's version.
async fn admit<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    order: &order::Order<'_>,
    mut request: http::Request<upload::Upload>,
    hold: &mut guard::Hold,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    find(state, order)?;
    let came = state.ctx.now();
    let print = print(state, &request);
    state.suspects.check_owner(print)?;
    let slot = state.slots.enter(&wish(state, order)).await;
    hold.slot = Some(slot.map_err(|refused| turn(state, order, request.headers(), refused))?);
    // The upstream may have gone while the call waited, and a suspended host wakes late.
    let local = find(state, order)?;
    // Meanwhile others may have found out what ends their upstreams.
    state.suspects.check_owner(print)?;
    apart(state, print)?;
    let began = state.ctx.now();
    let left = order.deadline.since(began);
    if left.as_millis() == 0 {
        return Err(refuse::Refusal::not_run(retry::Reason::TooLate).again(state.pause()));
    }
    let end = state.timer(order.deadline);
    let method = request.method().clone();
    let id = request.headers().get(&state.dialect.id).cloned();
    hold.run = Some(state.runs.enter(id.clone(), print));
    address(&state.dialect, &local, left, request.headers_mut());
    let (lease, answer) = send(state, &local, request, end).await?;
    if state.dialect.is_not_run(answer.status(), answer.headers()) {
        drain(answer, lease, end).await;
        if let Some(slot) = hold.slot.take() {
            slot.shed();
        }
        // Without a time of its own the caller would wait a second for a slot that is free now.
        let refusal = refuse::Refusal::not_run(retry::Reason::UpstreamShed);
        return Err(refusal.again(state.slots.pause()));
    }
    check(&state.dialect, &method, id.as_ref(), &answer)?;
    if let Some(run) = hold.run.as_mut() {
        run.head(answer.status());
    }
    let (mut parts, incoming) = answer.into_parts();
    ask::strip(&mut parts.headers);
    if method != http::Method::HEAD && parts.status != http::StatusCode::NOT_MODIFIED {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let ran = order::Ran(state.ctx.now().since(began));
    parts.extensions.insert(ran);
    hold.lease = Some(lease);
    state.compare(order.kind, parts.status, ran, hold);
    hold.head(parts.status, Some(state.slots.load()));
    let wire = wire::Wire::new(incoming, wire::Carrier::Plain);
    let reply = body::Reply::read(wire, state.settings.proxy.whole_bytes, end, hold).await?;
    if let Some(id) = &id {
        let now = state.ctx.now();
        let ran = trace::Ran {
            id,
            kind: order.kind,
            waited: began.since(came),
            ran: now.since(began),
            load: state.slots.load(),
            left: order.deadline.since(now),
        };
        state.trace.ran(&ran, now);
    }
    Ok(http::Response::from_parts(parts, reply))
}

/// Refuses a call that would find no room now, before its body is read.
///
/// # Errors
///
/// What [`run`] would answer.
pub fn preview<C: claim::Claims>(
    state: &state::State<C>,
    order: &order::Order<'_>,
    headers: &header::HeaderMap,
) -> Result<(), refuse::Refusal> {
    find(state, order)?;
    let preview = state.slots.preview(&wish(state, order));
    preview.map_err(|refused| turn(state, order, headers, refused))
}

/// What a call asks of the gate.
fn wish<'a, C: claim::Claims>(
    state: &state::State<C>,
    order: &order::Order<'a>,
) -> slots::Wish<'a> {
    slots::Wish {
        kind: order.kind,
        weight: order.weight,
        inner: order.inner,
        target: order.target,
        deadline: latest(state.ctx.now(), order.deadline),
    }
}

/// Until when a call that came at `now` may wait for its slot: a little before its deadline, so
/// that the word that it did not run comes back in time.
pub fn latest(now: clock::Instant, deadline: clock::Instant) -> clock::Instant {
    let left = deadline.since(now);
    let margin = (left / MARGIN_SHARE).clamp(LEAST_MARGIN, MOST_MARGIN);
    now + left.saturating_sub(margin)
}

/// The upstream beside this node, if it is the one that `order` wants and takes calls.
fn find<C: claim::Claims>(
    state: &state::State<C>,
    order: &order::Order<'_>,
) -> Result<node::LocalUpstream, refuse::Refusal> {
    // Another host may serve it: to the entry, an upstream that went or changed is a leaving one.
    const GONE: refuse::Refusal = refuse::Refusal::not_run(retry::Reason::Draining);
    let local = state.local.borrow();
    let local = local.as_ref().ok_or(GONE)?;
    let upstream = &local.upstream;
    let wanted = upstream.service == order.service
        && order.class.is_none_or(|class| upstream.class == class)
        && upstream.phase != view::Phase::Draining
        && !state.draining();
    if wanted { Ok((**local).clone()) } else { Err(GONE) }
}

/// Keeps requests that may end the upstream apart: where two of them ran at its end, nobody could tell
/// which one it was.
fn apart<C: claim::Claims>(
    state: &state::State<C>,
    print: quarantine::Fingerprint,
) -> Result<(), refuse::Refusal> {
    let suspect = |print| state.suspects.is_suspect(print);
    if suspect(print) && state.runs.has_other(print, suspect) {
        return Err(refuse::Refusal::not_run(retry::Reason::Full).again(state.slots.pause()));
    }
    Ok(())
}

/// The fingerprint of a request for the upstream.
fn print<C: claim::Claims>(
    state: &state::State<C>,
    request: &http::Request<upload::Upload>,
) -> quarantine::Fingerprint {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let path = request.uri().path_and_query().map_or("", http::uri::PathAndQuery::as_str);
    let method = request.method().as_str();
    state.printer.fingerprint(method, host.unwrap_or_default(), path, request.body().print())
}

/// Sends a call on a connection from the pool. One that turns out to be closed before anything
/// was sent is replaced by another.
async fn send<C: claim::Claims>(
    state: &state::State<C>,
    local: &node::LocalUpstream,
    mut request: http::Request<upload::Upload>,
    end: time::Instant,
) -> Result<(pool::Lease, http::Response<hyper::body::Incoming>), refuse::Refusal> {
    for _ in 0..TRIES {
        // A host that is gone without a word never refuses a connection: the call would wait for
        // one until its deadline, where another upstream could still serve it.
        let soon = time::Instant::now() + Duration::from_millis(state.settings.proxy.connect_ms);
        let lease = time::timeout_at(soon.min(end), state.pool.take(local.address)).await;
        let late = if soon < end { retry::Reason::Unreachable } else { retry::Reason::TooLate };
        let lease = lease.map_err(|_| refuse::Refusal::not_run(late))?;
        let mut lease = lease.map_err(|_| refuse::Refusal::not_run(retry::Reason::Unreachable))?;
        let answer = time::timeout_at(end, lease.send(request)).await;
        let answer = answer.map_err(|_| refuse::Refusal::unknown(retry::Reason::Timeout))?;
        match answer {
            Ok(answer) => return Ok((lease, answer)),
            Err(pool::Failed { unsent: Some(unsent), .. }) => request = *unsent,
            Err(pool::Failed { error, .. }) => {
                log::debug!("call lost at the upstream: {error:?}");
                return Err(refuse::Refusal::unknown(retry::Reason::Cut));
            }
        }
    }
    Err(refuse::Refusal::not_run(retry::Reason::Unreachable))
}

/// Refuses a call that the gate did not let in, and logs what the gate held.
fn turn<C: claim::Claims>(
    state: &state::State<C>,
    order: &order::Order<'_>,
    headers: &header::HeaderMap,
    refused: slots::Refused,
) -> refuse::Refusal {
    let now = state.ctx.now();
    let turned = trace::Turned {
        id: headers.get(&state.dialect.id),
        service: order.service,
        kind: order.kind,
        inner: order.inner,
        reason: refused.reason,
        load: state.slots.load(),
        target: order.target.since(now),
        left: order.deadline.since(now),
        after: refused.retry_after,
    };
    state.trace.turned(&turned, now);
    refuse::Refusal::not_run(refused.reason).again(refused.retry_after)
}

/// Writes the headers that only the upstream's own node can give.
fn address(
    dialect: &dialect::Dialect,
    local: &node::LocalUpstream,
    left: Duration,
    map: &mut header::HeaderMap,
) {
    if !dialect.verbose {
        map.remove(headers::DEADLINE);
    }
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    map.insert(&dialect.remaining, header::HeaderValue::from(left));
    let Some(name) = &dialect.instance else { return };
    map.remove(name);
    if let Ok(instance) = header::HeaderValue::from_str(&local.instance) {
        map.insert(name, instance);
    }
}

/// Reads a shed answer to its end, so that the connection can be used again.
async fn drain(
    answer: http::Response<hyper::body::Incoming>,
    lease: pool::Lease,
    end: time::Instant,
) {
    let mut hold = guard::Hold { lease: Some(lease), ..guard::Hold::default() };
    let wire = wire::Wire::new(answer.into_body(), wire::Carrier::Plain);
    // A body that is long or cut drops the connection, which is all that is wanted.
    let _ = body::Reply::read(wire, SHED_BYTES, end, &mut hold).await;
}

/// Whether `answer` belongs to this call and tells where it ends.
fn check(
    dialect: &dialect::Dialect,
    method: &http::Method,
    id: Option<&header::HeaderValue>,
    answer: &http::Response<hyper::body::Incoming>,
) -> Result<(), refuse::Refusal> {
    let echo = answer.headers().get(&dialect.id);
    let crossed = echo != id && (echo.is_some() || dialect.signature.is_some());
    let upgraded = answer.status().is_informational();
    let foreign = !dialect.is_signed(answer.headers());
    if crossed || foreign || upgraded || !is_framed(method, answer) {
        return Err(refuse::Refusal::unknown(retry::Reason::Malformed));
    }
    Ok(())
}

/// Whether the answer's end is marked: by its length, by chunks, or because it has no body.
fn is_framed(method: &http::Method, answer: &http::Response<hyper::body::Incoming>) -> bool {
    method == http::Method::HEAD
        || answer.body().is_end_stream()
        || answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(header::TRANSFER_ENCODING)
}
