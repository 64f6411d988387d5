//! Accepts HTTP/1.1 connections on one port and closes them gracefully.

use std::convert::Infallible;
use std::error;
use std::future;
use std::io;
use std::time;

use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::sync::watch;
use tokio::task;

/// How long connections may take to end once the port is closed.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Accepts connections until `stop` is true, then lets each end after its current response.
/// `enter` returns the guard that a new connection holds until it ends; `None` closes it at once.
pub async fn serve<E, G, H, F, B>(
    listener: net::TcpListener,
    stop: watch::Receiver<bool>,
    enter: E,
    handle: H,
) where
    E: Fn() -> Option<G>,
    G: Send + 'static,
    H: Fn(http::Request<body::Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = Result<http::Response<B>, Infallible>> + Send + 'static,
    B: body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let mut tasks = task::JoinSet::new();
    let mut closed = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|stop| *stop) => break,
            Some(_) = tasks.join_next() => continue,
        };
        match (accepted, enter()) {
            (Ok((stream, _)), Some(guard)) => {
                tasks.spawn(connection(stream, handle.clone(), stop.clone(), guard));
            }
            (Ok(_), None) => {}
            (Err(error), _) => back_off(&error).await,
        }
    }
    drop(listener);
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, all).await;
}

async fn connection<G, H, F, B>(
    stream: net::TcpStream,
    handle: H,
    mut stop: watch::Receiver<bool>,
    guard: G,
) where
    H: Fn(http::Request<body::Incoming>) -> F,
    F: future::Future<Output = Result<http::Response<B>, Infallible>>,
    B: body::Body + 'static,
    B::Error: Into<Box<dyn error::Error + Send + Sync>>,
{
    let _delay = stream.set_nodelay(true);
    let io = rt::TokioIo::new(stream);
    let served = http1::Builder::new().serve_connection(io, service::service_fn(handle));
    tokio::pin!(served);
    let ended = tokio::select! {
        _ = served.as_mut() => true,
        _ = stop.wait_for(|stop| *stop) => false,
    };
    if !ended {
        served.as_mut().graceful_shutdown();
        let _ended = served.await;
    }
    drop(guard);
}

/// Pauses after a failed accept, so that a lack of file descriptors causes no busy loop.
async fn back_off(error: &io::Error) {
    log::warn!("can't accept a connection: {error}");
    tokio::time::sleep(time::Duration::from_millis(50)).await;
}
