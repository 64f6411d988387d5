//! Accepts the connections for calls. Their answers may be repeated, see [`repeat`].

use std::sync::Arc;
use std::time;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::sync::watch;
use tokio::task;

use crate::standin::upstream::faults;
use crate::standin::upstream::options;
use crate::standin::upstream::repeat;
use crate::standin::upstream::run;
use crate::standin::upstream::state;

/// How long connections may take to end once the port is closed.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause after a failed accept, so that a lack of file descriptors causes no busy loop.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Maximum time from an answer to its copy under [`repeat::How::Delayed`]. Longer than a short call,
/// so that some copies arrive while the next call runs.
const MAX_COPY_DELAY: time::Duration = time::Duration::from_millis(40);

/// Counts one open connection until it is dropped.
struct OpenConnection(Arc<state::Shared>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

impl repeat::Source for Arc<state::Shared> {
    fn copies(&self, head: &repeat::Head) -> Option<repeat::Copies> {
        let faults = self.state().faults;
        let share = |purpose| options::share(self.options.seed, purpose, &head.id);
        let repeated = faults.repeat_of.covers(head.rejection) && share("repeat") < faults.repeat;
        let delay = MAX_COPY_DELAY.mul_f64(share("delay"));
        repeated.then_some(repeat::Copies { how: faults.repeat_how, delay })
    }

    fn record(&self) {
        self.state().record.repeats += 1;
    }
}

/// Accepts connections until `closing` is true, then lets each end after its current answer.
pub async fn serve(
    listener: net::TcpListener,
    mut closing: watch::Receiver<bool>,
    shared: Arc<state::Shared>,
) {
    let mut tasks = task::JoinSet::new();
    let stop = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
            Some(_) = tasks.join_next() => continue,
        };
        match (accepted, admit(&shared)) {
            (Ok((stream, _)), Some(guard)) => {
                tasks.spawn(connection(stream, guard, stop.clone()));
            }
            (Ok(_), None) => {}
            (Err(error), _) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let all = async { while tasks.join_next().await.is_some() {} };
    let _ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, all).await;
}

/// Admits a connection, unless the upstream refuses all or has too many; `None` refuses it.
fn admit(shared: &Arc<state::Shared>) -> Option<OpenConnection> {
    let mut state = shared.state();
    if state.faults.dead == faults::Dead::Refuse {
        return None;
    }
    if state.open >= u32::from(shared.options.connections) {
        state.record.refusals += 1;
        return None;
    }
    state.open += 1;
    Some(OpenConnection(Arc::clone(shared)))
}

async fn connection(
    stream: net::TcpStream,
    guard: OpenConnection,
    mut closing: watch::Receiver<bool>,
) {
    let _delay = stream.set_nodelay(true);
    let shared = &guard.0;
    let io = rt::TokioIo::new(repeat::Stream::new(stream, Arc::clone(shared)));
    let calls = service::service_fn(|request| run::serve(Arc::clone(shared), request));
    let served = http1::Builder::new().serve_connection(io, calls);
    tokio::pin!(served);
    let ended = tokio::select! {
        _ = served.as_mut() => true,
        _ = closing.wait_for(|closing| *closing) => false,
    };
    if !ended {
        served.as_mut().graceful_shutdown();
        let _ended = served.await;
    }
}
