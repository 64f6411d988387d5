//! Where the hosts of a mesh find one another.

use std::error;
use std::future;
use std::net;
use std::time;

use tokio::sync::mpsc;
use tokio::task;

use crate::configs;
use crate::host;

#[cfg(test)]
mod tests;

/// Hosts that were found and have not been taken up yet.
const FOUND: usize = 4;

/// How often the wait after a failure doubles. With 200 ms at first it grows to 1.6 s: a host is
/// listed within two seconds of the directory's return, and asks it five times in place of forty
/// in eight seconds without it.
const MOST_DOUBLED: u32 = 3;

/// Longest a leaving host may take to strike itself off.
const LEAVE: time::Duration = time::Duration::from_millis(400);

/// A place that names hosts of the mesh to those that start.
///
/// The names need not be current: a host that is gone is found out by asking it.
pub trait Directory: Clone + Send + 'static {
    /// Why the directory did not answer.
    type Error: error::Error + Send + Sync + 'static;

    /// Whether other hosts may be listed at all; a host waits for its first look when they may.
    fn is_shared(&self) -> bool;

    /// Lists `host`.
    fn enter(&self, host: host::HostId) -> impl future::Future<Output = Result<(), Self::Error>>;

    /// The hosts that are listed.
    fn hosts(&self) -> impl future::Future<Output = Result<Vec<host::HostId>, Self::Error>>;

    /// Strikes `host` off.
    fn leave(&self, host: host::HostId) -> impl future::Future<Output = Result<(), Self::Error>>;
}

/// The directory of a node whose settings name the hosts to join.
#[derive(Clone, Debug)]
pub struct Fixed(Vec<host::HostId>);

impl Fixed {
    /// The hosts with these base addresses.
    pub fn new(addresses: &[net::SocketAddr]) -> Self {
        Self(addresses.iter().copied().map(host::HostId::new).collect())
    }
}

impl Directory for Fixed {
    type Error = std::convert::Infallible;

    fn is_shared(&self) -> bool {
        false
    }

    async fn enter(&self, _host: host::HostId) -> Result<(), Self::Error> {
        Ok(())
    }

    async fn hosts(&self) -> Result<Vec<host::HostId>, Self::Error> {
        Ok(self.0.clone())
    }

    async fn leave(&self, _host: host::HostId) -> Result<(), Self::Error> {
        Ok(())
    }
}

/// Keeps a host listed and looks for others; ends when dropped.
#[derive(Debug)]
pub(super) struct Search {
    found: mpsc::Receiver<Vec<host::HostId>>,
    task: task::JoinHandle<()>,
}

impl Drop for Search {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Search {
    /// Lists `host` in `directory` and begins to look.
    pub(super) fn start<D: Directory>(
        directory: D,
        host: host::HostId,
        settings: &configs::member::Member,
    ) -> Self {
        let (sender, found) = mpsc::channel(FOUND);
        let pace = Pace {
            again: time::Duration::from_millis(settings.seek_ms),
            retry: time::Duration::from_millis(settings.join_ms),
        };
        let task = task::spawn_local(async move {
            if directory.is_shared() {
                search(&directory, host, pace, &sender).await;
            }
        });
        Self { found, task }
    }

    /// The hosts of the next look. Never ends once there is nothing left to look for.
    pub(super) async fn next(&mut self) -> Vec<host::HostId> {
        match self.found.recv().await {
            Some(hosts) => hosts,
            None => future::pending().await,
        }
    }
}

/// How often the directory is asked.
#[derive(Clone, Copy)]
struct Pace {
    /// Time between two looks.
    again: time::Duration,
    /// Time before a failed request is tried again.
    retry: time::Duration,
}

impl Pace {
    /// Wait after `failures` rounds in a row that did not succeed.
    fn wait(self, failures: u32) -> time::Duration {
        match failures.checked_sub(1) {
            None => self.again,
            Some(before) => (self.retry * (1 << before.min(MOST_DOUBLED))).min(self.again),
        }
    }
}

async fn search<D: Directory>(
    directory: &D,
    host: host::HostId,
    pace: Pace,
    found: &mpsc::Sender<Vec<host::HostId>>,
) {
    let mut listed = false;
    let mut failures = 0;
    loop {
        if !listed {
            match directory.enter(host).await {
                Ok(()) => listed = true,
                Err(error) => log::warn!(error:% = error; "could not list this host"),
            }
        }
        let looked = match directory.hosts().await {
            Ok(hosts) => {
                if found.send(hosts).await.is_err() {
                    return;
                }
                true
            }
            Err(error) => {
                log::warn!(error:% = error; "could not look for other hosts");
                false
            }
        };
        failures = if listed && looked { 0 } else { failures + 1 };
        tokio::time::sleep(pace.wait(failures)).await;
    }
}

/// Strikes `host` off, as far as that succeeds in a short time.
pub(super) async fn leave<D: Directory>(directory: &D, host: host::HostId) {
    match tokio::time::timeout(LEAVE, directory.leave(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(error:% = error; "this host stays listed"),
        Err(_) => log::warn!("this host stays listed: the directory did not answer in time"),
    }
}
