//! The caller's side: accept a request, match its route, check its deadline, claim it, run it,
//! answer and count it.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use hyper::body::Incoming;
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
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::reply;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::retry;
use crate::version;

/// Most calls of the mesh that may lead to one another.
const MOST_DEPTH: u8 = 16;

/// What a call is told that is still under way when the node ends.
const LEFT: refuse::Refusal = refuse::Refusal::unknown(retry::Reason::Timeout);

/// Answers a caller's request.
pub async fn call<C: claim::Claims>(
    state: Rc<state::State<C>>,
    request: http::Request<Incoming>,
) -> http::Response<body::Reply> {
    let (parts, incoming) = request.into_parts();
    let (began, version) = (state.ctx.now(), state.applied.borrow().version_id.version);
    let ask =
        request_head::Ask::read(parts, state.settings.proxy.path_bytes, &state.dialect, || {
            state.id()
        });
    let (id, result) = match ask {
        Ok(mut ask) => {
            state.sign(&mut ask.headers);
            let id = ask.id.clone();
            let result = tokio::select! {
                result = serve(&state, ask, incoming) => result,
                () = state.last_moment() => Err(LEFT),
            };
            (Some(id), result)
        }
        Err(refusal) => (None, Err(refusal)),
    };
    if let Some(id) = &id {
        tell(&state, id, &result, version, began);
    }
    let mut answer = result.map_or_else(
        |refusal| reply::answer(&refusal, state.dialect.verbose),
        |answer| ran(&state, answer),
    );
    if let Some(id) = id {
        answer.headers_mut().insert(&state.dialect.id, id);
    }
    if state.leaving() {
        let close = header::HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

/// Logs how a call ended that came at `began`, while `version` was in force.
fn tell<C: claim::Claims>(
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

fn ran<C>(
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

async fn serve<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    ask: request_head::Ask,
    incoming: Incoming,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let flight = Some(state.flights.enter());
    let started = state.ctx.now();
    if state.draining() {
        return Err(refuse::Refusal::not_run(retry::Reason::Draining).again(state.pause()));
    }
    let applied = state.applied();
    let route = find(state, &applied, &ask)?;
    let kind = applied.mesh.route(route).kind;
    let service = state.splitter.borrow_mut().next(applied.mesh.route(route));
    let count = count::Pending::new(
        state.ctx,
        Rc::clone(&state.tally),
        Arc::clone(&applied.mesh),
        kind,
        started,
    );
    let mut hold = resources::Hold { flight, count: Some(count), ..resources::Hold::default() };
    let deadline = state.deadline(started + longest(&applied.mesh, kind, ask.left));
    // A caller that comes back has used up part of its target: without this, callers that can only be late
    // take the place of those in time, 1337 answers of 4000 in time where 2551 are (virtual time, the test
    // `callers_that_come_back_do_not_take_the_place_of_those_in_time`).
    let visit = visit(state, &ask, started);
    let since = visit.map_or(started, |visit| visit.since);
    let target = applied.mesh.kind(kind).latency.map_or(deadline, |latency| since + latency);
    let limit = applied.mesh.body(kind);
    let intake = match intake(state, incoming, limit, deadline).await {
        Ok(intake) => intake,
        Err(refusal) => {
            if let Some(count) = hold.count.take() {
                count.ended(refusal.outcome);
            }
            return Err(refusal);
        }
    };
    let inner = state.runs.makes(&ask.id);
    let job = call::Job { ask, intake, applied, route, service, inner, target, deadline };
    let key = job.ask.key.clone().filter(|_| !job.kind().idempotent);
    let Some(key) = key else {
        let result = call::run(state, &job, hold).await;
        if let Some(visit) = visit.filter(|_| result.is_err() && !inner) {
            state.returns.borrow_mut().note(visit.key, visit.since, visit.until);
        }
        return result;
    };
    // A keyed call goes on when its caller leaves: the caller may come back for its answer.
    let call = task::spawn_local(idempotency::run(Rc::clone(state), job, hold, key));
    call.await.unwrap_or(Err(refuse::Refusal::unknown(retry::Reason::Cancelled)))
}

/// A try of a caller that says how long it waits.
#[derive(Clone, Copy, Debug)]
struct Visit {
    key: caller_retries::Key,
    /// When the caller came for the first time.
    since: clock::Instant,
    /// Until when it waits.
    until: clock::Instant,
}

/// The visit that `ask` belongs to, which came at `now`. `None` where its caller does not say how long
/// it waits.
fn visit<C: claim::Claims>(
    state: &state::State<C>,
    ask: &request_head::Ask,
    now: clock::Instant,
) -> Option<Visit> {
    let until = now + ask.left?;
    let returns = state.returns.borrow();
    let key = returns.key((&ask.method, &ask.host, &ask.path));
    Some(Visit { key, since: returns.since(key, until, now), until })
}

fn find<C: claim::Claims>(
    state: &state::State<C>,
    applied: &mesh::Applied,
    ask: &request_head::Ask,
) -> Result<mesh::RouteKey, refuse::Refusal> {
    if applied.version_id.version == version::Version::NONE {
        return Err(refuse::Refusal::not_run(retry::Reason::NotReady).again(state.pause()));
    }
    if ask.depth >= MOST_DEPTH {
        return Err(refuse::Refusal::not_run(retry::Reason::TooDeep));
    }
    let host = ask.host.as_ref().map(http::uri::Authority::as_str);
    let route = applied.mesh.find(host, &ask.method, ask.path.path());
    route.ok_or(refuse::Refusal::not_run(retry::Reason::NoRoute))
}

/// Longest a call of `kind` may take when its caller waits for `left`.
fn longest(mesh: &mesh::Mesh, kind: mesh::KindKey, left: Option<time::Duration>) -> time::Duration {
    let timeout = mesh.timeout(kind);
    let bound = mesh.kind(kind).timeout.unwrap_or(time::Duration::MAX);
    left.map_or(timeout, |left| left.min(bound))
}

/// Reads a small body whole, until the deadline at most.
async fn intake<C: claim::Claims>(
    state: &state::State<C>,
    incoming: Incoming,
    limit: u64,
    deadline: clock::Instant,
) -> Result<upload::Intake, refuse::Refusal> {
    if deadline.since(state.ctx.now()) == time::Duration::ZERO {
        return Err(refuse::Refusal::not_run(retry::Reason::TooLate).again(state.pause()));
    }
    let wire = received_body::Wire::new(incoming, received_body::Carrier::Plain);
    let bounds = state.bounds(limit);
    let mut pace = upload::AtOnce;
    let read = upload::Intake::read(wire, &bounds, &mut pace);
    match tokio::time::timeout_at(state.timer(deadline), read).await {
        Ok(intake) => intake.map_err(refuse::Refusal::not_run),
        Err(_) => Err(refuse::Refusal::not_run(retry::Reason::TooLate).again(state.pause())),
    }
}
