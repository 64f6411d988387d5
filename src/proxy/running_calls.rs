//! The calls that run at the local upstream. A nested call, one that the upstream makes while it
//! runs another, is recognised by its request id, which starts with the id of the call it is made
//! for.
//!
//! Nested calls with ids of another form are treated like calls of other callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header;

use crate::proxy::crash_detector;
use crate::proxy::quarantine_filter;
use crate::quarantine;

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
        self.list.borrow_mut().push(Entry { key, id, fingerprint, organisation });
        RunningCall { calls: Rc::clone(self), key, fingerprint, succeeded: false }
    }

    /// The parent of the call `id`, if it runs.
    pub fn parent_of(&self, id: &header::HeaderValue) -> Option<Parent> {
        let id = id.as_bytes();
        let list = self.list.borrow();
        let is_parent = |entry: &&Entry| {
            let parent = entry.id.as_ref().map_or(&[][..], header::HeaderValue::as_bytes);
            parent.len() >= MIN_ID_BYTES && id.len() > parent.len() && id.starts_with(parent)
        };
        let parent = list.iter().find(is_parent)?;
        Some(Parent { organisation: parent.organisation.clone() })
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
        self.calls.list.borrow_mut().retain(|entry| entry.key != self.key);
    }
}
