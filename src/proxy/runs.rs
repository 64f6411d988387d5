//! The calls that run at the upstream beside this node. What an upstream calls while it runs one of
//! them is known by its identity, which begins with that of the call it is made for.
//!
//! Whoever gives calls identities of other shapes loses nothing: its calls are taken for callers'.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header;

use crate::proxy::ends;
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
    print: quarantine::Print,
}

/// The calls that run.
#[derive(Debug, Default)]
pub struct Runs {
    list: RefCell<Vec<Run>>,
    next: Cell<u64>,
    /// Told when the upstream breaks a call off.
    ends: Rc<ends::Ends>,
}

/// A call that runs until this is dropped.
#[derive(Debug)]
pub struct Running {
    runs: Rc<Runs>,
    key: u64,
}

impl Runs {
    /// No call runs; `ends` is told of those that the upstream breaks off.
    pub fn new(ends: Rc<ends::Ends>) -> Self {
        Self { ends, ..Self::default() }
    }

    /// Notes that the call `id` with the fingerprint `print` runs.
    pub fn enter(
        self: &Rc<Self>,
        id: Option<header::HeaderValue>,
        print: quarantine::Print,
    ) -> Running {
        let key = self.next.replace(self.next.get() + 1);
        self.list.borrow_mut().push(Run { key, id, print });
        Running { runs: Rc::clone(self), key }
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

    /// The upstream's whole answer is there.
    pub fn whole(&self) {
        self.runs.ends.whole(self.key);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.runs.list.borrow_mut().retain(|run| run.key != self.key);
    }
}
