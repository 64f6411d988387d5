//! The upstream's HTTP endpoints for health, load, control and its record.

use std::convert::Infallible;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body;
use serde_json::json;

use crate::clock::{self, Clock};
use crate::standin::upstream::faults;
use crate::standin::upstream::run;
use crate::standin::upstream::server;
use crate::standin::upstream::state;

/// Maximum size of the body of a control request.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answers one request on the control port: `GET /runs`, `GET /faults`, `POST /control` with
/// a [`faults::Change`] as JSON.
pub async fn serve(
    handle: server::Handle,
    request: http::Request<body::Incoming>,
) -> Result<http::Response<run::Body>, Infallible> {
    let answer = match (request.method(), request.uri().path()) {
        (&http::Method::GET, "/runs") => ok(&handle.record()),
        (&http::Method::GET, "/faults") => ok(&handle.faults()),
        (&http::Method::POST, "/control") => change(&handle, request.into_body()).await,
        _ => run::plain(http::StatusCode::NOT_FOUND, "no such path\n"),
    };
    Ok(answer)
}

/// Response of the health endpoint, which is false or old under the faults `lie` and `lag_ms`.
pub fn health(shared: &state::Shared) -> http::Response<run::Body> {
    let state = shared.state();
    let at = reported_time(shared, &state);
    let leaving = state.drain.is_some_and(|since| since <= at);
    if leaving && !state.faults.lie {
        return run::plain(http::StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    run::plain(http::StatusCode::OK, "serving\n")
}

/// Response of the load endpoint, which is false or old under the faults `lie` and `lag_ms`.
pub fn load(shared: &Arc<state::Shared>) -> http::Response<run::Body> {
    let state = shared.state();
    let running = if state.faults.lie { 0 } else { state.load_at(reported_time(shared, &state)) };
    ok(&json!({ "running": running, "slots": shared.options.slots }))
}

/// The time whose state the health and load endpoints report: now, minus `lag_ms`.
fn reported_time(shared: &state::Shared, state: &state::State) -> clock::Instant {
    let now = shared.clock.now();
    let lag = time::Duration::from_millis(state.faults.lag_ms);
    clock::Instant::ZERO + now.since(clock::Instant::ZERO + lag)
}

async fn change(handle: &server::Handle, body: body::Incoming) -> http::Response<run::Body> {
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return run::plain(http::StatusCode::BAD_REQUEST, "the body can't be read\n");
    };
    match serde_json::from_slice::<faults::Change>(&body.to_bytes()) {
        Ok(change) => {
            handle.control(&change);
            if change.withdraw == Some(true) {
                handle.withdraw().await;
            }
            if change.late_heartbeat == Some(true) {
                handle.announce_late().await;
            }
            ok(&handle.faults())
        }
        Err(error) => run::plain(http::StatusCode::BAD_REQUEST, &format!("{error}\n")),
    }
}

fn ok<T: serde::Serialize>(value: &T) -> http::Response<run::Body> {
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    http::Response::new(Either::Left(Full::new(body)))
}
