//! The upstream as a server in this process.

use std::future;
use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use tokio::sync::{Notify, watch};

use crate::standin::accept;
use crate::standin::upstream::announce;
use crate::standin::upstream::control;
use crate::standin::upstream::faults;
use crate::standin::upstream::options;
use crate::standin::upstream::record;
use crate::standin::upstream::run;
use crate::standin::upstream::state;

/// How often a draining upstream looks whether it is idle.
const LOOK: time::Duration = time::Duration::from_millis(20);
/// Longest time a draining upstream waits for its calls to end.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// An upstream that is bound to its ports and waits for [`Server::serve`].
#[derive(Debug)]
pub struct Server {
    calls: tokio::net::TcpListener,
    controls: tokio::net::TcpListener,
    handle: Handle,
}

/// Control of a running upstream.
#[derive(Clone, Debug)]
pub struct Handle {
    shared: Arc<state::Shared>,
    woken: Arc<Notify>,
    address: net::SocketAddr,
    control: net::SocketAddr,
}

/// One open connection.
struct Open(Arc<state::Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

impl Server {
    /// Binds the ports of the upstream that `options` describe.
    pub async fn bind(options: options::Options) -> io::Result<Self> {
        let calls = tokio::net::TcpListener::bind(options.address).await?;
        let controls = tokio::net::TcpListener::bind(options.control).await?;
        let handle = Handle {
            address: calls.local_addr()?,
            control: controls.local_addr()?,
            shared: state::Shared::new(options),
            woken: Arc::new(Notify::new()),
        };
        Ok(Self { calls, controls, handle })
    }

    /// Control of this upstream, also while it serves.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Serves until `stop` is ready; then drains: announces it, runs calls on for the grace time,
    /// ends those in flight, withdraws the announcement and returns.
    pub async fn serve(self, stop: impl future::Future<Output = ()>) {
        let handle = self.handle;
        let (closed, closing) = watch::channel(false);
        let calls = tokio::spawn(calls(self.calls, closing.clone(), handle.clone()));
        let controls = tokio::spawn(controls(self.controls, closing, handle.clone()));
        let heartbeat = handle.shared.options.admin.map(|admin| {
            let woken = Arc::clone(&handle.woken);
            let shared = Arc::clone(&handle.shared);
            tokio::spawn(announce::repeat(shared, admin, handle.address, woken))
        });
        stop.await;
        handle.drain();
        handle.idle().await;
        if let (Some(admin), Some(heartbeat)) = (handle.shared.options.admin, heartbeat) {
            heartbeat.abort();
            announce::withdraw(admin).await;
        }
        closed.send_replace(true);
        let _ended = tokio::join!(calls, controls);
    }
}

async fn calls(listener: tokio::net::TcpListener, closing: watch::Receiver<bool>, handle: Handle) {
    let shared = handle.shared;
    let door = Arc::clone(&shared);
    let serve = move |request| run::serve(Arc::clone(&shared), request);
    accept::serve(listener, closing, || enter(&door), serve).await;
}

async fn controls(
    listener: tokio::net::TcpListener,
    closing: watch::Receiver<bool>,
    handle: Handle,
) {
    let serve = move |request| control::serve(handle.clone(), request);
    accept::serve(listener, closing, || Some(()), serve).await;
}

/// Takes one more connection unless the upstream is dead or has enough.
fn enter(shared: &Arc<state::Shared>) -> Option<Open> {
    let mut state = shared.state();
    if state.faults.dead == faults::Dead::Refuse {
        return None;
    }
    if state.open >= u32::from(shared.options.connections) {
        state.record.refusals += 1;
        return None;
    }
    state.open += 1;
    Some(Open(Arc::clone(shared)))
}

impl Handle {
    /// Where it takes calls.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Where it takes control and tells its record.
    pub fn control_address(&self) -> net::SocketAddr {
        self.control
    }

    /// Changes its faults, or starts to drain.
    pub fn control(&self, change: &faults::Change) {
        {
            let mut state = self.shared.state();
            state.faults = state.faults.with(change);
        }
        if change.drain == Some(true) {
            self.drain();
        }
    }

    /// Faults in force.
    pub fn faults(&self) -> faults::Faults {
        self.shared.state().faults
    }

    /// What it ran so far.
    pub fn record(&self) -> record::Record {
        self.shared.state().record.clone()
    }

    /// Announces that it drains and runs calls on for the grace time only.
    pub fn drain(&self) {
        self.shared.drain();
        self.woken.notify_one();
    }

    /// Waits until the grace time is over and no call runs.
    async fn idle(&self) {
        tokio::time::sleep(self.shared.options.grace).await;
        let all = async {
            while self.shared.state().running > 0 {
                tokio::time::sleep(LOOK).await;
            }
        };
        let _idle = tokio::time::timeout(PATIENCE, all).await;
    }
}
