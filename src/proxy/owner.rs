//! The owner node: admits a call, runs it at the local upstream and checks the answer.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use smol_str::SmolStr;
use tokio::time;

use crate::admit;
use crate::claim;
use crate::clock;
use crate::node;
use crate::proxy::answer;
use crate::proxy::body;
use crate::proxy::call_spec;
use crate::proxy::dialect;
use crate::proxy::headers;
use crate::proxy::pool;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::proxy::slots;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::quarantine;
use crate::retry;

mod receive;

/// Maximum number of connections tried if they close before anything was sent.
const MAX_CONNECTION_TRIES: u8 = 3;

/// Divides the time remaining on arrival. The quotient, within the two bounds below, is the margin
/// before the deadline in which a call is no longer admitted.
const MARGIN_DIVISOR: u32 = 20;

/// Minimum of the margin.
const MIN_MARGIN: Duration = Duration::from_millis(2);

/// Maximum of the margin.
const MAX_MARGIN: Duration = Duration::from_millis(100);

/// Runs a call at the local upstream.
///
/// A streamed answer takes the slot and the connection of `resources` along.
///
/// # Errors
///
/// A refusal, which tells whether the call may have run.
pub async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    spec: &call_spec::CallSpec<'_>,
    request: http::Request<upload::Upload>,
    unsent: proof::Unsent,
    resources: &mut resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let route = state.rollouts.has_orders().then(|| find_route(state, &request));
    let result = admit(state, spec, request, unsent, resources).await;
    if let Err(refusal) = &result
        && let retry::Outcome::Unknown(reason) = refusal.outcome()
    {
        resources.report_broken(reason);
    }
    if let Some(route) = route
        && let Some(observation) = state.observation(spec.kind, &result)
        && let Ok(local) = find_upstream(state, spec)
    {
        state.rollouts.record_local(&local.upstream, &route, observation);
    }
    result
}

/// Name of the route on which a request came; empty if the configuration in force has none for it.
fn find_route<C: claim::Claims>(
    state: &state::State<C>,
    request: &http::Request<upload::Upload>,
) -> SmolStr {
    let applied = state.applied();
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.and_then(|host| host.parse::<http::uri::Authority>().ok());
    let host = host.as_ref().map(http::uri::Authority::as_str);
    let route = applied.mesh.find(host, request.method(), request.uri().path());
    route.map(|route| applied.mesh.route(route).name.clone()).unwrap_or_default()
}

/// Like [`run`], without recording the result for roll-outs and crash detection.
async fn admit<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    spec: &call_spec::CallSpec<'_>,
    mut request: http::Request<upload::Upload>,
    unsent: proof::Unsent,
    resources: &mut resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let (_, unsent) = unsent.check(find_upstream(state, spec))?;
    let arrived = state.ctx.now();
    let fingerprint = fingerprint(state, &request);
    let ((), unsent) = unsent.check(state.quarantine.check_owner(fingerprint))?;
    let slot = state.slots.enter(&slot_request(state, spec)).await;
    let slot = slot.map_err(|refused| log_refusal(state, spec, request.headers(), refused));
    let (slot, unsent) = unsent.check(slot)?;
    resources.slot = Some(slot);
    // While the call waited, the upstream may have gone, or the host may have been suspended.
    let (local, unsent) = unsent.check(find_upstream(state, spec))?;
    // The request may have been quarantined while it waited.
    let ((), unsent) = unsent.check(state.quarantine.check_owner(fingerprint))?;
    let ((), unsent) = unsent.check(keep_suspects_apart(state, spec, fingerprint))?;
    let began = state.ctx.now();
    let remaining = spec.deadline.since(began);
    if remaining.as_millis() == 0 {
        let cause = refuse::Cause::new(retry::Reason::TooLate).retry_in(state.retry_delay());
        return Err(refuse::Refusal::unsent(unsent, cause));
    }
    let end = state.timer(spec.deadline);
    let method = request.method().clone();
    let id = request.headers().get(&state.dialect.id).cloned();
    resources.run = Some(state.running.enter(id.clone(), fingerprint, spec.organisation.cloned()));
    add_headers(&state.dialect, &local, spec.organisation, remaining, request.headers_mut());
    let progress = request.body().progress();
    let (lease, answer) = send(state, &local, request, unsent, (id.as_ref(), end)).await?;
    let sent =
        receive::Sent { local: &local, method: &method, id: id.as_ref(), arrived, began, end };
    let expected = answer::Expected { dialect: &state.dialect, method: &method, id: id.as_ref() };
    match answer.verify(&expected) {
        Ok(answer::Verified::Ran(answer)) => {
            receive::read_notices(state, &local, &answer);
            receive::receive(state, spec, &sent, answer, lease, resources).await
        }
        Ok(answer::Verified::Unmarked(answer)) => {
            receive::read_notices(state, &local, &answer);
            let rejected = answer::Rejected::unmarked(&answer, &state.dialect);
            Err(receive::disbelieve(state, &local, id.as_ref(), rejected))
        }
        Ok(answer::Verified::NotRun(answer, proof)) => {
            receive::read_notices(state, &local, &answer);
            receive::release_rejected(state, answer, lease, &progress, end);
            if let Some(slot) = resources.slot.take() {
                slot.shed();
            }
            // A refusal without a delay would make the caller wait for a second, the default,
            // though a slot is free now.
            let refusal = refuse::Refusal::rejected(proof);
            Err(refusal.retry_in(state.slots.retry_delay(&slot_request(state, spec))))
        }
        Err(rejected) => Err(receive::disbelieve(state, &local, id.as_ref(), rejected)),
    }
}

/// Refuses a call that would not be admitted now, before its body of `size` is read.
///
/// # Errors
///
/// The cause of the refusal that [`run`] would return.
pub fn preview<C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'_>,
    headers: &header::HeaderMap,
    size: &hyper::body::SizeHint,
) -> Result<(), refuse::Cause> {
    find_upstream(state, spec)?;
    let transfer = if state.settings.call.body_room {
        state.inbound_link.transfer(&state.settings.proxy, size)
    } else {
        admit::Transfer::default()
    };
    let preview = state.slots.preview(&slot_request(state, spec), &transfer);
    preview.map_err(|refused| log_refusal(state, spec, headers, refused))
}

/// The request of a call for a slot.
fn slot_request<'a, C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'a>,
) -> slots::Request<'a> {
    slots::Request {
        kind: spec.kind,
        weight: spec.weight,
        nested: spec.nested,
        returning: spec.returning,
        target: spec.target,
        deadline: slot_deadline(state.ctx.now(), spec.deadline),
    }
}

/// Until when a call that arrived at `now` may wait for a slot: somewhat before its deadline, so
/// that the refusal reaches the caller in time.
pub fn slot_deadline(now: clock::Instant, deadline: clock::Instant) -> clock::Instant {
    let remaining = deadline.since(now);
    let margin = (remaining / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN);
    now + remaining.saturating_sub(margin)
}

/// The local upstream, if it matches `spec` and accepts calls.
fn find_upstream<C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'_>,
) -> Result<node::LocalUpstream, refuse::Cause> {
    // Another host may serve the call: the entry node treats an upstream that is gone or has
    // changed like one that drains.
    const NOT_HERE: refuse::Cause = refuse::Cause::new(retry::Reason::Draining);
    let local = state.local.borrow();
    let local = local.as_ref().ok_or(NOT_HERE)?;
    let upstream = &local.upstream;
    let wanted = upstream.service == spec.service
        && spec.class.is_none_or(|class| upstream.class == class)
        && !state.is_upstream_leaving(local)
        && !state.is_draining()
        && state.can_answer(spec.kind, None, spec.deadline);
    if wanted { Ok((**local).clone()) } else { Err(NOT_HERE) }
}

/// Refuses a suspected request while another one runs: if the upstream crashed while both ran, it
/// would be unknown which one caused the crash.
fn keep_suspects_apart<C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'_>,
    fingerprint: quarantine::Fingerprint,
) -> Result<(), refuse::Cause> {
    let suspect = |fingerprint| state.quarantine.needs_isolation(fingerprint);
    if suspect(fingerprint) && state.running.has_other(fingerprint, suspect) {
        let delay = state.slots.retry_delay(&slot_request(state, spec));
        return Err(refuse::Cause::new(retry::Reason::Full).retry_in(delay));
    }
    Ok(())
}

/// The fingerprint of a request to the upstream.
fn fingerprint<C: claim::Claims>(
    state: &state::State<C>,
    request: &http::Request<upload::Upload>,
) -> quarantine::Fingerprint {
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let path = request.uri().path_and_query().map_or("", http::uri::PathAndQuery::as_str);
    let method = request.method().as_str();
    state.fingerprinter.fingerprint(
        method,
        host.unwrap_or_default(),
        path,
        request.body().fingerprint_body(),
    )
}

/// Sends a call on a connection from the pool. If the connection turns out to be closed before
/// anything was sent, another one is used.
async fn send<C: claim::Claims>(
    state: &state::State<C>,
    local: &node::LocalUpstream,
    mut request: http::Request<upload::Upload>,
    mut unsent: proof::Unsent,
    (id, end): (Option<&header::HeaderValue>, time::Instant),
) -> Result<(pool::Lease, answer::Unverified), refuse::Refusal> {
    for connection in 1..=MAX_CONNECTION_TRIES {
        // If the upstream's host is gone, the connection attempt is not refused. It is bounded, so
        // that another upstream can still serve the call before its deadline.
        let connect_by =
            time::Instant::now() + Duration::from_millis(state.settings.proxy.connect_ms);
        let lease = state.pool.acquire(local.address, id);
        let lease = time::timeout_at(connect_by.min(end), lease).await;
        let reason =
            if connect_by < end { retry::Reason::Unreachable } else { retry::Reason::TooLate };
        let lease = lease.map_err(|_| reason);
        let lease = lease.and_then(|lease| lease.map_err(|_| retry::Reason::Unreachable));
        let (mut lease, token) = unsent.check(lease)?;
        if connection > 1 {
            let to = trace::Destination::Upstream(local.address);
            state.record_resent(&trace::Resent { id, to, connection });
        }
        let answer = time::timeout_at(end, lease.send(request, token)).await;
        let answer = answer.map_err(|_| refuse::Refusal::unknown(retry::Reason::Timeout))?;
        match answer {
            Ok(answer) => return Ok((lease, answer)),
            Err(pool::Failed::Unsent(returned, token)) => (request, unsent) = (*returned, token),
            Err(pool::Failed::Lost(error)) => {
                log::debug!("call lost at the upstream: {error:?}");
                return Err(refuse::Refusal::unknown(retry::Reason::Cut));
            }
            Err(pool::Failed::Endless) => {
                return Err(receive::disbelieve(state, local, id, answer::Rejected::endless()));
            }
        }
    }
    Err(refuse::Refusal::unsent(unsent, retry::Reason::Unreachable))
}

/// Logs a call that was not admitted, with the load at that time, and returns the cause.
fn log_refusal<C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'_>,
    headers: &header::HeaderMap,
    refused: slots::Refused,
) -> refuse::Cause {
    let now = state.ctx.now();
    if refused.reason == retry::Reason::Limited {
        state.notices.record_refused();
    }
    let refused_call = trace::Refused {
        id: headers.get(&state.dialect.id),
        service: spec.service,
        kind: spec.kind,
        nested: spec.nested,
        reason: refused.reason,
        load: state.slots.load(),
        reserved: state.slots.reserved().slots,
        limit: state.limit_in_force(),
        target: spec.target.since(now),
        remaining: spec.deadline.since(now),
        retry_after: refused.retry_after,
    };
    state.trace.refused(&refused_call, now);
    refuse::Cause::new(refused.reason).retry_in(refused.retry_after)
}

/// Sets the headers of a request to an upstream that its caller must not set: the time remaining,
/// the organisation that makes the call, and the instance.
fn add_headers(
    dialect: &dialect::Dialect,
    local: &node::LocalUpstream,
    organisation: Option<&header::HeaderValue>,
    remaining: Duration,
    map: &mut header::HeaderMap,
) {
    map.remove(&dialect.organisation);
    if let Some(organisation) = organisation {
        map.insert(&dialect.organisation, organisation.clone());
    }
    if !dialect.verbose {
        map.remove(headers::DEADLINE);
    }
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    map.insert(&dialect.remaining, header::HeaderValue::from(remaining));
    let Some(name) = &dialect.instance else { return };
    map.remove(name);
    if let Ok(instance) = header::HeaderValue::from_str(&local.instance) {
        map.insert(name, instance);
    }
}
