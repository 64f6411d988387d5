//! Receives the answer of the local upstream, once it is known to be that of the request.

use std::rc::Rc;
use std::time::Duration;

use http::header;
use hyper::body::Body as _;
use tokio::task;
use tokio::time;

use crate::claim;
use crate::clock;
use crate::node;
use crate::proxy::answer;
use crate::proxy::body;
use crate::proxy::call_spec;
use crate::proxy::pool;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::retry;

/// Maximum size of an answer that is read only to reuse its connection.
const MAX_SHED_BYTES: u64 = 4096;

/// Maximum time for which such an answer is read.
const MAX_SHED_TIME: Duration = Duration::from_millis(100);

/// A request that was sent to the local upstream.
pub(super) struct Sent<'a> {
    pub local: &'a node::LocalUpstream,
    pub method: &'a http::Method,
    /// Id of the request, if it has one.
    pub id: Option<&'a header::HeaderValue>,
    /// When the request arrived at this node.
    pub arrived: clock::Instant,
    /// When it got its slot.
    pub began: clock::Instant,
    /// When its answer is no longer awaited.
    pub end: time::Instant,
}

/// Learns what the upstream says of itself in `answer`.
pub(super) fn read_notices<C: claim::Claims, B>(
    state: &state::State<C>,
    local: &node::LocalUpstream,
    answer: &http::Response<B>,
) {
    let now = state.ctx.now();
    if state.notices.read(local, &state.dialect, answer.headers(), &state.trace, now) {
        state.apply_notice();
    }
}

/// Receives the `answer` to a request that ran. A streamed answer takes `resources` along, with the
/// connection of `lease`.
pub(super) async fn receive<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    spec: &call_spec::CallSpec<'_>,
    sent: &Sent<'_>,
    answer: http::Response<hyper::body::Incoming>,
    lease: pool::Lease,
    resources: &mut resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    if let Some(run) = resources.run.as_mut() {
        run.set_status(answer.status());
    }
    let (mut parts, incoming) = answer.into_parts();
    request_head::strip(&mut parts.headers);
    if *sent.method != http::Method::HEAD && parts.status != http::StatusCode::NOT_MODIFIED {
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    let ran = call_spec::RunTime(state.ctx.now().since(sent.began));
    parts.extensions.insert(ran);
    state.record_run_time(spec.kind, parts.status, ran, resources);
    let notice = state.notices.relayed(sent.local);
    resources.record_head(parts.status, Some(state.slots.load()), notice);
    let received = received_body::ReceivedBody::metered(incoming, lease.meter());
    let whole_bytes = state.settings.proxy.whole_bytes;
    let is_short = received.size_hint().exact().is_some_and(|size| size <= whole_bytes);
    let reply = if is_short {
        let reply = read_short(state, sent, &parts, received, lease).await?;
        resources.complete();
        reply
    } else {
        resources.lease = Some(lease);
        body::Reply::read(received, whole_bytes, sent.end, resources).await?
    };
    log_ran(state, spec, sent);
    Ok(http::Response::from_parts(parts, reply))
}

/// Reads the whole body of a short answer with a length.
///
/// The body of an answer that was cut may be filled up by the next one, the rest of which then ends
/// the connection. What else the call holds must be released only once that is ruled out.
async fn read_short<C: claim::Claims>(
    state: &state::State<C>,
    sent: &Sent<'_>,
    parts: &http::response::Parts,
    received: received_body::ReceivedBody,
    lease: pool::Lease,
) -> Result<body::Reply, refuse::Refusal> {
    let failed = lease.failed();
    let mut upstream =
        resources::Resources { lease: Some(lease), ..resources::Resources::default() };
    let whole_bytes = state.settings.proxy.whole_bytes;
    let reply = body::Reply::read(received, whole_bytes, sent.end, &mut upstream).await?;
    let failed = failed.is_some_and(|failed| failed.get());
    if failed && reply.bytes().is_some_and(|bytes| answer::has_status_line(bytes)) {
        let echo = parts.headers.get(&state.dialect.id).cloned();
        let mismatch = answer::Mismatch::Merged;
        let rejected = answer::Rejected { mismatch, echo, status: Some(parts.status) };
        return Err(disbelieve(state, sent.local, sent.id, rejected));
    }
    Ok(reply)
}

/// Logs a call that ran, if it has an id.
fn log_ran<C: claim::Claims>(
    state: &state::State<C>,
    spec: &call_spec::CallSpec<'_>,
    sent: &Sent<'_>,
) {
    let Some(id) = sent.id else { return };
    let now = state.ctx.now();
    let ran = trace::Ran {
        id,
        kind: spec.kind,
        organisation: spec.organisation,
        waited: sent.began.since(sent.arrived),
        ran: now.since(sent.began),
        load: state.slots.load(),
        reserved: state.slots.reserved().slots,
        remaining: spec.deadline.since(now),
    };
    state.trace.ran(&ran, now);
}

/// Releases the connection of a call that its upstream has rejected by `answer`; `progress` is that of
/// the request's body.
pub(super) fn release_rejected<C: claim::Claims>(
    state: &state::State<C>,
    answer: http::Response<hyper::body::Incoming>,
    mut lease: pool::Lease,
    progress: &upload::Progress,
    end: time::Instant,
) {
    lease.record_rejected(answer.headers().get(&state.dialect.id));
    if progress.is_complete() {
        release_shed(answer, lease, end);
        return;
    }
    // The connection is reset. Otherwise the rest of the upload would still be sent, and the upstream
    // would have the whole request after the caller was told that it does not run.
    drop(lease);
}

/// Releases the connection of a shed call once the answer has been read to its end. The call
/// doesn't wait for that: its outcome is known from the head.
fn release_shed(
    answer: http::Response<hyper::body::Incoming>,
    mut lease: pool::Lease,
    end: time::Instant,
) {
    if answer.body().is_end_stream() {
        lease.release();
        return;
    }
    let end = end.min(time::Instant::now() + MAX_SHED_TIME);
    task::spawn_local(async move {
        let received = received_body::ReceivedBody::metered(answer.into_body(), lease.meter());
        let mut resources =
            resources::Resources { lease: Some(lease), ..resources::Resources::default() };
        // If the body is long or breaks off, the connection is closed, which is fine.
        let _ = body::Reply::read(received, MAX_SHED_BYTES, end, &mut resources).await;
    });
}
/// Counts and logs an answer that is not believed, and returns the refusal of its call.
pub(super) fn disbelieve<C: claim::Claims>(
    state: &state::State<C>,
    local: &node::LocalUpstream,
    id: Option<&header::HeaderValue>,
    rejected: answer::Rejected,
) -> refuse::Refusal {
    state.answers.record(rejected.mismatch);
    let disbelieved = trace::Disbelieved { id, local, rejected };
    state.trace.disbelieved(&disbelieved, state.ctx.now());
    refuse::Refusal::unknown(retry::Reason::Malformed)
}
