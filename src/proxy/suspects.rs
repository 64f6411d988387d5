//! Requests under which upstreams end, as the calls of this node see them.

use std::cell::RefCell;
use std::sync::Arc;

use crate::context;
use crate::host;
use crate::proxy::refuse;
use crate::quarantine;
use crate::retry;

/// What this node's calls know of such requests, and tell of them.
#[derive(Debug)]
pub struct Suspects {
    ctx: context::Context,
    me: host::HostId,
    side: quarantine::CallSide,
    known: RefCell<Arc<quarantine::Snapshot>>,
    proven: RefCell<quarantine::RecentAnswers>,
}

impl Suspects {
    /// Knows of nothing; `side` leads to the membership duty of the host `me`.
    pub fn new(ctx: context::Context, me: host::HostId, side: quarantine::CallSide) -> Self {
        Self { ctx, me, side, known: RefCell::default(), proven: RefCell::default() }
    }

    /// Takes in what the mesh knows; waits until that has changed. `false` when it won't any more.
    pub async fn learn(&self) -> bool {
        let mut changes = self.side.snapshot.clone();
        changes.mark_unchanged();
        self.take(&changes.borrow());
        changes.changed().await.is_ok()
    }

    fn take(&self, known: &Arc<quarantine::Snapshot>) {
        self.side
            .counts
            .quarantined
            .set(i64::try_from(known.quarantined_count()).unwrap_or(i64::MAX));
        self.known.replace(Arc::clone(known));
    }

    /// Refuses a request that ends upstreams before this node sends it anywhere. `print` is asked for
    /// only where there is something to compare it with.
    ///
    /// # Errors
    ///
    /// Why, and for how much longer.
    pub fn check_entry(
        &self,
        print: impl FnOnce() -> quarantine::Fingerprint,
    ) -> Result<(), refuse::Refusal> {
        if self.known.borrow().entries.is_empty() {
            return Ok(());
        }
        let print = print();
        self.check(print, self.spread(print))
    }

    /// Refuses a request that ends upstreams at the upstream's own node, as every host does at first.
    ///
    /// # Errors
    ///
    /// As [`Suspects::check_entry`].
    pub fn check_owner(&self, print: quarantine::Fingerprint) -> Result<(), refuse::Refusal> {
        self.check(print, 0.0)
    }

    fn check(&self, print: quarantine::Fingerprint, spread: f32) -> Result<(), refuse::Refusal> {
        let Some(left) = self.known.borrow().remaining(print, spread, self.ctx.now()) else {
            return Ok(());
        };
        self.side.counts.refused.inc();
        Err(refuse::Refusal::not_run(retry::Reason::Quarantined).again(left))
    }

    /// How late this host lets `print` go, as a share of its term: another one at each host.
    fn spread(&self, print: quarantine::Fingerprint) -> f32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&print.0.to_le_bytes());
        hasher.update(self.me.to_string().as_bytes());
        let mut first = [0; 2];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..2]);
        f32::from(u16::from_le_bytes(first)) / f32::from(u16::MAX)
    }

    /// Whether upstreams have ended under `print` so often that it may be what ends them. Two such
    /// requests don't run beside each other, so that the next end tells them apart.
    pub fn is_suspect(&self, print: quarantine::Fingerprint) -> bool {
        self.known.borrow().crashes(print) >= quarantine::SUSPICION_THRESHOLD
    }

    /// The upstream beside this node answered `print` and lived on.
    pub fn answered(&self, print: quarantine::Fingerprint) {
        self.proven.borrow_mut().record(print, self.ctx.now());
        if self.known.borrow().is_suspected(print) {
            // A full ring drops it; the next answer says the same.
            let _ = self.side.reports.offer(quarantine::Report::Answered(print));
        }
    }

    /// The upstream beside this node has ended under `prints`. Those that it answered a moment ago are
    /// not to blame.
    pub fn ended(&self, prints: &[quarantine::Fingerprint]) {
        self.side.counts.crashes.inc();
        let (proven, now) = (self.proven.borrow(), self.ctx.now());
        let prints = prints.iter().copied().filter(|print| !proven.contains(*print, now)).collect();
        if self.side.reports.offer(quarantine::Report::Crashed(prints)).is_err() {
            log::warn!("the end of an upstream is not told, since too many reports wait");
        }
    }
}
