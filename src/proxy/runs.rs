//! The calls that run at the upstream beside this node. What an upstream calls while it runs one of
//! them is known by its identity, which begins with that of the call it is made for.
//!
//! Whoever gives calls identities of other shapes loses nothing: its calls are taken for callers'.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use http::header;

#[cfg(test)]
mod tests;

/// Shortest identity that proves anything, in bytes: a shorter one may begin another by chance.
const LEAST: usize = 8;

/// One call that runs.
#[derive(Debug)]
struct Run {
    key: u64,
    id: header::HeaderValue,
}

/// The calls that run.
#[derive(Debug, Default)]
pub struct Runs {
    list: RefCell<Vec<Run>>,
    next: Cell<u64>,
}

/// A call that runs until this is dropped.
#[derive(Debug)]
pub struct Running {
    runs: Rc<Runs>,
    key: u64,
}

impl Runs {
    /// Notes that the call `id` runs.
    pub fn enter(self: &Rc<Self>, id: header::HeaderValue) -> Running {
        let key = self.next.replace(self.next.get() + 1);
        self.list.borrow_mut().push(Run { key, id });
        Running { runs: Rc::clone(self), key }
    }

    /// Whether the call `id` is made by one that runs.
    pub fn makes(&self, id: &header::HeaderValue) -> bool {
        let id = id.as_bytes();
        self.list.borrow().iter().any(|run| {
            let outer = run.id.as_bytes();
            outer.len() >= LEAST && id.len() > outer.len() && id.starts_with(outer)
        })
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.runs.list.borrow_mut().retain(|run| run.key != self.key);
    }
}
