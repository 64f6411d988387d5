//! An attempt of a call at the upstream beside another node.

use std::time;

use http::header;

use crate::claim;
use crate::host;
use crate::proxy::attempt;
use crate::proxy::body;
use crate::proxy::call;
use crate::proxy::headers;
use crate::proxy::internode;
use crate::proxy::proof;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::retry;

/// Makes an attempt at the upstream beside another node.
pub(super) async fn run<C: claim::Claims>(
    state: &state::State<C>,
    call: &call::Call,
    tries: call::Tries,
    host: host::HostId,
    mut request: http::Request<upload::Upload>,
    unsent: proof::Unsent,
    resources: &mut resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let now = state.ctx.now();
    let wrapped = internode::wrap(&mut request, call.head.host.as_ref(), &call.spec(), now);
    let ((), unsent) = unsent.check(wrapped)?;
    if let Some(notice) = state.heard.borrow_mut().header(host, now) {
        request.headers_mut().insert(headers::NOTICE, notice);
    }
    let run = state.run_times.borrow().mean(&call.kind().name);
    if let Some(attempt) = resources.attempt.as_mut() {
        attempt.set_expected(attempt::Expected { run, deadline: call.deadline });
    }
    let end = state.timer(call.deadline) + call::REPLY_GRACE;
    let wait = (end, connect_timeout(state, call, tries));
    let resent = |map: &header::HeaderMap, connection| {
        let to = trace::Destination::Node(host);
        state.record_resent(&trace::Resent { id: map.get(&state.dialect.id), to, connection });
    };
    let answer = internode::call_within(&state.links, host, request, unsent, wait, resent);
    let mut answer = answer.await;
    answer.bound_ran(state.ctx.now().since(now));
    // A refusal without a notice tells nothing: the node may have started anew and not know its
    // upstream yet.
    if answer.notice.is_some() || answer.ran.is_some() {
        state.heard.borrow_mut().record(host, answer.notice, state.ctx.now());
    }
    if let Some(attempt) = resources.attempt.as_mut() {
        if answer.responded {
            attempt.record_response();
        }
        attempt.set_load(answer.load, answer.notice);
        attempt.record_held(answer.held);
    }
    if answer.given_up {
        report_given_up(resources);
    }
    let (mut parts, incoming) = answer.result?.into_parts();
    if let Some(ran) = answer.ran {
        parts.extensions.insert(ran);
        state.record_run_time(&call.kind().name, parts.status, ran, resources);
    }
    resources.record_head(parts.status, answer.load, answer.notice);
    let received = received_body::ReceivedBody::new(incoming, received_body::Carrier::Http2);
    let reply =
        body::Reply::read(received, state.settings.proxy.whole_bytes, end, resources).await?;
    Ok(http::Response::from_parts(parts, reply))
}

/// Reports an attempt that gave up the wait for a connection before `connect_ms` had passed. The
/// picker would eject an unreachable host for all calls, and this one may be live.
pub(super) fn report_given_up(resources: &mut resources::Resources) {
    if let Some(attempt) = resources.attempt.take() {
        attempt.end(retry::Event::Refused(retry::Reason::TooLate));
    }
}

/// How long the next attempt waits for a connection to another node; `None`: as long as the
/// connections wait by themselves.
fn connect_timeout<C: claim::Claims>(
    state: &state::State<C>,
    call: &call::Call,
    tries: call::Tries,
) -> Option<time::Duration> {
    state.settings.call.divert_unreachable.then(|| {
        let usual = time::Duration::from_millis(state.settings.proxy.connect_ms);
        let remaining = call.deadline.since(state.ctx.now());
        retry::connect_timeout(tries.unreachable, remaining, usual)
    })
}
