//! Registers a host in the directory and looks up the other hosts there.

use std::future;
use std::sync::Arc;
use std::time;

use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::configs;
use crate::host;
use crate::leave;
use crate::logs;
use crate::member::directory;
use crate::mesh;
use crate::node;
use crate::view;

#[cfg(test)]
mod tests;

/// Lists that were fetched and not processed yet.
const CHANNEL_CAPACITY: usize = 4;

/// How often the delay after a failure doubles. From 200 ms it grows to 1.6 s: a host is registered
/// within two seconds of the directory's return, and sends five requests in place of forty during
/// an outage of eight seconds.
const MAX_DOUBLINGS: u32 = 3;

/// Longest time a leaving host may take to deregister.
const DEREGISTER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Longest time a host waits for its upstream. It then registers without one, and again once the
/// upstream has announced itself. In a mesh that starts for the first time upstreams announce
/// themselves after the first configuration, some three seconds after the hosts start.
const UPSTREAM_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Time between the registration of a host and its next look-up. Hosts that start at the same time
/// register meanwhile: their upstreams announce themselves within half a second of each other.
const SECOND_LOOK_DELAY: time::Duration = time::Duration::from_millis(500);

/// Hosts in a list that make a second look-up needless: a host that starts finds those that start at
/// the same time through any one of them.
const MIN_CONTACTS: usize = 8;

/// Time over which the hosts of a mesh register again, each at its own point, after the log was
/// restored from an older copy.
const RELIST_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Input of [`host::HostId::weight`] that separates this order of hosts from other orders.
const PURPOSE: u64 = 0x6c69_7374;

/// This host, as far as its registration needs it.
#[derive(Clone, Debug)]
pub(in crate::member) struct LocalHost {
    /// This host.
    pub host: host::HostId,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Its region and availability zone.
    pub locality: view::Locality,
    /// The upstream beside it.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// Configuration that it runs, whose version contains the epoch of the log.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// Leavings of its upstreams that were acknowledged.
    pub leaves: watch::Receiver<Arc<[leave::Leave]>>,
    /// Those that the directory had when the process started.
    pub listed_leaves: Vec<leave::Leave>,
    /// Receives those that the directory keeps. Dropped at once if it is not shared.
    pub kept_leaves: watch::Sender<Arc<[leave::Leave]>>,
}

impl LocalHost {
    fn profile(&self) -> directory::Profile {
        let upstream = self.local.borrow().as_ref().map(|local| local.upstream.clone());
        directory::Profile {
            incarnation: self.incarnation,
            locality: self.locality.clone(),
            upstream,
            leaves: self.known_leaves(),
        }
    }

    /// The leavings on this host; those that the directory has until the membership has merged
    /// them.
    fn known_leaves(&self) -> Vec<leave::Leave> {
        let known = self.leaves.borrow();
        if known.is_empty() { self.listed_leaves.clone() } else { known.to_vec() }
    }

    /// Reports that the directory keeps `profile`.
    fn report_kept(&self, profile: &directory::Profile) {
        if **self.kept_leaves.borrow() != *profile.leaves {
            self.kept_leaves.send_replace(profile.leaves.as_slice().into());
        }
    }

    /// Waits until the upstream has announced itself, at most for [`UPSTREAM_TIMEOUT`].
    async fn wait_announced(&mut self) {
        let known = self.local.wait_for(Option::is_some);
        // Without an upstream the host registers all the same.
        let _ = tokio::time::timeout(UPSTREAM_TIMEOUT, known).await;
    }

    /// Waits until the log is in a later epoch than `known`, because it was restored from a copy,
    /// and then for this host's part of [`RELIST_WINDOW`]. Returns the epoch.
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

    /// Waits until an upstream has left, or there is one that differs from the one in `listed`. One
    /// that drains or is gone does not count by itself: its host may leave as well and then
    /// deregisters.
    async fn wait_changed(&mut self, listed: Option<&directory::Profile>) {
        loop {
            let changed = tokio::select! {
                changed = self.local.changed() => changed,
                changed = self.leaves.changed() => changed,
            };
            // A closed channel means that the process ends.
            if changed.is_err() {
                return future::pending().await;
            }
            let profile = self.profile();
            if listed.is_some_and(|listed| listed.leaves != profile.leaves) {
                return;
            }
            let serves =
                profile.upstream.as_ref().is_some_and(|u| u.phase != view::Phase::Draining);
            if serves && listed.is_none_or(|listed| !listed.is_like(&profile)) {
                return;
            }
        }
    }
}

/// Keeps a host registered and looks up others; its task ends when it is dropped.
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
    /// Starts the task that registers the host `own` in `directory` and looks up others.
    pub(in crate::member) fn start<D: directory::Directory>(
        directory: D,
        own: LocalHost,
        settings: &configs::member::Member,
    ) -> Self {
        let (sender, found) = mpsc::channel(CHANNEL_CAPACITY);
        let intervals = Intervals {
            refresh: time::Duration::from_millis(settings.seek_ms),
            retry: time::Duration::from_millis(settings.join_ms),
        };
        let fresh = settings.fresh;
        let task = task::spawn_local(async move {
            if directory.is_shared() {
                let task = Task { directory, own, listed: None, contacts: 0, found: sender };
                task.run(intervals, fresh).await;
            }
        });
        Self { found, task }
    }

    /// Waits for the next list of hosts. Never returns after the task has ended, as it does at once
    /// for a directory that is not shared.
    pub(in crate::member) async fn next(&mut self) -> Vec<directory::Listed> {
        match self.found.recv().await {
            Some(hosts) => hosts,
            None => future::pending().await,
        }
    }
}

/// Time between requests to the directory.
#[derive(Clone, Copy)]
struct Intervals {
    /// Time between two look-ups.
    refresh: time::Duration,
    /// Delay after the first failed request.
    retry: time::Duration,
}

impl Intervals {
    /// Delay after `failures` failed rounds in a row.
    fn wait(self, failures: u32) -> time::Duration {
        match failures.checked_sub(1) {
            None => self.refresh,
            Some(doublings) => (self.retry * (1 << doublings.min(MAX_DOUBLINGS))).min(self.refresh),
        }
    }
}

/// The task of one host.
struct Task<D> {
    directory: D,
    own: LocalHost,
    /// The profile of this host that the directory is known to have; `None` when it has none.
    listed: Option<directory::Profile>,
    /// Number of other hosts in the last list.
    contacts: usize,
    found: mpsc::Sender<Vec<directory::Listed>>,
}

impl<D: directory::Directory> Task<D> {
    /// Looks up the hosts at once and then periodically. In a mesh that starts for the first time
    /// (`fresh`) nobody is listed yet, so that a host first registers and gives the others time to
    /// do the same.
    async fn run(mut self, intervals: Intervals, fresh: bool) {
        if fresh {
            self.own.wait_announced().await;
            self.register().await;
            tokio::time::sleep(SECOND_LOOK_DELAY).await;
        }
        let (host, mut applied) = (self.own.host, self.own.applied.clone());
        let mut epoch = applied.borrow().version_id.version.epoch();
        let mut registers_again = false;
        let mut failures = 0;
        let mut due = tokio::time::Instant::now();
        loop {
            let mut ok = true;
            if due <= tokio::time::Instant::now() {
                ok = self.look_up().await;
                if self.found.is_closed() {
                    return;
                }
            }
            let unlisted = self.listed.is_none() && !registers_again;
            registers_again = false;
            if unlisted {
                self.own.wait_announced().await;
            }
            ok &= self.register().await;
            failures = if ok { 0 } else { failures + 1 };
            // Two hosts that look up the list before either is registered find each other by a
            // second look-up.
            let again = unlisted && ok && self.contacts < MIN_CONTACTS;
            let wait = if again { SECOND_LOOK_DELAY } else { intervals.wait(failures) };
            due = tokio::time::Instant::now() + wait;
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.own.wait_changed(self.listed.as_ref()) => {}
                later = LocalHost::wait_restored(&mut applied, host, epoch) => {
                    epoch = later;
                    registers_again = self.listed.take().is_some();
                }
            }
        }
    }

    /// Looks up the hosts and passes the list on; `false` when the request failed.
    async fn look_up(&mut self) -> bool {
        let hosts = match self.directory.hosts().await {
            Ok(hosts) => hosts,
            Err(error) => {
                log::warn!(error:% = error; "can't look up hosts in the directory");
                return false;
            }
        };
        self.contacts = hosts.iter().filter(|listed| listed.host != self.own.host).count();
        let own = hosts.iter().find(|listed| listed.host == self.own.host);
        self.listed = own.and_then(|listed| listed.profile.clone());
        if let Some(listed) = &self.listed {
            self.own.listed_leaves.clone_from(&listed.leaves);
        }
        log::info!(hosts = hosts.len(), listed = own.is_some(); "looked up hosts in the directory");
        // A closed channel means that the duty has ended.
        let _ = self.found.send(hosts).await;
        true
    }

    /// Registers this host unless the directory has the same profile already; `false` when the
    /// request failed.
    async fn register(&mut self) -> bool {
        let profile = self.own.profile();
        if self.listed.as_ref().is_some_and(|listed| listed.is_like(&profile)) {
            self.own.report_kept(&profile);
            return true;
        }
        match self.directory.register(self.own.host, &profile).await {
            Ok(()) => {
                self.own.report_kept(&profile);
                self.listed = Some(profile);
                true
            }
            Err(error) => {
                log::warn!(error:% = error; "can't register this host in the directory");
                false
            }
        }
    }
}

/// Deregisters `host`, giving up after [`DEREGISTER_TIMEOUT`].
pub(in crate::member) async fn deregister<D: directory::Directory>(
    directory: &D,
    host: host::HostId,
) {
    match tokio::time::timeout(DEREGISTER_TIMEOUT, directory.deregister(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::warn!(error:% = error; "can't deregister this host from the directory")
        }
        Err(_) => log::warn!("can't deregister this host: the directory did not answer in time"),
    }
}
