//! The calls that run at the local upstream. A nested call, one that the upstream makes while it
//! runs another, is recognised by its request id, which starts with the id of the call it is made
//! for.
//!
//! Nested calls with ids of another form are treated like calls of other callers.
//!
//! With the setting `call.sibling_repeats`, the nested calls of each running call are recorded, for
//! the decisions of [`retry::Siblings`]. A record ends with its running call and its nested calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header;
use smol_str::SmolStr;
use tokio::sync;
use tokio::time;

use crate::proxy::crash_detector;
use crate::proxy::quarantine_filter;
use crate::quarantine;
use crate::retry;

#[cfg(test)]
mod tests;

/// Minimum length of a parent's id: a shorter one may be the prefix of another id by chance.
const MIN_ID_BYTES: usize = 8;

/// A call that runs.
#[derive(Debug)]
struct Entry {
    key: u64,
    id: Option<header::HeaderValue>,
    fingerprint: quarantine::Fingerprint,
    /// Name of the organisation that makes the call.
    organisation: Option<header::HeaderValue>,
    /// Its nested calls; `None` if it has made none, or if they are not recorded.
    nested: Option<Rc<Record>>,
}

impl Entry {
    /// Length of its id if the call `id` is nested in it.
    fn parent_length(&self, id: &[u8]) -> Option<usize> {
        let parent = self.id.as_ref().map_or(&[][..], header::HeaderValue::as_bytes);
        let is_parent =
            parent.len() >= MIN_ID_BYTES && id.len() > parent.len() && id.starts_with(parent);
        is_parent.then_some(parent.len())
    }
}

/// The nested calls of a running call.
#[derive(Debug, Default)]
struct Record {
    siblings: RefCell<retry::Siblings>,
    /// Notified when one of them ends or begins to wait.
    changed: sync::Notify,
}

/// A nested call of a running call, recorded until this is dropped.
#[derive(Debug)]
pub struct NestedCall {
    calls: Rc<RunningCalls>,
    record: Rc<Record>,
    /// Name of its kind.
    kind: SmolStr,
    /// Whether it waits for the others.
    paused: Cell<bool>,
}

/// The call for which a nested call is made.
#[derive(Clone, Debug)]
pub struct Parent {
    /// Name of the organisation that makes it; `None` if it is not known.
    pub organisation: Option<header::HeaderValue>,
}

/// The calls that run at the local upstream.
#[derive(Debug, Default)]
pub struct RunningCalls {
    list: RefCell<Vec<Entry>>,
    next: Cell<u64>,
    /// Notified when the upstream breaks a call off.
    crashes: Rc<crash_detector::CrashDetector>,
    /// Notified when it answers a call; `None` in tests.
    quarantine: Option<Rc<quarantine_filter::QuarantineFilter>>,
    /// Whether running calls survive the loss of nested calls.
    survival: RefCell<retry::Survival>,
    counts: retry::Counts,
}

/// A call that counts as running until this is dropped.
#[derive(Debug)]
pub struct RunningCall {
    calls: Rc<RunningCalls>,
    key: u64,
    fingerprint: quarantine::Fingerprint,
    /// Whether the status is no server error. After a server error the upstream may have stopped
    /// short of the point at which the request crashes it.
    succeeded: bool,
    /// Whether the upstream has begun to answer.
    answered: bool,
}

impl RunningCalls {
    /// No running calls. `crashes` is notified of calls that the upstream breaks off, `quarantine`
    /// of calls that it answers.
    pub fn new(
        crashes: Rc<crash_detector::CrashDetector>,
        quarantine: Rc<quarantine_filter::QuarantineFilter>,
    ) -> Self {
        Self { crashes, quarantine: Some(quarantine), ..Self::default() }
    }

    /// Counts decisions on retries in `counts`.
    pub fn with_counts(self, counts: retry::Counts) -> Self {
        Self { counts, ..self }
    }

    /// Counts of the decisions on retries.
    pub const fn counts(&self) -> &retry::Counts {
        &self.counts
    }

    /// Whether the call numbered `key` runs.
    pub fn has(&self, key: u64) -> bool {
        self.list.borrow().iter().any(|entry| entry.key == key)
    }

    /// Whether a call with another fingerprint than `fingerprint` runs for which `matches` is true.
    pub fn has_other(
        &self,
        fingerprint: quarantine::Fingerprint,
        matches: impl Fn(quarantine::Fingerprint) -> bool,
    ) -> bool {
        self.list
            .borrow()
            .iter()
            .any(|entry| entry.fingerprint != fingerprint && matches(entry.fingerprint))
    }

    /// Adds a running call.
    pub fn enter(
        self: &Rc<Self>,
        id: Option<header::HeaderValue>,
        fingerprint: quarantine::Fingerprint,
        organisation: Option<header::HeaderValue>,
    ) -> RunningCall {
        let key = self.next.replace(self.next.get() + 1);
        self.list.borrow_mut().push(Entry { key, id, fingerprint, organisation, nested: None });
        RunningCall { calls: Rc::clone(self), key, fingerprint, succeeded: false, answered: false }
    }

    /// The parent of the call `id`, if it runs.
    pub fn parent_of(&self, id: &header::HeaderValue) -> Option<Parent> {
        let id = id.as_bytes();
        let list = self.list.borrow();
        let parent = list.iter().find(|entry| entry.parent_length(id).is_some())?;
        Some(Parent { organisation: parent.organisation.clone() })
    }

    /// Records the nested call `id` of `kind` with the running call that makes it, of several the
    /// innermost and latest one. `None` if that has ended.
    ///
    /// # Errors
    ///
    /// The running call has lost another nested call and is known not to survive that.
    pub fn begin_nested(
        self: &Rc<Self>,
        id: &header::HeaderValue,
        kind: &SmolStr,
    ) -> Result<Option<NestedCall>, retry::FatalLoss> {
        let mut list = self.list.borrow_mut();
        let length = |entry: &Entry| entry.parent_length(id.as_bytes());
        let parent = list.iter_mut().filter(|e| length(e).is_some()).max_by_key(|e| length(e));
        let Some(parent) = parent else { return Ok(None) };
        let record = Rc::clone(parent.nested.get_or_insert_default());
        let begun = record.siblings.borrow_mut().begin(&self.survival.borrow());
        if let Err(loss) = begun {
            self.counts.not_sent.inc();
            return Err(loss);
        }
        let (calls, kind) = (Rc::clone(self), kind.clone());
        Ok(Some(NestedCall { calls, record, kind, paused: Cell::new(false) }))
    }
}

impl RunningCall {
    /// Reports that the upstream broke the call off, with the calls that run beside it.
    pub fn break_off(&self) {
        let list = self.calls.list.borrow();
        self.calls.crashes.call_broken(list.iter().map(|entry| (entry.key, entry.fingerprint)));
    }

    /// Sets the status of the upstream's answer.
    pub fn set_status(&mut self, status: http::StatusCode) {
        self.succeeded = !status.is_server_error();
        self.answered = true;
    }

    /// Reports that the upstream's answer was read to its end.
    pub fn complete(&self) {
        self.calls.crashes.call_completed(self.key);
        if let Some(quarantine) = self.calls.quarantine.as_ref().filter(|_| self.succeeded) {
            quarantine.answered(self.fingerprint);
        }
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut list = self.calls.list.borrow_mut();
        let Some(index) = list.iter().position(|entry| entry.key == self.key) else { return };
        let entry = list.remove(index);
        if let Some(record) = entry.nested.filter(|_| self.answered) {
            let mut survival = self.calls.survival.borrow_mut();
            record.siblings.borrow().record_end(self.succeeded, &mut survival);
        }
    }
}

impl NestedCall {
    /// What it has to know of the other nested calls of its running call; `None` if they are
    /// ignored.
    pub fn others(&self) -> Option<retry::Others> {
        self.record.siblings.borrow().others(&self.kind, &self.calls.survival.borrow())
    }

    /// Whether its running call has lost a nested call that it doesn't survive.
    pub fn is_run_lost(&self) -> bool {
        self.record.siblings.borrow().is_lost(&self.calls.survival.borrow())
    }

    /// Records that it has finally failed.
    pub fn lose(&self) {
        let mut survival = self.calls.survival.borrow_mut();
        self.record.siblings.borrow_mut().lose(&self.kind, &mut survival);
    }

    /// Waits until the others have ended or one of them is lost, until `end` at the latest.
    pub async fn wait_others(&self, end: time::Instant) {
        self.calls.counts.waited.inc();
        self.record.siblings.borrow_mut().pause();
        self.paused.set(true);
        self.record.changed.notify_waiters();
        let settled = async {
            loop {
                let changed = self.record.changed.notified();
                if self.record.siblings.borrow().is_settled(&self.calls.survival.borrow()) {
                    return;
                }
                changed.await;
            }
        };
        // At the end of the wait it is decided upon whatever the others do.
        let _ = time::timeout_at(end, settled).await;
        self.paused.set(false);
        self.record.siblings.borrow_mut().resume();
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let mut siblings = self.record.siblings.borrow_mut();
        if self.paused.get() {
            siblings.resume();
        }
        siblings.end();
        self.record.changed.notify_waiters();
    }
}
