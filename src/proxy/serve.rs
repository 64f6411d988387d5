//! Listeners and the connections they accept.

use std::cell::Cell;
use std::net;
use std::rc::Rc;
use std::time;

use hyper::server::conn::http2;
use hyper::service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

use crate::claim;
use crate::proxy::caller;
use crate::proxy::error;
use crate::proxy::frame;
use crate::proxy::inflow;
use crate::proxy::links;
use crate::proxy::peer;
use crate::proxy::state;
use crate::proxy::wiring;
use crate::socket;

/// Pause after a failed accept: the process is out of descriptors.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// How long connections are still accepted, and requests on idle ones still answered, after the
/// last call has ended: what was on its way then is told "not run" in place of being cut.
const LATE: time::Duration = time::Duration::from_millis(100);

/// Opens a listener.
///
/// # Errors
///
/// The address is taken or not this host's.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, error::Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| error::Error::Listen { address, source })
}

/// Serves callers until `closing`, then until the last connection has ended.
pub async fn callers<C: claim::Claims>(
    state: Rc<state::State<C>>,
    listener: TcpListener,
    mut closing: wiring::Closing,
) {
    let mut open = task::JoinSet::new();
    while let Some(stream) = accept(&listener, &mut closing, &mut open).await {
        open.spawn_local(caller(Rc::clone(&state), stream, closing.clone()));
    }
    let late = tokio::time::Instant::now() + LATE;
    while let Ok(accepted) = tokio::time::timeout_at(late, listener.accept()).await {
        let Ok((stream, _)) = accepted else { break };
        open.spawn_local(caller(Rc::clone(&state), stream, closing.clone()));
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Serves other nodes until `closing`, then until the last connection has ended.
pub async fn nodes<C: claim::Claims>(
    state: Rc<state::State<C>>,
    listener: TcpListener,
    mut closing: wiring::Closing,
) {
    let mut open = task::JoinSet::new();
    while let Some(stream) = accept(&listener, &mut closing, &mut open).await {
        open.spawn_local(node(Rc::clone(&state), stream, closing.clone()));
    }
    while open.join_next().await.is_some() {}
}

/// The next connection; `None` when the listener is to close.
async fn accept(
    listener: &TcpListener,
    closing: &mut wiring::Closing,
    open: &mut task::JoinSet<()>,
) -> Option<TcpStream> {
    loop {
        tokio::select! {
            // A closed channel means the same as `true`.
            _ = closing.wait_for(|c| *c) => return None,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return Some(stream),
                Err(error) => {
                    log::warn!("can't accept a connection: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Serves the connection of one caller.
async fn caller<C: claim::Claims>(
    state: Rc<state::State<C>>,
    stream: TcpStream,
    closing: wiring::Closing,
) {
    if let Err(error) = socket::configure(&stream) {
        log::debug!("a connection of a caller ended at once: {error}");
        return;
    }
    let bounds = bounds(&state);
    caller::run(state, stream, bounds, closing).await;
}

/// What a caller's connection may send, as the configuration and the settings say when it opens.
fn bounds<C: claim::Claims>(state: &state::State<C>) -> caller::Bounds {
    let limits = state.applied().mesh.limits;
    let proxy = &state.settings.proxy;
    let arrival = limits.arrival.unwrap_or(time::Duration::from_millis(proxy.head_ms));
    let head = limits.head.unwrap_or(proxy.head_bytes);
    caller::Bounds {
        idle: limits.idle.unwrap_or(arrival),
        arrival,
        head: frame::Limits { head, fields: proxy.head_count },
    }
}

async fn node<C: claim::Claims>(
    state: Rc<state::State<C>>,
    stream: TcpStream,
    mut closing: wiring::Closing,
) {
    let proxy = &state.settings.proxy;
    if let Err(error) = socket::configure(&stream) {
        log::debug!("a connection of a node ended at once: {error}");
        return;
    }
    let known = Rc::new(Cell::new(false));
    let (stranger, mut strange) = watch::channel(false);
    let answers = service::service_fn(|request| {
        let answer = peer::serve(Rc::clone(&state), Rc::clone(&known), request);
        let stranger = stranger.clone();
        async move { answer.await.inspect_err(|_| stranger.send_modify(|s| *s = true)) }
    });
    let plan = inflow::Plan::new(proxy);
    let conn = http2::Builder::new(links::Here)
        .timer(TokioTimer::new())
        .initial_stream_window_size(plan.window)
        .initial_connection_window_size(proxy.link_bytes)
        .max_concurrent_streams(proxy.link_calls)
        .max_header_list_size(u32::try_from(proxy.head_bytes).unwrap_or(u32::MAX))
        .serve_connection(TokioIo::new(stream), answers);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        _ = strange.wait_for(|s| *s) => {
            log::warn!("a stranger tried to connect as a node");
            return;
        }
        _ = closing.wait_for(|c| *c) => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of a node ended: {error}");
    }
}
