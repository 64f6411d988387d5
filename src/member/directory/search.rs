//! How a host lists itself in the directory and looks for others there.

use std::future;
use std::sync::Arc;
use std::time;

use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::configs;
use crate::host;
use crate::logs;
use crate::member::directory;
use crate::mesh;
use crate::node;
use crate::view;

#[cfg(test)]
mod tests;

/// Hosts that were found and have not been taken up yet.
const CHANNEL_CAPACITY: usize = 4;

/// How often the wait after a failure doubles. With 200 ms at first it grows to 1.6 s: a host is
/// listed within two seconds of the directory's return, and asks it five times in place of forty
/// in eight seconds without it.
const MAX_DOUBLINGS: u32 = 3;

/// Longest a leaving host may take to strike itself off.
const DEREGISTER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Longest that a host waits for its upstream before it lists itself without one, and once more when
/// that comes. In a mesh that starts for the first time upstreams hold from the first configuration
/// on, some three seconds after the hosts start.
const UPSTREAM_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Time from listing itself to the look after it: what hosts that start beside this one need to list
/// themselves, whose upstreams announce themselves within half a second of each other.
const SECOND_LOOK_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time over which the hosts of a mesh list themselves again after the log came back from an older copy.
const RELIST_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Tells the order in which hosts do so from other orders of theirs.
const PURPOSE: u64 = 0x6c69_7374;

/// What a host knows of itself.
#[derive(Clone, Debug)]
pub(in crate::member) struct Own {
    /// This host.
    pub host: host::HostId,
    /// Number of this life of its process.
    pub incarnation: u64,
    /// Where it stands.
    pub locality: view::Locality,
    /// The upstream beside it.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// Configuration that it runs, which tells the epoch of the log.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
}

impl Own {
    fn profile(&self) -> directory::Profile {
        let upstream = self.local.borrow().as_ref().map(|local| local.upstream.clone());
        directory::Profile {
            incarnation: self.incarnation,
            locality: self.locality.clone(),
            upstream,
        }
    }

    /// Waits until the upstream has announced itself, for a while at most.
    async fn wait_announced(&mut self) {
        let known = self.local.wait_for(Option::is_some);
        // Without one the host lists itself all the same.
        let _ = tokio::time::timeout(UPSTREAM_TIMEOUT, known).await;
    }

    /// Waits for an epoch of the log after `known`, and then for this host's turn in it; gives the epoch.
    async fn wait_restored(
        applied: &mut watch::Receiver<Arc<mesh::Applied>>,
        host: host::HostId,
        known: logs::Epoch,
    ) -> logs::Epoch {
        let later = applied.wait_for(|applied| applied.version_id.version.epoch() > known).await;
        // A closed channel means that the process ends.
        let Ok(epoch) = later.map(|applied| applied.version_id.version.epoch()) else {
            return future::pending().await;
        };
        let turn = host.weight(PURPOSE, epoch) as f64 / u64::MAX as f64;
        tokio::time::sleep(RELIST_WINDOW.mul_f64(turn)).await;
        epoch
    }

    /// Waits until there is an upstream that `listed` does not tell of. One that is leaving, or gone,
    /// says nothing new: its host may follow it, and then strikes itself off.
    async fn wait_changed(&mut self, listed: Option<&directory::Profile>) {
        loop {
            // A closed channel means that the process ends.
            if self.local.changed().await.is_err() {
                return future::pending().await;
            }
            let profile = self.profile();
            let serves =
                profile.upstream.as_ref().is_some_and(|u| u.phase != view::Phase::Draining);
            if serves && listed.is_none_or(|listed| !listed.is_like(&profile)) {
                return;
            }
        }
    }
}

/// Keeps a host listed and looks for others; ends when dropped.
#[derive(Debug)]
pub(in crate::member) struct Search {
    found: mpsc::Receiver<Vec<directory::Listed>>,
    task: task::JoinHandle<()>,
}

impl Drop for Search {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Search {
    /// Lists the host `own` in `directory` and begins to look.
    pub(in crate::member) fn start<D: directory::Directory>(
        directory: D,
        own: Own,
        settings: &configs::member::Member,
    ) -> Self {
        let (sender, found) = mpsc::channel(CHANNEL_CAPACITY);
        let pace = Intervals {
            refresh: time::Duration::from_millis(settings.seek_ms),
            retry: time::Duration::from_millis(settings.join_ms),
        };
        let fresh = settings.fresh;
        let task = task::spawn_local(async move {
            if directory.is_shared() {
                Seeker { directory, own, listed: None, found: sender }.run(pace, fresh).await;
            }
        });
        Self { found, task }
    }

    /// The hosts of the next look. Never ends once there is nothing left to look for.
    pub(in crate::member) async fn next(&mut self) -> Vec<directory::Listed> {
        match self.found.recv().await {
            Some(hosts) => hosts,
            None => future::pending().await,
        }
    }
}

/// How often the directory is asked.
#[derive(Clone, Copy)]
struct Intervals {
    /// Time between two looks.
    refresh: time::Duration,
    /// Time before a failed request is tried again.
    retry: time::Duration,
}

impl Intervals {
    /// Wait after `failures` rounds in a row that did not succeed.
    fn wait(self, failures: u32) -> time::Duration {
        match failures.checked_sub(1) {
            None => self.refresh,
            Some(before) => (self.retry * (1 << before.min(MAX_DOUBLINGS))).min(self.refresh),
        }
    }
}

/// The search of one host.
struct Seeker<D> {
    directory: D,
    own: Own,
    /// What the directory is known to hold of this host.
    listed: Option<directory::Profile>,
    found: mpsc::Sender<Vec<directory::Listed>>,
}

impl<D: directory::Directory> Seeker<D> {
    /// Looks at once and then now and then. In a mesh that starts for the first time nobody is listed
    /// yet, so that a host lists itself and gives the others time to do so.
    async fn run(mut self, pace: Intervals, fresh: bool) {
        if fresh {
            self.own.wait_announced().await;
            self.register().await;
            tokio::time::sleep(SECOND_LOOK_DELAY).await;
        }
        let (host, mut applied) = (self.own.host, self.own.applied.clone());
        let mut epoch = applied.borrow().version_id.version.epoch();
        let mut relists = false;
        let mut failures = 0;
        let mut due = tokio::time::Instant::now();
        loop {
            let mut well = true;
            if due <= tokio::time::Instant::now() {
                well = self.look_up().await;
                if self.found.is_closed() {
                    return;
                }
            }
            let stranger = self.listed.is_none() && !relists;
            relists = false;
            if stranger {
                self.own.wait_announced().await;
            }
            well &= self.register().await;
            failures = if well { 0 } else { failures + 1 };
            // Two strangers that look before either is listed find each other with a second look.
            let wait = if stranger && well { SECOND_LOOK_DELAY } else { pace.wait(failures) };
            due = tokio::time::Instant::now() + wait;
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.own.wait_changed(self.listed.as_ref()) => {}
                later = Own::wait_restored(&mut applied, host, epoch) => {
                    epoch = later;
                    relists = self.listed.take().is_some();
                }
            }
        }
    }

    /// Asks who is there; `false` when there is no answer.
    async fn look_up(&mut self) -> bool {
        let hosts = match self.directory.hosts().await {
            Ok(hosts) => hosts,
            Err(error) => {
                log::warn!(error:% = error; "could not look for other hosts");
                return false;
            }
        };
        let own = hosts.iter().find(|listed| listed.host == self.own.host);
        self.listed = own.and_then(|listed| listed.profile.clone());
        log::info!(hosts = hosts.len(), listed = own.is_some(); "looked for other hosts");
        // A closed channel means that the duty has ended.
        let _ = self.found.send(hosts).await;
        true
    }

    /// Lists this host unless the directory tells the same of it already; `false` when that failed.
    async fn register(&mut self) -> bool {
        let profile = self.own.profile();
        if self.listed.as_ref().is_some_and(|listed| listed.is_like(&profile)) {
            return true;
        }
        match self.directory.register(self.own.host, &profile).await {
            Ok(()) => {
                self.listed = Some(profile);
                true
            }
            Err(error) => {
                log::warn!(error:% = error; "could not list this host");
                false
            }
        }
    }
}

/// Strikes `host` off, as far as that succeeds in a short time.
pub(in crate::member) async fn deregister<D: directory::Directory>(
    directory: &D,
    host: host::HostId,
) {
    match tokio::time::timeout(DEREGISTER_TIMEOUT, directory.deregister(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::warn!(error:% = error; "this host stays listed"),
        Err(_) => log::warn!("this host stays listed: the directory did not answer in time"),
    }
}
