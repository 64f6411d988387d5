//! A caller's call at its entry node, and its attempts.

use std::rc::Rc;
use std::sync::Arc;
use std::time;

use http::header;
use hyper::body::Body as _;

use crate::claim;
use crate::clock;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::proxy::body;
use crate::proxy::call_spec;
use crate::proxy::choice;
use crate::proxy::headers;
use crate::proxy::internode;
use crate::proxy::organisations;
use crate::proxy::owner;
use crate::proxy::proof;
use crate::proxy::queue_weight;
use crate::proxy::refuse;
use crate::proxy::request_head;
use crate::proxy::resources;
use crate::proxy::running_calls;
use crate::proxy::state;
use crate::proxy::trace;
use crate::proxy::upload;
use crate::quarantine;
use crate::retry;
use crate::rollout;

mod remote;
#[cfg(test)]
mod tests;

/// How long after the deadline the owner node's reply is awaited, as it tells whether the call ran.
const REPLY_GRACE: time::Duration = time::Duration::from_millis(5);

/// A call at its entry node.
#[derive(Debug)]
pub struct Call {
    /// Head of the caller's request.
    pub head: request_head::RequestHead,
    /// Body of the caller's request.
    pub body: upload::Body,
    /// Configuration in force when the call arrived.
    pub applied: Arc<mesh::Applied>,
    /// Route of the call in that configuration.
    pub route: mesh::RouteKey,
    /// The service that serves the call, one of those of the route.
    pub service: mesh::ServiceKey,
    /// The organisation that makes the call; `None` if it is not known.
    pub caller: Option<organisations::Caller>,
    /// Whether the call is nested: made by a call that runs at the local upstream.
    pub nested: bool,
    /// Its record beside those of the other nested calls of the same running call; `None` if it is
    /// not nested, or if nested calls are not recorded.
    pub nested_call: Option<running_calls::NestedCall>,
    /// Whether its caller was refused before and returns.
    pub returning: bool,
    /// Time by which the call must be answered to meet its target latency.
    pub target: clock::Instant,
    /// When half of the time between its arrival and its deadline has passed.
    pub halfway: clock::Instant,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}

/// The attempts of a call so far, as [`retry::Call`] counts them.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    attempt: u8,
    limited: u8,
    /// Attempts that reached no upstream and were replaced, as in [`retry::Diversion`].
    diverted: u8,
    /// Attempts in a row that reached no upstream.
    unreachable: u8,
}

/// An attempt that failed.
struct Failed {
    refusal: refuse::Refusal,
    /// `None` if no host was picked.
    host: Option<host::HostId>,
}

impl Call {
    /// The route on which it came.
    pub(super) fn route(&self) -> &mesh::Route {
        self.applied.mesh.route(self.route)
    }

    /// The kind of call, as set by the route.
    pub fn kind(&self) -> &mesh::Kind {
        self.applied.mesh.kind(self.route().kind)
    }

    /// Maximum number of upstreams that it may be sent to, if its route sets one.
    fn max_attempts(&self) -> Option<u8> {
        self.applied.mesh.attempts(self.route)
    }

    /// The service that serves the call. On a split route, it was chosen by the split.
    pub fn service(&self) -> &mesh::Service {
        self.applied.mesh.service(self.service)
    }

    fn class(&self) -> Option<&mesh::Class> {
        let class = self.route().class.filter(|_| self.route().split.is_empty());
        class.map(|c| self.applied.mesh.class(c))
    }

    /// The target to pick for `group`, in the keys of `current`, the configuration from which the
    /// picker's table was built. `None` if that configuration lacks the service or class.
    pub(super) fn target(
        &self,
        current: &Arc<mesh::Applied>,
        group: rollout::VersionGroup,
    ) -> Option<pick::Target> {
        if Arc::ptr_eq(&self.applied, current) {
            let class = self.class().and(self.route().class);
            return Some(pick::Target { service: self.service, class, group });
        }
        let mesh = &current.mesh;
        let service = mesh.services.iter().position(|s| s.name == self.service().name)?;
        let class = match self.class() {
            None => None,
            Some(class) => Some(mesh.classes.iter().position(|c| c.name == class.name)?),
        };
        let key = |index: usize| u16::try_from(index).ok();
        Some(pick::Target {
            service: mesh::ServiceKey(key(service)?),
            class: class.and_then(key).map(mesh::ClassKey),
            group,
        })
    }

    pub(super) fn spec(&self) -> call_spec::CallSpec<'_> {
        call_spec::CallSpec {
            service: &self.service().name,
            class: self.class().map(|c| c.name.as_str()),
            kind: &self.kind().name,
            weight: queue_weight::encode(self.kind(), self.caller.as_ref()),
            organisation: self.caller.as_ref().map(|caller| &caller.name),
            nested: self.nested,
            returning: self.returning,
            target: self.target,
            deadline: self.deadline,
        }
    }

    /// The fingerprint of the request, equal to the one that the owner node computes.
    fn fingerprint(&self, fingerprinter: &quarantine::Fingerprinter) -> quarantine::Fingerprint {
        let head = &self.head;
        let host = head.host.as_ref().map_or("", http::uri::Authority::as_str);
        let body = self.body.attempt();
        fingerprinter.fingerprint(
            head.method.as_str(),
            host,
            head.path.as_str(),
            body.fingerprint_body(),
        )
    }

    /// The request for attempt number `attempt`.
    fn request(&self, attempt: u8, verbose: bool) -> http::Request<upload::Upload> {
        let mut request = http::Request::new(self.body.attempt());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = http::Uri::from(self.head.path.clone());
        let mut map = self.head.headers.clone();
        if verbose {
            let attempt = u16::from(attempt.max(self.head.outer_attempt));
            map.insert(headers::ATTEMPT, header::HeaderValue::from(attempt));
            let depth = u16::from(self.head.depth.saturating_add(1));
            map.insert(headers::DEPTH, header::HeaderValue::from(depth));
        }
        *request.headers_mut() = map;
        request
    }
}

/// Makes attempts until one is answered or no other attempt is allowed.
///
/// # Errors
///
/// The refusal of the last attempt, with an unknown outcome if an earlier attempt may have run.
pub async fn run<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    call: &Call,
    unsent: proof::Unsent,
    resources: resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let result = make_attempts(state, call, unsent, resources).await;
    let failed = result.as_ref().map_or(true, |answer| answer.status().is_server_error());
    if let Some(nested_call) = call.nested_call.as_ref().filter(|_| failed) {
        nested_call.lose();
    }
    result
}

/// Like [`run`], without recording the result of a nested call.
async fn make_attempts<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    call: &Call,
    unsent: proof::Unsent,
    mut resources: resources::Resources,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let mut avoid = Vec::new();
    let mut tries = Tries { attempt: 1, ..Tries::default() };
    let (mut attempts, mut unsent) = proof::Attempts::new(unsent);
    loop {
        let attempt = try_once(state, call, tries, &avoid, unsent, &mut resources);
        let mut failed = match attempt.await {
            Ok(answer) => {
                // The retry budget of a service is a share of its callers' calls. Nested calls may
                // be three times as many and would raise the budget beyond that share.
                if !call.nested {
                    state.budget(call.service(), retry::Budget::record_served);
                }
                return Ok(answer);
            }
            Err(failed) => failed,
        };
        if failed.host.is_none() {
            failed.refusal = attempts.last_or(failed.refusal);
        }
        let outcome = failed.refusal.outcome();
        let diverted = diverts(state, call, tries, &failed, &avoid);
        let decision = if diverted {
            state.running.counts().diverted.inc();
            retry::Decision::Again { avoid: failed.host }
        } else {
            decide(state, call, tries, &failed).await
        };
        log_failure(state, call, tries, &failed, &decision, diverted);
        match decision {
            retry::Decision::Again { avoid: host } => avoid.extend(host),
            // The outcome of the decision is that of the last attempt; an earlier one may have run.
            retry::Decision::Final { retry_after, .. } => {
                let refusal = attempts.end(failed.refusal, retry_after);
                if let Some(count) = resources.count.take() {
                    count.ended(refusal.outcome());
                }
                return Err(refusal);
            }
        }
        unsent = attempts.again(failed.refusal);
        tries.unreachable =
            if outcome.is_unreachable() { tries.unreachable.saturating_add(1) } else { 0 };
        if outcome.is_limited() {
            tries.limited += 1;
        } else if diverted {
            tries.diverted += 1;
        } else {
            tries.attempt += 1;
        }
    }
}

/// Whether the failed attempt is replaced by one at another host. `avoid` are the hosts of the
/// attempts before.
fn diverts<C: claim::Claims>(
    state: &state::State<C>,
    call: &Call,
    tries: Tries,
    failed: &Failed,
    avoid: &[host::HostId],
) -> bool {
    if !state.settings.call.divert_unreachable {
        return false;
    }
    let diversion = retry::Diversion {
        diverted: tries.diverted,
        repeated: failed.host.is_some_and(|host| avoid.contains(&host)),
        run_time: state.run_times.borrow().mean(&call.kind().name).unwrap_or_default(),
        run_lost: call.nested_call.as_ref().is_some_and(running_calls::NestedCall::is_run_lost),
    };
    let facts = facts(state, call, tries, failed);
    retry::diverts(&facts, &diversion, failed.refusal.outcome(), state.ctx.now())
}

/// Decides what follows the failed attempt. A nested call may wait for the others of its running
/// call before.
async fn decide<C: claim::Claims>(
    state: &state::State<C>,
    call: &Call,
    tries: Tries,
    failed: &Failed,
) -> retry::Decision {
    let facts = facts(state, call, tries, failed);
    let outcome = failed.refusal.outcome();
    let Some(nested_call) = &call.nested_call else {
        let now = state.ctx.now();
        return state.budget(call.service(), |budget| retry::decide(&facts, outcome, budget, now));
    };
    loop {
        let (others, now) = (nested_call.others(), state.ctx.now());
        let decision = state.budget(call.service(), |budget| {
            retry::decide_nested(&facts, others, call.halfway, outcome, budget, now)
        });
        match decision {
            retry::NestedDecision::Decided(decision) => return decision,
            retry::NestedDecision::GiveUp(decision) => {
                state.running.counts().given_up.inc();
                return decision;
            }
            retry::NestedDecision::Wait { until } => {
                nested_call.wait_others(state.timer(until)).await;
            }
        }
    }
}

/// The state of `call` after an attempt that failed.
fn facts<C: claim::Claims>(
    state: &state::State<C>,
    call: &Call,
    tries: Tries,
    failed: &Failed,
) -> retry::Call {
    retry::Call {
        idempotent: call.kind().idempotent,
        attempt: tries.attempt,
        limited: tries.limited,
        max_attempts: call.max_attempts().unwrap_or(state.settings.call.attempts),
        depth: call.head.depth.max(u8::from(call.nested)),
        outer_attempt: call.head.outer_attempt,
        deadline: call.deadline,
        answered_bytes: 0,
        buffered: call.body.is_repeatable(),
        host: failed.host,
        retry_after: failed.refusal.retry_after(),
    }
}

/// Logs a failed attempt and whether another one follows.
fn log_failure<C: claim::Claims>(
    state: &state::State<C>,
    call: &Call,
    tries: Tries,
    failed: &Failed,
    decision: &retry::Decision,
    diverted: bool,
) {
    let now = state.ctx.now();
    let attempt = trace::Attempt {
        id: &call.head.id,
        route: &call.route().name,
        service: &call.service().name,
        host: failed.host,
        number: tries.attempt,
        outcome: failed.refusal.outcome(),
        by: failed.refusal.by(),
        again: matches!(decision, retry::Decision::Again { .. }),
        diverted,
        budget: state.budget(call.service(), |budget| budget.remaining()),
        others: call.nested_call.as_ref().and_then(running_calls::NestedCall::others),
        nested: call.nested,
        remaining: call.deadline.since(now),
    };
    state.trace.attempt(&attempt, now);
}

/// Makes a single attempt.
async fn try_once<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    call: &Call,
    tries: Tries,
    avoid: &[host::HostId],
    unsent: proof::Unsent,
    resources: &mut resources::Resources,
) -> Result<http::Response<body::Reply>, Failed> {
    // Checked before each attempt: retries would carry a request that crashes upstreams to each
    // one.
    let check = state.quarantine.check_entry(|| call.fingerprint(&state.fingerprinter));
    let no_host = |refusal| Failed { refusal, host: None };
    let ((), unsent) = unsent.check(check).map_err(no_host)?;
    let choice = unsent.check(choice::choose(state, call, avoid));
    let (choice, unsent) = choice.map_err(no_host)?;
    resources.start_attempt(state.ctx, &state.picker, choice);
    let mut request = call.request(tries.attempt, state.dialect.verbose);
    let result = if choice.host == state.me {
        internode::set_host(&mut request, call.head.host.as_ref());
        let result = owner::run(state, &call.spec(), request, unsent, resources).await;
        if let Some(attempt) = resources.attempt.as_mut().filter(|_| result.is_err()) {
            attempt.set_load(Some(state.slots.load()), state.relayed_notice());
        }
        result
    } else {
        remote::run(state, call, tries, choice.host, request, unsent, resources).await
    };
    record_old(state, call, choice.target.group, &result);
    if let Ok(answer) = &result {
        let bytes = answer.body().size_hint();
        let bytes = bytes.exact().unwrap_or(bytes.lower());
        state.sizes.borrow_mut().record(&call.kind().name, bytes);
    }
    result.map_err(|refusal| {
        call.body.end_attempt();
        let fault = call.body.fault();
        if let Some(attempt) = resources.attempt.as_mut().filter(|_| fault.is_some()) {
            attempt.record_broken_off();
        }
        let outcome = resources.fail_attempt(refusal.outcome(), refusal.retry_after());
        let refusal = with_body_fault(refusal.weakened_to(outcome), fault);
        Failed { refusal, host: Some(choice.host) }
    })
}

/// Records an answer of the old version of a service during a roll-out.
fn record_old<C: claim::Claims>(
    state: &state::State<C>,
    call: &Call,
    group: rollout::VersionGroup,
    result: &Result<http::Response<body::Reply>, refuse::Refusal>,
) {
    if group != rollout::VersionGroup::Old {
        return;
    }
    if let Some(observation) = state.observation(&call.kind().name, result) {
        state.rollouts.record_old(&call.service().name, &call.route().name, observation);
    }
}

/// Replaces the reason of an unknown outcome by that of the request's body, if the body ended
/// early.
fn with_body_fault(refusal: refuse::Refusal, fault: Option<retry::Reason>) -> refuse::Refusal {
    match fault {
        Some(fault) if !refusal.is_not_run() => refusal.weakened(fault),
        _ => refusal,
    }
}
