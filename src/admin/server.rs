//! HTTP server of the operators' port.

use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task;

use crate::admin::announce;
use crate::admin::reply::{self, Refusal, Reply};
use crate::admin::state;

/// Path prefix at which an upstream announces itself, followed by the name of its instance.
const INSTANCES: &str = "/upstream/";

/// Maximum size of an announcement.
const MAX_BODY_BYTES: usize = 4096;

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Accepts connections until it is aborted, with at most `connections` open at a time.
pub async fn accept(listener: TcpListener, state: Rc<state::State>, connections: usize) {
    let permits = Arc::new(Semaphore::new(connections.max(1)));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, peer)) => {
                let state = Rc::clone(&state);
                task::spawn_local(async move {
                    connection(stream, peer, state).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection on the operators' port");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, peer: net::SocketAddr, state: Rc<state::State>) {
    let handler = service::service_fn(move |request| {
        let state = Rc::clone(&state);
        async move { Ok::<_, std::convert::Infallible>(handle(&state, peer.ip(), request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(rt::TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    let served = builder.serve_connection(rt::TokioIo::new(stream), handler).await;
    if let Err(error) = served {
        log::debug!(error:% = error; "a connection on the operators' port failed");
    }
}

async fn handle(
    state: &state::State,
    peer: net::IpAddr,
    request: http::Request<body::Incoming>,
) -> Reply {
    let mesh_wide = request.uri().query() == Some("mesh=1");
    let path = request.uri().path();
    if let Some(instance) = path.strip_prefix(INSTANCES).map(SmolStr::new) {
        return handle_upstream(state, peer, &instance, request).await;
    }
    match (request.method(), path) {
        (&http::Method::GET, "/live") => reply::empty(),
        (&http::Method::GET, "/ready") => ready(state),
        (&http::Method::GET, "/metrics") => reply::text(reply::OPENMETRICS, state.metrics()),
        (&http::Method::GET, "/status") if mesh_wide => mesh_status(state).await,
        (&http::Method::GET, "/status") => reply::json(http::StatusCode::OK, &state.status()),
        (&http::Method::GET, "/burn") if mesh_wide => mesh_burn(state).await,
        (&http::Method::GET, "/burn") => reply::json(http::StatusCode::OK, &state.burn()),
        (&http::Method::PUT | &http::Method::DELETE, "/upstream") => {
            handle_upstream(state, peer, &SmolStr::default(), request).await
        }
        (_, "/burn" | "/live" | "/ready" | "/metrics" | "/status" | "/upstream") => {
            reply::refuse(Refusal::Method)
        }
        _ => reply::refuse(Refusal::Path),
    }
}

fn ready(state: &state::State) -> Reply {
    let readiness = state.readiness();
    let status = if readiness.ready() {
        http::StatusCode::OK
    } else {
        http::StatusCode::SERVICE_UNAVAILABLE
    };
    reply::json(status, &readiness)
}

async fn mesh_status(state: &state::State) -> Reply {
    match state.mesh_status().await {
        Some(status) => reply::json(http::StatusCode::OK, &status),
        None => reply::refuse(Refusal::Busy),
    }
}

async fn mesh_burn(state: &state::State) -> Reply {
    match state.mesh_burn().await {
        Some(report) => reply::json(http::StatusCode::OK, &report),
        None => reply::refuse(Refusal::Busy),
    }
}

async fn handle_upstream(
    state: &state::State,
    peer: net::IpAddr,
    instance: &SmolStr,
    request: http::Request<body::Incoming>,
) -> Reply {
    if !matches!(*request.method(), http::Method::DELETE | http::Method::PUT) {
        return reply::refuse(Refusal::Method);
    }
    if !state.admits(peer) {
        return reply::refuse(Refusal::Peer);
    }
    let withdraws = request.method() == http::Method::DELETE;
    let Some(body) = read_body(request.into_body()).await else {
        return reply::refuse(Refusal::Body);
    };
    if withdraws {
        return withdraw(state, instance, &body).await;
    }
    let announcement = match serde_json::from_slice::<announce::Announcement>(&body) {
        Ok(announcement) => announcement,
        Err(error) => return refuse_body(instance, &error),
    };
    let result = state.announce(instance, announcement);
    state.secure_leaves().await;
    match result {
        Ok(()) => reply::empty(),
        // The announcement is kept, or the sender has nothing to correct.
        Err(fault) if fault.needs_no_correction() => {
            reply::problem(http::StatusCode::ACCEPTED, fault)
        }
        Err(fault) => reply::problem(http::StatusCode::UNPROCESSABLE_ENTITY, fault),
    }
}

/// Handles a withdrawal, whose body may be empty.
async fn withdraw(state: &state::State, instance: &SmolStr, body: &[u8]) -> Reply {
    let withdrawal = match body {
        [] => Ok(None),
        body => serde_json::from_slice::<Option<announce::Withdrawal>>(body),
    };
    let withdrawal = withdrawal.map(Option::unwrap_or_default);
    match withdrawal {
        Ok(withdrawal) => {
            log::info!(
                instance:% = instance, born:? = withdrawal.born;
                "the upstream has withdrawn"
            );
            state.withdraw(instance, withdrawal);
            state.secure_leaves().await;
            reply::empty()
        }
        Err(error) => refuse_body(instance, &error),
    }
}

/// Refuses a body that can't be parsed; the current announcement stays in force.
fn refuse_body(instance: &SmolStr, error: &serde_json::Error) -> Reply {
    log::warn!(instance:% = instance, error:% = error; "cannot parse the body sent by an upstream");
    reply::refuse(Refusal::Body)
}

async fn read_body(body: body::Incoming) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(collected.to_bytes())
}
