//! The quarantine on the call path: refuses requests that crash upstreams, and reports crashes and
//! answers of the local upstream.

use std::cell::RefCell;
use std::sync::Arc;

use crate::context;
use crate::host;
use crate::proxy::refuse;
use crate::quarantine;
use crate::retry;

/// Refuses quarantined requests and reports what the calls of this node observe.
#[derive(Debug)]
pub struct QuarantineFilter {
    ctx: context::Context,
    me: host::HostId,
    side: quarantine::CallSide,
    snapshot: RefCell<Arc<quarantine::Snapshot>>,
    recent_answers: RefCell<quarantine::RecentAnswers>,
}

impl QuarantineFilter {
    /// A filter that refuses nothing yet; `side` leads to the membership duty of the host `me`.
    pub fn new(ctx: context::Context, me: host::HostId, side: quarantine::CallSide) -> Self {
        Self { ctx, me, side, snapshot: RefCell::default(), recent_answers: RefCell::default() }
    }

    /// Applies the current state of the quarantine and waits for its next change. `false` when
    /// there will be no further change.
    pub async fn follow(&self) -> bool {
        let mut changes = self.side.snapshot.clone();
        changes.mark_unchanged();
        self.apply(&changes.borrow());
        changes.changed().await.is_ok()
    }

    fn apply(&self, snapshot: &Arc<quarantine::Snapshot>) {
        self.side
            .counts
            .quarantined
            .set(i64::try_from(snapshot.quarantined_count()).unwrap_or(i64::MAX));
        self.snapshot.replace(Arc::clone(snapshot));
    }

    /// Checks a request at its entry node, before it is sent anywhere. `fingerprint` is called only
    /// if something is quarantined.
    ///
    /// # Errors
    ///
    /// [`retry::Reason::Quarantined`], with the time after which the request may be retried.
    pub fn check_entry(
        &self,
        fingerprint: impl FnOnce() -> quarantine::Fingerprint,
    ) -> Result<(), refuse::Cause> {
        if self.snapshot.borrow().entries.is_empty() {
            return Ok(());
        }
        let fingerprint = fingerprint();
        self.check(fingerprint, self.delay_share(fingerprint))
    }

    /// Checks a request at the owner node, which does not extend the term.
    ///
    /// # Errors
    ///
    /// As [`QuarantineFilter::check_entry`].
    pub fn check_owner(&self, fingerprint: quarantine::Fingerprint) -> Result<(), refuse::Cause> {
        self.check(fingerprint, 0.0)
    }

    fn check(
        &self,
        fingerprint: quarantine::Fingerprint,
        delay_share: f32,
    ) -> Result<(), refuse::Cause> {
        let Some(remaining) =
            self.snapshot.borrow().remaining(fingerprint, delay_share, self.ctx.now())
        else {
            return Ok(());
        };
        self.side.counts.refused.inc();
        Err(refuse::Cause::new(retry::Reason::Quarantined).retry_in(remaining))
    }

    /// By how much this host extends the term of `fingerprint`, as a share of the term. The share
    /// differs by host, so that the hosts don't all let the request pass at the same time.
    fn delay_share(&self, fingerprint: quarantine::Fingerprint) -> f32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&fingerprint.0.to_le_bytes());
        hasher.update(self.me.to_string().as_bytes());
        let mut first = [0; 2];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..2]);
        f32::from(u16::from_le_bytes(first)) / f32::from(u16::MAX)
    }

    /// Whether `fingerprint` has enough crashes to be isolated, though not enough to be refused.
    /// Two such requests don't run at the same time, so that the next crash tells them apart.
    pub fn needs_isolation(&self, fingerprint: quarantine::Fingerprint) -> bool {
        self.snapshot.borrow().crashes(fingerprint) >= quarantine::SUSPICION_THRESHOLD
    }

    /// Records that the local upstream answered `fingerprint` and did not crash.
    pub fn answered(&self, fingerprint: quarantine::Fingerprint) {
        self.recent_answers.borrow_mut().record(fingerprint, self.ctx.now());
        if self.snapshot.borrow().is_suspected(fingerprint) {
            // If the ring is full, the report is dropped; the next answer repeats it.
            let _ = self.side.reports.offer(quarantine::Report::Answered(fingerprint));
        }
    }

    /// Reports that the local upstream crashed while `fingerprints` ran. Those that it has answered
    /// shortly before are left out, as they did not cause the crash.
    pub fn crashed(&self, fingerprints: &[quarantine::Fingerprint]) {
        self.side.counts.crashes.inc();
        let (recent_answers, now) = (self.recent_answers.borrow(), self.ctx.now());
        let fingerprints = fingerprints
            .iter()
            .copied()
            .filter(|fingerprint| !recent_answers.contains(*fingerprint, now))
            .collect();
        if self.side.reports.offer(quarantine::Report::Crashed(fingerprints)).is_err() {
            log::warn!("dropped the report of an upstream's crash: the queue of reports is full");
        }
    }
}
