//! One call: decides whether it runs, reads the request, waits for its time and responds.

use std::convert::Infallible;
use std::process;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body;
use smol_str::SmolStr;

use crate::clock::Clock;
use crate::proxy::headers;
use crate::standin::upstream;
use crate::standin::upstream::control;
use crate::standin::upstream::faults;
use crate::standin::upstream::state;

mod reply;

/// Body of a response: a short text or JSON, or the body of a call that ran.
pub type Body = Either<Full<Bytes>, reply::Reply>;

/// Length of the filler if the request's query names none.
const DEFAULT_FILLER_BYTES: u64 = 256;

/// Exit code of the process when a call crashes it, the same as after a panic.
const CRASH_EXIT_CODE: i32 = 101;

/// A running call, which holds a slot until it is dropped.
struct Running {
    shared: Arc<state::Shared>,
    id: SmolStr,
    completed: bool,
}

impl Running {
    fn complete(&mut self) {
        self.completed = true;
        self.shared.state().record.end(&self.id);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.running -= 1;
        if !self.completed {
            state.record.cancel(&self.id);
        }
    }
}

/// The call that a request makes.
struct Call {
    id: SmolStr,
    key: Option<SmolStr>,
    path: SmolStr,
    remaining: Option<time::Duration>,
    bytes: u64,
    time: Option<time::Duration>,
}

impl Call {
    fn from_request(request: &http::Request<body::Incoming>) -> Self {
        let text = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
        let remaining = text(headers::DEADLINE).and_then(|v| v.parse().ok());
        Self {
            id: SmolStr::new(text(headers::REQUEST_ID).unwrap_or_default()),
            key: text(headers::IDEMPOTENCY_KEY).map(SmolStr::new),
            path: SmolStr::new(request.uri().path()),
            remaining: remaining.map(time::Duration::from_millis),
            bytes: query(request.uri(), "bytes").unwrap_or(DEFAULT_FILLER_BYTES),
            time: query(request.uri(), "ms").map(time::Duration::from_millis),
        }
    }
}

/// Responds to one request on the port for calls.
pub async fn serve(
    shared: Arc<state::Shared>,
    request: http::Request<body::Incoming>,
) -> Result<http::Response<Body>, Infallible> {
    match request.uri().path() {
        "/health" => Ok(control::health(&shared)),
        "/load" => Ok(control::load(&shared)),
        _ => Ok(call(&shared, request).await),
    }
}

async fn call(
    shared: &Arc<state::Shared>,
    request: http::Request<body::Incoming>,
) -> http::Response<Body> {
    let call = Call::from_request(&request);
    let mut answer = match start(shared, &call) {
        state::Verdict::Run(time) => run(shared, &call, time, request.into_body()).await,
        state::Verdict::Shed => {
            // The connection, on which the copy is sent, stays open only if the request was read.
            if shared.state().faults.repeat > 0.0 {
                let _hash = hash(request.into_body()).await;
            }
            shed()
        }
        state::Verdict::Hang => std::future::pending().await,
    };
    say(shared, &call.id, answer.headers_mut());
    echo(&call.id, answer.headers_mut());
    answer
}

/// Sets the header that tells to which request the response belongs.
fn echo(id: &SmolStr, map: &mut http::HeaderMap) {
    if !id.is_empty()
        && let Ok(id) = http::HeaderValue::from_str(id)
    {
        map.insert(headers::REQUEST_ID, id);
    }
}

/// Sets the headers that tell what the upstream says of itself in its response to the call `id`, and
/// records them, unless the response is broken off: nobody may receive that one.
fn say(shared: &state::Shared, id: &SmolStr, map: &mut http::HeaderMap) {
    let mut state = shared.state();
    let faults::Faults { limit, leaving, .. } = state.faults;
    if !state.cuts(&shared.options, id) {
        state.record.say(limit, leaving, shared.clock.unix_millis());
    }
    if limit > 0.0
        && let Ok(limit) = http::HeaderValue::from_str(&limit.to_string())
    {
        map.insert(headers::LIMIT, limit);
    }
    if leaving {
        map.insert(headers::LEAVING, http::HeaderValue::from_static(headers::LEAVES));
    }
}

/// Decides about the call; takes the slot and updates the record under the same lock.
fn start(shared: &state::Shared, call: &Call) -> state::Verdict {
    let now = shared.clock.now();
    let unix_ms = shared.clock.unix_millis();
    let mut state = shared.state();
    state.arrivals += 1;
    let verdict = state.decide(&shared.options, &call.path, &call.id, call.remaining, now);
    match verdict {
        state::Verdict::Run(_) => {
            state.running += 1;
            state.record.peak = state.record.peak.max(state.running);
            state.record.start(&call.id, call.key.as_ref(), &call.path, unix_ms);
        }
        state::Verdict::Shed => state.record.sheds += 1,
        state::Verdict::Hang => {}
    }
    let running = state.running;
    state.record_load(now, running);
    verdict
}

async fn run(
    shared: &Arc<state::Shared>,
    call: &Call,
    time: time::Duration,
    body: body::Incoming,
) -> http::Response<Body> {
    let mut running = Running { shared: Arc::clone(shared), id: call.id.clone(), completed: false };
    let began = shared.clock.now();
    let Some(hash) = hash(body).await else {
        return plain(http::StatusCode::BAD_REQUEST, "the request's body is not whole\n");
    };
    let end = began + call.time.unwrap_or(time);
    let deadline = call.remaining.map(|remaining| began + remaining);
    let until = deadline.map_or(end, |deadline| deadline.min(end));
    tokio::time::sleep(until.since(shared.clock.now())).await;
    if until < end {
        return plain(http::StatusCode::GATEWAY_TIMEOUT, "the deadline has passed\n");
    }
    if shared.options.crashes(&call.path) {
        process::exit(CRASH_EXIT_CODE);
    }
    running.complete();
    respond(call, &hash, running)
}

fn respond(call: &Call, hash: &str, running: Running) -> http::Response<Body> {
    let (cut, trickle) = {
        let state = running.shared.state();
        let cut = state.cuts(&running.shared.options, &call.id);
        (cut, time::Duration::from_millis(state.faults.trickle_ms))
    };
    let reply = reply::Reply::new(&call.id, hash, call.bytes, running).trickle(trickle).cut(cut);
    http::Response::new(Either::Right(reply))
}

/// Hash of the complete body in hexadecimal; `None` if the body is truncated.
async fn hash(mut body: body::Incoming) -> Option<String> {
    let mut hasher = blake3::Hasher::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            hasher.update(&data);
        }
    }
    Some(hasher.finalize().to_hex().to_string())
}

fn shed() -> http::Response<Body> {
    let mut answer = plain(http::StatusCode::SERVICE_UNAVAILABLE, "shed\n");
    let value = http::HeaderValue::from_static(upstream::SHED);
    answer.headers_mut().insert(upstream::HEADER, value);
    answer
}

/// A response with a short text.
pub fn plain(status: http::StatusCode, text: &str) -> http::Response<Body> {
    let mut answer = http::Response::new(Either::Left(Full::new(Bytes::from(text.to_owned()))));
    *answer.status_mut() = status;
    answer
}

/// The value of the parameter `name` in the query of `uri`; `None` if absent or not a number.
fn query(uri: &http::Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok())
}
