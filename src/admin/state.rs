//! State shared by the connections of the operators' port, and the reports made from it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::{Semaphore, oneshot, watch};

use crate::admin::{announce, mesh_status, metrics, query, scatter, status};
use crate::burn::{counts, report};
use crate::clock::Clock as _;
use crate::configs;
use crate::context;
use crate::host;
use crate::leave;
use crate::logs::reachability;
use crate::mesh;
use crate::node;
use crate::rollout;
use crate::traffic;
use crate::view;

/// Maximum number of concurrent reports on the whole mesh.
pub(super) const MAX_REPORTS: usize = 2;

/// Maximum time for which the answer to an upstream that leaves waits until other nodes are told.
/// The upstream waits for a second.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Maximum time for which that answer then waits until the directory keeps the leaving.
const KEEP_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// State shared by the connections of the port.
#[derive(Debug)]
pub struct State {
    pub(super) ctx: context::Context,
    pub(super) host: host::HostId,
    pub(super) locality: view::Locality,
    pub(super) settings: configs::admin::Admin,
    pub(super) applied: watch::Receiver<Arc<mesh::Applied>>,
    pub(super) view: watch::Receiver<Arc<view::View>>,
    pub(super) trial: watch::Receiver<rollout::TrialReport>,
    pub(super) leaving: watch::Receiver<Option<u32>>,
    pub(super) leaves: leave::AdminSide,
    pub(super) local: watch::Sender<Option<Arc<node::LocalUpstream>>>,
    pub(super) reachability: watch::Receiver<reachability::Reachability>,
    pub(super) metrics: metrics::Metrics,
    pub(super) stage: watch::Receiver<node::Stage>,
    pub(super) traffic: Arc<traffic::Traffic>,
    pub(super) announcements: RefCell<announce::Registry>,
    pub(super) counts: RefCell<counts::Counts>,
    /// When this duty received the applied configuration, in milliseconds since the Unix epoch.
    pub(super) applied_unix_ms: Cell<Option<u64>>,
    pub(super) report_permits: Semaphore,
}

/// The conditions under which the node may take calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Readiness {
    /// It runs an accepted configuration.
    pub configured: bool,
    /// It considers itself a member of the mesh.
    pub member: bool,
    /// It is not being stopped.
    pub running: bool,
}

impl Readiness {
    /// Whether the node may take calls.
    pub const fn ready(self) -> bool {
        self.configured && self.member && self.running
    }
}

impl State {
    /// Whether `peer` may announce an upstream.
    pub fn admits(&self, peer: std::net::IpAddr) -> bool {
        self.announcements.borrow().admits(peer)
    }

    /// Applies an announcement; see [`announce::Registry::announce`].
    ///
    /// # Errors
    ///
    /// Returns why it was not applied.
    pub fn announce(
        &self,
        instance: &SmolStr,
        announcement: announce::Announcement,
    ) -> Result<(), announce::Fault> {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        let result =
            self.announcements.borrow_mut().announce(instance, announcement, self.ctx.now(), &mesh);
        self.publish();
        result
    }

    /// Withdraws the announcement of `instance`.
    pub fn withdraw(&self, instance: &SmolStr, withdrawal: announce::Withdrawal) {
        self.announcements.borrow_mut().withdraw(instance, withdrawal.born);
        self.publish();
    }

    /// Takes over what other nodes know of leavings that an earlier process of this node
    /// acknowledged.
    pub(super) fn learn_leaves(&self, known: &[leave::Leave]) {
        let mut announcements = self.announcements.borrow_mut();
        for leave in known.iter().filter(|leave| announcements.learn(**leave)) {
            log::info!(born:? = leave.born; "learned of an upstream that has left this host");
        }
    }

    /// Tells other nodes of the leavings that were not reported yet, and returns these once the
    /// first of those nodes were told.
    pub(super) async fn report_leaves(&self) -> Vec<leave::Leave> {
        let mut reported = Vec::new();
        loop {
            let unreported = self.announcements.borrow_mut().take_unreported();
            let Some(leave) = unreported else { return reported };
            reported.push(leave);
            let (told, answer) = oneshot::channel();
            let report = async {
                self.leaves.reports.send(leave::Report { leave, told }).await.ok()?;
                answer.await.ok()
            };
            if !matches!(tokio::time::timeout(REPORT_TIMEOUT, report).await, Ok(Some(()))) {
                log::warn!("could not tell other nodes in time that the upstream leaves");
            }
        }
    }

    /// Like [`State::report_leaves`], and returns once the directory keeps the leavings too, so that
    /// they can be acknowledged.
    pub(super) async fn secure_leaves(&self) {
        let reported = self.report_leaves().await;
        let kept = async {
            for leave in &reported {
                self.leaves.wait_kept(leave).await;
            }
        };
        if tokio::time::timeout(KEEP_TIMEOUT, kept).await.is_err() {
            log::warn!("the directory did not keep in time that the upstream leaves");
        }
    }

    /// Publishes the upstream beside this node to the other duties if it has changed.
    pub(super) fn publish(&self) {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        let mut local = self.announcements.borrow().local(&mesh);
        if let Some(local) = &mut local {
            local.upstream.trial = *self.trial.borrow();
            // Whatever it announces, an upstream can't take back that it leaves.
            if *self.leaving.borrow() == Some(local.upstream.incarnation) {
                local.upstream.phase = view::Phase::Draining;
                self.announcements.borrow_mut().record_leaving();
            }
        }
        self.local.send_if_modified(|published| {
            let changed = published.as_deref() != local.as_ref();
            if changed {
                if !equal_except_trial(published.as_deref(), local.as_ref()) {
                    log_upstream(local.as_ref());
                }
                *published = local.map(Arc::new);
            }
            changed
        });
    }

    /// Checks whether the node may take calls.
    pub fn readiness(&self) -> Readiness {
        Readiness {
            configured: self.applied.borrow().version_id.version.number() > 0,
            member: self.view.borrow().standing == view::Standing::Member,
            running: *self.stage.borrow() == node::Stage::Run,
        }
    }

    /// Returns all metrics as text.
    pub fn metrics(&self) -> String {
        self.metrics.encode()
    }

    /// Returns the status of this node.
    pub fn status(&self) -> status::Status {
        let view = Arc::clone(&self.view.borrow());
        let local = self.local.borrow().clone();
        let source = status::Source {
            host: self.host,
            locality: &self.locality,
            version_id: self.applied.borrow().version_id,
            applied_unix_ms: self.applied_unix_ms.get(),
            view: &view,
            local: local.as_deref(),
            log: *self.reachability.borrow(),
            ready: self.readiness().ready(),
            overload: self.metrics.overload(),
            traffic: &self.traffic,
        };
        source.status()
    }

    /// Returns the status of the mesh; `None` if too many such reports are being created.
    pub async fn mesh_status(&self) -> Option<mesh_status::MeshStatus> {
        let _permit = self.report_permits.try_acquire().ok()?;
        let mut gathered = self.gather::<status::Status>("/status").await;
        gathered.answers.push(self.status());
        let missing = gathered.missing.iter().map(|h| smol_str::format_smolstr!("{h}"));
        let missing: Vec<SmolStr> = missing.collect();
        Some(mesh_status::combine(&gathered.answers, missing, self.ctx.clock.unix_millis()))
    }

    /// Returns this node's counts for the objectives of its configuration.
    pub fn burn(&self) -> counts::Snapshot {
        let mesh = Arc::clone(&self.applied.borrow().mesh);
        self.counts.borrow().snapshot(&mesh, self.ctx.clock.unix_millis())
    }

    /// Returns the report on service levels; `None` if too many such reports are being created.
    pub async fn mesh_burn(&self) -> Option<report::Report> {
        let _permit = self.report_permits.try_acquire().ok()?;
        let mut gathered = self.gather::<counts::Snapshot>("/burn").await;
        gathered.answers.insert(0, self.burn());
        let missing = gathered.missing.iter().map(|h| smol_str::format_smolstr!("{h}"));
        Some(report::report(&gathered.answers, missing.collect()))
    }

    /// Requests `path` from all other nodes.
    async fn gather<T: serde::de::DeserializeOwned>(&self, path: &str) -> scatter::Gathered<T> {
        let hosts = scatter::other_hosts(&self.view.borrow(), self.host);
        let limits = scatter::Limits {
            concurrency: usize::from(self.settings.scatter),
            timeout: time::Duration::from_millis(self.settings.report_ms),
        };
        let limit = time::Duration::from_millis(self.settings.answer_ms);
        scatter::gather(&hosts, limits, |host| query::json(host.admin_addr(), path, limit)).await
    }
}

/// Whether both are equal, apart from the trial report of the upstream.
fn equal_except_trial(
    old: Option<&node::LocalUpstream>,
    new: Option<&node::LocalUpstream>,
) -> bool {
    let (Some(old), Some(new)) = (old, new) else { return old.is_none() && new.is_none() };
    let mut new = new.clone();
    new.upstream.trial = old.upstream.trial;
    new == *old
}

/// Logs the upstream beside this node after a change.
fn log_upstream(local: Option<&node::LocalUpstream>) {
    let Some(local) = local else { return log::info!("no upstream is beside this node") };
    let upstream = &local.upstream;
    log::info!(
        instance = local.instance.as_str(),
        life = upstream.incarnation,
        service = upstream.service.as_str(),
        version = upstream.version.as_str(),
        phase:? = upstream.phase,
        slots = upstream.slots,
        connections = upstream.connections;
        "the upstream beside this node has changed"
    );
}
