//! The calls that run at the upstream beside this node. What an upstream calls while it runs one of
//! them is known by its identity, which begins with that of the call it is made for.
//!
//! Whoever gives calls identities of other shapes loses nothing: its calls are taken for callers'.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header;

use crate::proxy::crash_detector;
use crate::proxy::quarantine_filter;
use crate::quarantine;

#[cfg(test)]
mod tests;

/// Shortest identity that proves anything, in bytes: a shorter one may begin another by chance.
const LEAST: usize = 8;

/// One call that runs.
#[derive(Debug)]
struct Run {
    key: u64,
    id: Option<header::HeaderValue>,
    print: quarantine::Fingerprint,
}

/// The calls that run.
#[derive(Debug, Default)]
pub struct Runs {
    list: RefCell<Vec<Run>>,
    next: Cell<u64>,
    /// Told when the upstream breaks a call off.
    ends: Rc<crash_detector::Ends>,
    /// Told when it answers one; `None` where nobody follows.
    suspects: Option<Rc<quarantine_filter::Suspects>>,
}

/// A call that runs until this is dropped.
#[derive(Debug)]
pub struct Running {
    runs: Rc<Runs>,
    key: u64,
    print: quarantine::Fingerprint,
    /// Whether the upstream's answer is no failure: one that gives up in time has not run the call to
    /// where it ends.
    sound: bool,
}

impl Runs {
    /// No call runs; `ends` is told of those that the upstream breaks off, `suspects` of those that it
    /// answers.
    pub fn new(ends: Rc<crash_detector::Ends>, suspects: Rc<quarantine_filter::Suspects>) -> Self {
        Self { ends, suspects: Some(suspects), ..Self::default() }
    }

    /// Whether the call numbered `key` runs.
    pub fn has(&self, key: u64) -> bool {
        self.list.borrow().iter().any(|run| run.key == key)
    }

    /// Whether a call other than `print` runs for which `holds`.
    pub fn has_other(
        &self,
        print: quarantine::Fingerprint,
        holds: impl Fn(quarantine::Fingerprint) -> bool,
    ) -> bool {
        self.list.borrow().iter().any(|run| run.print != print && holds(run.print))
    }

    /// Notes that the call `id` with the fingerprint `print` runs.
    pub fn enter(
        self: &Rc<Self>,
        id: Option<header::HeaderValue>,
        print: quarantine::Fingerprint,
    ) -> Running {
        let key = self.next.replace(self.next.get() + 1);
        self.list.borrow_mut().push(Run { key, id, print });
        Running { runs: Rc::clone(self), key, print, sound: false }
    }

    /// Whether the call `id` is made by one that runs.
    pub fn makes(&self, id: &header::HeaderValue) -> bool {
        let id = id.as_bytes();
        let outers = self.list.borrow();
        let mut outers = outers.iter().filter_map(|run| run.id.as_ref()).map(|id| id.as_bytes());
        outers.any(|outer| outer.len() >= LEAST && id.len() > outer.len() && id.starts_with(outer))
    }
}

impl Running {
    /// The upstream broke the call off, and others that run with it may follow.
    pub fn cut(&self) {
        let list = self.runs.list.borrow();
        self.runs.ends.cut(list.iter().map(|run| (run.key, run.print)));
    }

    /// The head of the upstream's answer has `status`.
    pub fn head(&mut self, status: http::StatusCode) {
        self.sound = !status.is_server_error();
    }

    /// The upstream's whole answer is there.
    pub fn whole(&self) {
        self.runs.ends.whole(self.key);
        if let Some(suspects) = self.runs.suspects.as_ref().filter(|_| self.sound) {
            suspects.answered(self.print);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.runs.list.borrow_mut().retain(|run| run.key != self.key);
    }
}
