//! Non-idempotent calls with an idempotency key: claimed before they run, answered once.

use std::rc::Rc;

use http::header;
use tokio::time;

use crate::claim;
use crate::proxy::body;
use crate::proxy::call;
use crate::proxy::headers;
use crate::proxy::held_answers;
use crate::proxy::internode;
use crate::proxy::received_body;
use crate::proxy::refuse;
use crate::proxy::resources;
use crate::proxy::state;
use crate::proxy::upload;
use crate::retry;

/// Claims made for one call: another one follows when the first call of the key is proven not to
/// have run.
const CLAIMS: u8 = 3;

/// A claim that is given up when its call ends before it was sent anywhere.
struct Claim<C: claim::Claims> {
    claims: C,
    key: claim::Key,
    attempt: claim::Attempt,
    stands: bool,
}

impl<C: claim::Claims> Claim<C> {
    fn release(mut self) {
        self.stands = true;
        self.claims.release(self.key, self.attempt);
    }
}

impl<C: claim::Claims> Drop for Claim<C> {
    fn drop(&mut self) {
        if !self.stands {
            self.claims.release(self.key, self.attempt);
        }
    }
}

/// Runs a call once for its key, or answers it with the answer of the key's first call.
///
/// # Errors
///
/// [`retry::Reason::Conflict`] as unknown when the first call's answer is not held.
pub async fn run<C: claim::Claims>(
    state: Rc<state::State<C>>,
    job: call::Job,
    mut hold: resources::Hold,
    text: header::HeaderValue,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let path = job.ask.path.path();
    let key = claim::Key::new(job.ask.method.as_str(), path, text.as_bytes());
    let print = print(&job);
    for _ in 0..CLAIMS {
        let attempt = attempt(&state);
        let flying = state.held.begin(held_answers::Name { key, number: attempt.number }, print);
        let mut claim = Claim { claims: state.claims.clone(), key, attempt, stands: false };
        let verdict = match state.claims.claim(key, attempt, job.deadline).await {
            Ok(verdict) => verdict,
            Err(error) => return Err(end(&mut hold, unclaimed(error))),
        };
        claim.stands = true;
        let other = match verdict {
            claim::Verdict::First => return first(&state, &job, hold, claim, flying).await,
            claim::Verdict::Taken(other) => other,
        };
        drop(flying);
        if let Some(result) = duplicate(&state, &job, key, other, print).await {
            return result.map_err(|refusal| end(&mut hold, refusal));
        }
    }
    let refusal = refuse::Refusal::not_run(retry::Reason::Conflict).again(state.pause());
    Err(end(&mut hold, refusal))
}

/// Runs the key's first call.
async fn first<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    job: &call::Job,
    hold: resources::Hold,
    claim: Claim<C>,
    flying: held_answers::Flying,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let result = call::run(state, job, hold).await;
    match &result {
        Ok(answer) => flying.ran(answer),
        Err(refusal) if matches!(refusal.outcome, retry::Outcome::NotRun(_)) => {
            claim.release();
            flying.released();
        }
        Err(_) => drop(flying),
    }
    result
}

/// The answer of the key's first call; `None` when that call is proven not to have run.
async fn duplicate<C: claim::Claims>(
    state: &Rc<state::State<C>>,
    job: &call::Job,
    key: claim::Key,
    other: claim::Attempt,
    print: held_answers::Print,
) -> Option<Result<http::Response<body::Reply>, refuse::Refusal>> {
    const GONE: refuse::Refusal = refuse::Refusal::unknown(retry::Reason::Conflict);
    let name = held_answers::Name { key, number: other.number };
    let end = state.timer(job.deadline);
    if other.host == state.me {
        return match time::timeout_at(end, state.held.find(name, print)).await {
            Ok(held_answers::Found::Answer(answer)) => Some(Ok(answer.replay())),
            Ok(held_answers::Found::Released) => None,
            Ok(held_answers::Found::Gone) | Err(_) => Some(Err(GONE)),
        };
    }
    let request = internode::ask(name, print, job.deadline, state.ctx.now());
    let Some(request) = request else { return Some(Err(GONE)) };
    let answer = internode::call(&state.links, other.host, request, end).await;
    match answer.result {
        Ok(answer) => Some(read(state, answer, end).await.map_err(|_| GONE)),
        Err(refuse::Refusal {
            outcome: retry::Outcome::NotRun(retry::Reason::Conflict), ..
        }) => None,
        Err(_) => Some(Err(GONE)),
    }
}

async fn read<C: claim::Claims>(
    state: &state::State<C>,
    answer: http::Response<hyper::body::Incoming>,
    end: time::Instant,
) -> Result<http::Response<body::Reply>, refuse::Refusal> {
    let (parts, incoming) = answer.into_parts();
    let wire = received_body::Wire::new(incoming, received_body::Carrier::Inner);
    let mut hold = resources::Hold::default();
    let reply = body::Reply::read(wire, state.settings.proxy.whole_bytes, end, &mut hold).await?;
    let mut answer = http::Response::from_parts(parts, reply);
    let held = header::HeaderValue::from_static(headers::HELD);
    answer.headers_mut().insert(headers::ANSWER, held);
    Ok(answer)
}

/// Counts the end of a call that did not get as far as an attempt.
fn end(hold: &mut resources::Hold, refusal: refuse::Refusal) -> refuse::Refusal {
    if let Some(count) = hold.count.take() {
        count.ended(refusal.outcome);
    }
    refusal
}

fn unclaimed(error: claim::Error) -> refuse::Refusal {
    match error {
        claim::Error::Unavailable { retry_after } | claim::Error::Busy { retry_after } => {
            refuse::Refusal::not_run(retry::Reason::LogDown).again(retry_after)
        }
        claim::Error::Late => refuse::Refusal::not_run(retry::Reason::TooLate),
    }
}

/// Names the claim of one call at this entry.
fn attempt<C: claim::Claims>(state: &state::State<C>) -> claim::Attempt {
    let incarnation = state.view.borrow().host(state.me).map_or(0, |h| h.incarnation);
    claim::Attempt { host: state.me, incarnation, number: state.number() }
}

/// What tells this request from another one with the same key.
fn print(job: &call::Job) -> held_answers::Print {
    let mut hasher = blake3::Hasher::new();
    hasher.update(job.ask.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(job.ask.path.as_str().as_bytes());
    hasher.update(&[0]);
    if let upload::Intake::Kept(kept) = &job.intake {
        hasher.update(&kept.bytes);
    }
    hasher.finalize()
}
