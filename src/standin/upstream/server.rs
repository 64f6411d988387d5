//! The server of an upstream, and the handle that controls it.

use std::future;
use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use tokio::sync::{Notify, watch};

use crate::clock::Clock as _;
use crate::standin::accept;
use crate::standin::upstream::announce;
use crate::standin::upstream::connections;
use crate::standin::upstream::control;
use crate::standin::upstream::faults;
use crate::standin::upstream::options;
use crate::standin::upstream::record;
use crate::standin::upstream::state;

/// How often a draining upstream checks whether calls still run.
const IDLE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// How long a draining upstream waits for running calls after the grace time.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// An upstream that is bound to its ports; [`Server::serve`] runs it.
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

    /// A handle that controls this upstream, also while it serves.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Serves until `stop` is ready, then drains: it announces the drain, accepts calls for the
    /// grace time, waits for running calls, withdraws the announcement and returns.
    pub async fn serve(self, stop: impl future::Future<Output = ()>) {
        let handle = self.handle;
        let (closed, closing) = watch::channel(false);
        let calls = connections::serve(self.calls, closing.clone(), Arc::clone(&handle.shared));
        let calls = tokio::spawn(calls);
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
            announce::withdraw(&handle.shared, admin).await;
        }
        closed.send_replace(true);
        let _ended = tokio::join!(calls, controls);
    }
}

async fn controls(
    listener: tokio::net::TcpListener,
    closing: watch::Receiver<bool>,
    handle: Handle,
) {
    let serve = move |request| control::serve(handle.clone(), request);
    accept::serve(listener, closing, || Some(()), serve).await;
}

impl Handle {
    /// Address of the port for calls.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Address of the port for control and the record.
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

    /// The calls it has run so far.
    pub fn record(&self) -> record::Record {
        self.shared.state().record.clone()
    }

    /// Announces its drain and accepts calls for the grace time only.
    pub fn drain(&self) {
        self.shared.drain();
        self.woken.notify_one();
    }

    /// Withdraws its announcement, and records when the node acknowledged that.
    pub async fn withdraw(&self) {
        let Some(admin) = self.shared.options.admin else { return };
        if announce::withdraw(&self.shared, admin).await {
            let unix_ms = self.shared.clock.unix_millis();
            self.shared.state().record.withdrawn_unix_ms.get_or_insert(unix_ms);
        }
    }

    /// Announces itself once more after it has withdrawn, as a heartbeat that arrives late.
    pub async fn announce_late(&self) {
        let withdrawn = self.shared.state().withdrawn;
        if let Some(admin) = self.shared.options.admin.filter(|_| withdrawn) {
            announce::announce(&self.shared, admin, self.address).await;
        }
    }

    /// Waits for the grace time and then until no call runs, at most for [`DRAIN_TIMEOUT`].
    async fn idle(&self) {
        tokio::time::sleep(self.shared.options.grace).await;
        let all = async {
            while self.shared.state().running > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        let _idle = tokio::time::timeout(DRAIN_TIMEOUT, all).await;
    }
}
