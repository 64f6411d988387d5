//! The entry node: accepts a caller's request, matches its route, checks its deadline, claims its
//! idempotency key, runs it, answers and counts it.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::task;

use crate::claim;
use crate::clock;
use crate::mesh;
use crate::proxy::body;
use crate::proxy::call;
use crate::proxy::caller_retries;
use crate::proxy::count;
use crate::proxy::headers;
use crate::proxy::idempotency;
use crate::proxy::organisations;
use crate::proxy::proof;
use crate::proxy::quotas;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::reply;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::running_calls;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::retry;
use crate::version;

/// Maximum depth of nested calls in the mesh.
const MAX_DEPTH: u8 = 16;

/// The refusal of a call that is still in flight when the node ends.
const STOPPED: refuse::Refusal = refuse::Refusal::unknown(retry::Reason::Timeout);

/// Answers a caller's request.
pub async fn call<C: claim::Claims>(
    state: Rc<state::State<C>>,
    request: http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let unsent = proof::Unsent::fresh();
    let (parts, incoming) = request.into_parts();
    let (began, version) = (state.ctx.now(), state.applied.borrow().version_id.version);
    let head = request_head::RequestHead::read(
        parts,
        state.settings.proxy.path_bytes,
        &state.dialect,
        || state.new_id(),
    );
    let (id, result) = match head {
        Ok(mut head) => {
            state.add_caller_header(&mut head.headers);
            head.headers.remove(&state.dialect.organisation);
            let id = head.id.clone();
            let result = tokio::select! {
                result = serve(&state, head, incoming, unsent) => result,
                () = state.wait_answer_deadline() => Err(STOPPED),
            };
            (Some(id), result)
        }
        Err(cause) => (None, Err(refuse::Refusal::unsent(unsent, cause))),
    };
    if let Some(id) = &id {
        log_end(&state, id, &result, version, began);
    }
    let mut answer = result.map_or_else(
        |refusal| reply::answer(&refusal, state.dialect.verbose),
        |answer| mark_ran(&state, answer),
    );
    if let Some(id) = id {
        answer.headers_mut().insert(&state.dialect.id, id);
    }
    if state.is_leaving() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Logs the end of a call that arrived at `began`, while `version` was in force.
fn log_end<C: claim::Claims>(
    state: &state::State<C>,
    id: &header::HeaderValue,
    result: &Result<http::Response<body::Reply>, refuse::Refusal>,
    version: version::Version,
    began: clock::Instant,
) {
    let now = state.ctx.now();
    let took = now.since(began);
    match result {
        Ok(answer) => {
            let served = trace::Served { id, status: answer.status(), version, took };
            state.trace.served(&served, now);
        }
        Err(refusal) => state.trace.ended(&trace::Ended { id, refusal, version, took }, now),
    }
}

fn mark_ran<C>(
    state: &state::State<C>,
    mut answer: http::Response<body::Reply>,
) -> http::Response<body::Reply> {
    if !state.dialect.verbose {
        return answer;
    }
    let ran = header::HeaderValue::from_static(headers::RAN);
    answer.headers_mut().insert(headers::OUTCOME, ran);
    answer
}

/// Serves a request: identifies its caller, takes a credit of its organisation and runs the call.
async fn serve<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    mut head: request_head::RequestHead,
    incoming: Incoming,
    unsent: proof::Unsent,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let in_flight = Some(state.in_flight.enter());
    state.overload.call_entered();
    let started = state.ctx.now();
    if state.is_draining() {
        let cause = refuse::Cause::new(retry::Reason::Draining).retry_in(state.retry_delay());
        return Err(refuse::Refusal::unsent(unsent, cause));
    }
    let applied = state.applied();
    let (route, unsent) = unsent.check(find_route(state, &applied, &head))?;
    let caller_deadline = started + max_duration(&applied.mesh, route, head.remaining);
    let (_, unsent) = unsent.check(check_stop(state, &applied.mesh, route, caller_deadline))?;
    let parent = state.running.parent_of(&head.id);
    let matched = applied.mesh.route(route);
    let caller = organisations::identify(&applied.mesh, matched, parent.as_ref(), &mut head);
    let caller = caller.inspect_err(|_| state.quotas.record_unauthenticated());
    let (caller, unsent) = unsent.check(caller)?;
    let charged = caller.as_ref().and_then(|caller| caller.charged);
    let caller_try = caller_try(state, &head, started);
    let spent = match charged.map(|key| applied.mesh.organisation(key)) {
        Some(organisation) => take_credit(state, &head.id, organisation)
            .await
            .inspect_err(|_| record_failed(state, caller_try)),
        None => Ok(None),
    };
    let (spent, unsent) = unsent.check(spent)?;
    let nested = parent.is_some();
    let arrival = Arrival {
        unsent,
        head,
        incoming,
        applied,
        route,
        caller,
        nested,
        caller_try,
        started,
        caller_deadline,
    };
    let resources = resources::Resources { in_flight, ..resources::Resources::default() };
    let result = run(state, arrival, resources).await;
    if result.as_ref().is_err_and(refuse::Refusal::is_not_run)
        && let Some(spent) = &spent
    {
        state.quotas.give_back(spent);
    }
    result
}

/// Takes a credit for the call `id` of `organisation`; `None` if it has no limit.
async fn take_credit<C: claim::Claims>(
    state: &state::State<C>,
    id: &header::HeaderValue,
    organisation: &mesh::Organisation,
) -> Result<Option<quotas::Spent>, refuse::Cause> {
    let taken = state.quotas.take(organisation).await;
    taken.inspect_err(|cause| {
        let retry_after = cause.retry_after().unwrap_or_default();
        let limited = trace::Limited { id, organisation, retry_after };
        state.trace.limited(&limited, state.ctx.now());
    })
}

/// A request that may run.
struct Arrival {
    unsent: proof::Unsent,
    head: request_head::RequestHead,
    incoming: Incoming,
    /// Configuration in force when it arrived.
    applied: Arc<mesh::Applied>,
    /// Its route in that configuration.
    route: mesh::RouteKey,
    /// The organisation that makes it; `None` if it is not known.
    caller: Option<organisations::Caller>,
    /// Whether a call that runs at the local upstream makes it.
    nested: bool,
    /// `None` if the caller did not send the time for which it waits.
    caller_try: Option<CallerTry>,
    started: clock::Instant,
    /// Until when its caller waits.
    caller_deadline: clock::Instant,
}

/// Runs the call of a request.
async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    arrival: Arrival,
    mut resources: resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let Arrival {
        unsent,
        head,
        incoming,
        applied,
        route,
        caller,
        nested,
        caller_try,
        started,
        caller_deadline,
    } = arrival;
    let kind = applied.mesh.route(route).kind;
    let service = state.traffic_split.borrow_mut().next(applied.mesh.route(route));
    resources.count = Some(count::Pending::new(
        state.ctx,
        Rc::clone(&state.tally),
        Arc::clone(&applied.mesh),
        kind,
        started,
    ));
    let deadline = state.deadline(caller_deadline);
    // A caller that retries has used up part of its target latency. Without this, retries that can
    // only be late displace calls that could be in time: 1337 answers of 4000 are in time instead
    // of 2551 (virtual time, the test `retries_do_not_displace_calls_in_time`).
    let first_try = caller_try.map_or(started, |caller_try| caller_try.first);
    let target = applied.mesh.latency(route).map_or(deadline, |latency| first_try + latency);
    let limit = applied.mesh.body(kind);
    let received = async {
        let name = &applied.mesh.kind(kind).name;
        let nested_call = begin_nested(state, &head.id, name)?;
        let body = read_body(state, incoming, limit, deadline).await?;
        // A stop may have begun or gone on while the body arrived.
        check_stop(state, &applied.mesh, route, caller_deadline)?;
        Ok::<_, refuse::Cause>((nested_call, body))
    };
    let ((nested_call, body), unsent) = match unsent.check(received.await) {
        Ok(received) => received,
        Err(refusal) => {
            if let Some(count) = resources.count.take() {
                count.ended(refusal.outcome());
            }
            return Err(refusal);
        }
    };
    let returning = first_try < started;
    let call = call::Call {
        head,
        body,
        applied,
        route,
        service,
        caller,
        nested,
        nested_call,
        returning,
        target,
        halfway: started + deadline.since(started) / 2,
        deadline,
    };
    let key = call.head.idempotency_key.clone().filter(|_| !call.kind().idempotent);
    let Some(key) = key else {
        let result = call::run(state, &call, unsent, resources).await;
        if result.is_err() && !nested {
            record_failed(state, caller_try);
        }
        return result;
    };
    // A call with a key goes on when its caller leaves, as the caller may retry and get its answer.
    let run = task::spawn_local(idempotency::run(Rc::clone(state), call, unsent, resources, key));
    run.await.unwrap_or(Err(refuse::Refusal::unknown(retry::Reason::Cancelled)))
}

/// Records the nested call `id` of the kind `kind` with the running call that makes it.
///
/// # Errors
///
/// That call has lost another nested call and doesn't survive that, so that it would be run for
/// nothing.
fn begin_nested<C: claim::Claims>(
    state: &state::State<C>,
    id: &header::HeaderValue,
    kind: &SmolStr,
) -> Result<Option<running_calls::NestedCall>, refuse::Cause> {
    if !state.settings.call.sibling_repeats {
        return Ok(None);
    }
    let begun = state.running.begin_nested(id, kind);
    begun.map_err(|loss| {
        state.trace.not_sent(&trace::NotSent { id, kind, loss: &loss }, state.ctx.now());
        refuse::Cause::new(retry::Reason::Full).retry_in(state.retry_delay())
    })
}

/// A call of a caller that sent the time for which it waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallerTry {
    key: caller_retries::Key,
    /// When the caller made its first try.
    first: clock::Instant,
    /// Until when the caller waits.
    until: clock::Instant,
}

/// Looks up whether the request `head`, which arrived at `now`, is a retry. `None` if its caller
/// did not send the time for which it waits.
pub(super) fn caller_try<C: claim::Claims>(
    state: &state::State<C>,
    head: &request_head::RequestHead,
    now: clock::Instant,
) -> Option<CallerTry> {
    let until = now + head.remaining?;
    let retries = state.caller_retries.borrow();
    let key = retries.key((&head.method, &head.host, &head.path));
    Some(CallerTry { key, first: retries.first_try(key, until, now), until })
}

/// Records a failed try, so that a retry of its caller is recognised.
pub(super) fn record_failed<C: claim::Claims>(state: &state::State<C>, failed: Option<CallerTry>) {
    let Some(CallerTry { key, first, until }) = failed else { return };
    state.caller_retries.borrow_mut().record(key, first, until);
}

pub(super) fn find_route<C: claim::Claims>(
    state: &state::State<C>,
    applied: &mesh::Applied,
    head: &request_head::RequestHead,
) -> Result<mesh::RouteKey, refuse::Cause> {
    if applied.version_id.version == version::Version::NONE {
        return Err(refuse::Cause::new(retry::Reason::NotReady).retry_in(state.retry_delay()));
    }
    if head.depth >= MAX_DEPTH {
        return Err(refuse::Cause::new(retry::Reason::TooDeep));
    }
    let host = head.host.as_ref().map(http::uri::Authority::as_str);
    let route = applied.mesh.find(host, &head.method, head.path.path());
    route.ok_or(refuse::Cause::new(retry::Reason::NoRoute))
}

/// Refuses a call that can't be answered before a planned stop ends; another node may run it.
fn check_stop<C: claim::Claims>(
    state: &state::State<C>,
    mesh: &mesh::Mesh,
    route: mesh::RouteKey,
    caller_deadline: clock::Instant,
) -> Result<(), refuse::Cause> {
    let kind = &mesh.kind(mesh.route(route).kind).name;
    if state.can_answer(kind, mesh.latency(route), caller_deadline) {
        return Ok(());
    }
    Err(refuse::Cause::new(retry::Reason::Draining).retry_in(state.retry_delay()))
}

/// Maximum duration of a call on `route` whose caller waits for `remaining`, if it sent that time.
fn max_duration(
    mesh: &mesh::Mesh,
    route: mesh::RouteKey,
    remaining: Option<time::Duration>,
) -> time::Duration {
    let bound = mesh.max_timeout(route).unwrap_or(time::Duration::MAX);
    remaining.map_or_else(|| mesh.timeout(route), |remaining| remaining.min(bound))
}

/// Reads a request's body, until the deadline at most: a short one is buffered.
async fn read_body<C: claim::Claims>(
    state: &state::State<C>,
    incoming: Incoming,
    limit: u64,
    deadline: clock::Instant,
) -> Result<upload::Body, refuse::Cause> {
    if deadline.since(state.ctx.now()) == time::Duration::ZERO {
        return Err(refuse::Cause::new(retry::Reason::TooLate).retry_in(state.retry_delay()));
    }
    let received = received_body::ReceivedBody::new(incoming, received_body::Carrier::Http1);
    let bounds = state.bounds(limit);
    let mut reader = upload::Immediate;
    let read = upload::Body::read(received, &bounds, &mut reader);
    match tokio::time::timeout_at(state.timer(deadline), read).await {
        Ok(body) => body.map_err(refuse::Cause::new),
        Err(_) => Err(refuse::Cause::new(retry::Reason::TooLate).retry_in(state.retry_delay())),
    }
}
