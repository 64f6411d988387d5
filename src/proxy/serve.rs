//! The listeners of the call path and the connections that they accept.

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
use crate::proxy::inbound_link;
use crate::proxy::links;
use crate::proxy::peer;
use crate::proxy::state;
use crate::proxy::wiring;
use crate::socket;

/// Delay after a failed accept, which mostly means that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// How long connections are still accepted, and requests on idle connections still answered, after
/// the last call has ended: requests in flight are answered "not run" instead of being cut off.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Binds a listener to `address`.
///
/// # Errors
///
/// The address is in use or does not belong to this host.
pub async fn listen(address: net::SocketAddr) -> Result<TcpListener, error::Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| error::Error::Listen { address, source })
}

/// Serves callers until `closing` is true and the last connection has ended.
pub async fn callers<C: claim::Claims>(
    state: Rc<state::State<C>>,
    listener: TcpListener,
    mut closing: wiring::Closing,
) {
    let mut open = task::JoinSet::new();
    while let Some(stream) = accept(&listener, &mut closing, &mut open).await {
        open.spawn_local(caller(Rc::clone(&state), stream, closing.clone()));
    }
    let close_at = tokio::time::Instant::now() + CLOSE_DELAY;
    while let Ok(accepted) = tokio::time::timeout_at(close_at, listener.accept()).await {
        let Ok((stream, _)) = accepted else { break };
        open.spawn_local(caller(Rc::clone(&state), stream, closing.clone()));
    }
    drop(listener);
    while open.join_next().await.is_some() {}
}

/// Serves other nodes until `closing` is true and the last connection has ended.
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

/// Accepts the next connection; `None` once `closing` is true.
async fn accept(
    listener: &TcpListener,
    closing: &mut wiring::Closing,
    open: &mut task::JoinSet<()>,
) -> Option<TcpStream> {
    loop {
        tokio::select! {
            // A closed channel counts as `true`.
            _ = closing.wait_for(|c| *c) => return None,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => return Some(stream),
                Err(error) => {
                    log::warn!("can't accept a connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = open.join_next() => {}
        }
    }
}

/// Serves the connection of a caller.
async fn caller<C: claim::Claims>(
    state: Rc<state::State<C>>,
    stream: TcpStream,
    closing: wiring::Closing,
) {
    if let Err(error) = socket::configure(&stream) {
        log::debug!("can't set the socket options of a caller's connection: {error}");
        return;
    }
    let bounds = bounds(&state);
    caller::run(state, stream, bounds, closing).await;
}

/// The limits on a caller's connection, from the configuration and the settings when it opens.
fn bounds<C: claim::Claims>(state: &state::State<C>) -> caller::Bounds {
    let limits = state.applied().mesh.limits;
    let proxy = &state.settings.proxy;
    let head_timeout = limits.arrival.unwrap_or(time::Duration::from_millis(proxy.head_ms));
    let head = limits.head.unwrap_or(proxy.head_bytes);
    caller::Bounds {
        idle_timeout: limits.idle.unwrap_or(head_timeout),
        head_timeout,
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
        log::debug!("can't set the socket options of a node's connection: {error}");
        return;
    }
    let authenticated = Rc::new(Cell::new(false));
    let (rejected, mut rejection) = watch::channel(false);
    let answers = service::service_fn(|request| {
        let answer = peer::serve(Rc::clone(&state), Rc::clone(&authenticated), request);
        let rejected = rejected.clone();
        async move { answer.await.inspect_err(|_| rejected.send_modify(|s| *s = true)) }
    });
    let plan = inbound_link::Plan::new(proxy);
    let conn = http2::Builder::new(links::LocalExecutor)
        .timer(TokioTimer::new())
        .initial_stream_window_size(plan.window)
        .initial_connection_window_size(proxy.link_bytes)
        .max_concurrent_streams(proxy.link_calls)
        .max_header_list_size(u32::try_from(proxy.head_bytes).unwrap_or(u32::MAX))
        .serve_connection(TokioIo::new(stream), answers);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        _ = rejection.wait_for(|s| *s) => {
            log::warn!("closed a connection without a valid greeting of this mesh");
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
