//! Calls of non-idempotent kinds with an idempotency key: the key is claimed before the call runs,
//! and duplicates get the answer of the first call.

use std::rc::Rc;

use http::header;
use tokio::time;

use crate::claim;
use crate::proxy::body;
use crate::proxy::call;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::internode;
use crate::proxy::proof;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::upload;
use crate::retry;

/// Maximum number of claims for one call. Another claim follows if the first call of the key is
/// proven not to have run.
const MAX_CLAIMS: u8 = 3;

/// A claim that is released when it is dropped before its verdict has arrived.
struct Claim<C: claim::Claims> {
    claims: C,
    key: claim::Key,
    attempt: claim::Attempt,
    confirmed: bool,
}

impl<C: claim::Claims> Claim<C> {
    fn release(mut self) {
        self.confirmed = true;
        self.claims.release(self.key, self.attempt);
    }
}

impl<C: claim::Claims> Drop for Claim<C> {
    fn drop(&mut self) {
        if !self.confirmed {
            self.claims.release(self.key, self.attempt);
        }
    }
}

/// Runs a call if it is the first one of its key, or returns the answer of the first call.
///
/// # Errors
///
/// [`retry::Reason::Conflict`] with an unknown outcome if the answer of the first call is not held.
pub async fn run<C: claim::Claims>(
    state: Rc<state::State<C>>,
    call: call::Call,
    unsent: proof::Unsent,
    mut resources: resources::Resources,
    key_header: header::HeaderValue,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let path = call.head.path.path();
    let key = claim::Key::new(call.head.method.as_str(), path, &scope_key(&call, &key_header));
    let request_hash = request_hash(&call);
    for _ in 0..MAX_CLAIMS {
        let attempt = attempt(&state);
        let pending = state
            .held_answers
            .begin(held_answers::CallId { key, number: attempt.number }, request_hash);
        let mut claim = Claim { claims: state.claims.clone(), key, attempt, confirmed: false };
        let verdict = match state.claims.claim(key, attempt, call.deadline).await {
            Ok(verdict) => verdict,
            Err(error) => {
                let refusal = refuse::Refusal::unsent(unsent, claim_cause(error));
                return Err(count_end(&mut resources, refusal));
            }
        };
        claim.confirmed = true;
        let other = match verdict {
            claim::Verdict::First => {
                return first(&state, &call, unsent, resources, (claim, pending)).await;
            }
            claim::Verdict::Taken(other) => other,
        };
        drop(pending);
        if let Some(result) = duplicate(&state, &call, key, other, request_hash).await {
            return result.map_err(|refusal| count_end(&mut resources, refusal));
        }
    }
    let cause = refuse::Cause::new(retry::Reason::Conflict).retry_in(state.retry_delay());
    Err(count_end(&mut resources, refuse::Refusal::unsent(unsent, cause)))
}

/// The key of a caller, which is its organisation's own: another organisation may use the same text
/// for another call.
fn scope_key(call: &call::Call, key: &header::HeaderValue) -> Vec<u8> {
    match &call.caller {
        // Header values contain no zero byte.
        Some(caller) => [caller.name.as_bytes(), &[0], key.as_bytes()].concat(),
        None => key.as_bytes().to_vec(),
    }
}

/// Runs the first call of a key.
async fn first<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    call: &call::Call,
    unsent: proof::Unsent,
    resources: resources::Resources,
    (claim, pending): (Claim<C>, held_answers::PendingAnswer),
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let result = call::run(state, call, unsent, resources).await;
    match &result {
        Ok(answer) => pending.ran(answer),
        Err(refusal) => match held_answers::Released::of(refusal) {
            Some(released) => {
                claim.release();
                pending.released(released);
            }
            None => drop(pending),
        },
    }
    result
}

/// The answer of the key's first call; `None` if that call is proven not to have run.
async fn duplicate<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    call: &call::Call,
    key: claim::Key,
    other: claim::Attempt,
    request_hash: held_answers::RequestHash,
) -> Option<Result<http::Response<body::Reply>, refuse::Refusal>> {
    const UNKNOWN: refuse::Refusal = refuse::Refusal::unknown(retry::Reason::Conflict);
    let id = held_answers::CallId { key, number: other.number };
    let end = state.timer(call.deadline);
    if other.host == state.me {
        return match time::timeout_at(end, state.held_answers.find(id, request_hash)).await {
            Ok(held_answers::FirstCall::Answer(answer)) => Some(Ok(answer.replay())),
            Ok(held_answers::FirstCall::Released(_)) => None,
            Ok(held_answers::FirstCall::Unknown) | Err(_) => Some(Err(UNKNOWN)),
        };
    }
    let request = internode::held_answer_request(id, request_hash, call.deadline, state.ctx.now());
    let Some((request, unsent)) = request else { return Some(Err(UNKNOWN)) };
    let answer = internode::call(&state.links, other.host, request, unsent, end).await;
    match answer.result {
        Ok(answer) => Some(read(state, answer, end).await.map_err(|_| UNKNOWN)),
        Err(refusal) if refusal.outcome() == retry::Outcome::NotRun(retry::Reason::Conflict) => {
            None
        }
        Err(_) => Some(Err(UNKNOWN)),
    }
}

async fn read<C: claim::Claims>(
    state: &state::State<C>,
    answer: http::Response<hyper::body::Incoming>,
    end: time::Instant,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let (parts, incoming) = answer.into_parts();
    let received = received_body::ReceivedBody::new(incoming, received_body::Carrier::Http2);
    let mut resources = resources::Resources::default();
    let reply =
        body::Reply::read(received, state.settings.proxy.whole_bytes, end, &mut resources).await?;
    let mut answer = http::Response::from_parts(parts, reply);
    let held = header::HeaderValue::from_static(headers::HELD);
    answer.headers_mut().insert(headers::ANSWER, held);
    Ok(answer)
}

/// Counts a call that ended before its first attempt.
fn count_end(resources: &mut resources::Resources, refusal: refuse::Refusal) -> refuse::Refusal {
    if let Some(count) = resources.count.take() {
        count.ended(refusal.outcome());
    }
    refusal
}

fn claim_cause(error: claim::Error) -> refuse::Cause {
    match error {
        claim::Error::Unavailable { retry_after } | claim::Error::Busy { retry_after } => {
            refuse::Cause::new(retry::Reason::LogDown).retry_in(retry_after)
        }
        claim::Error::Late => refuse::Cause::new(retry::Reason::TooLate),
    }
}

/// The identity of a claim at this entry node.
fn attempt<C: claim::Claims>(state: &state::State<C>) -> claim::Attempt {
    let incarnation = state.view.borrow().host(state.me).map_or(0, |h| h.incarnation);
    claim::Attempt { host: state.me, incarnation, number: state.next_number() }
}

/// The hash that tells this request from another one with the same key.
fn request_hash(call: &call::Call) -> held_answers::RequestHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.head.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call.head.path.as_str().as_bytes());
    hasher.update(&[0]);
    if let upload::Body::Buffered(body) = &call.body {
        hasher.update(&body.bytes);
    }
    hasher.finalize()
}
