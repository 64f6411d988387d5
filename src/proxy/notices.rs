//! What the local upstream says of itself in its answers: a limit on its calls, and that it is
//! leaving.

use std::cell::RefCell;

use http::header;
use smol_str::SmolStr;

use crate::admit;
use crate::clock;
use crate::node;
use crate::proxy::dialect;
use crate::proxy::trace;

#[cfg(test)]
mod tests;

/// What one incarnation of an upstream says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// The limit on its calls from all nodes together; `None`: it names none.
    pub limit: Option<admit::Rate>,
    /// Whether it has said that it is leaving, which it can't take back.
    pub leaving: bool,
}

/// The latest notice, and the incarnation that gave it.
#[derive(Clone, Debug)]
struct Current {
    instance: SmolStr,
    incarnation: u32,
    notice: Notice,
}

impl Current {
    fn is_of(&self, local: &node::LocalUpstream) -> bool {
        self.instance == local.instance && self.incarnation == local.upstream.incarnation
    }
}

/// The notices of the local upstream.
#[derive(Debug, Default)]
pub struct Notices {
    current: RefCell<Option<Current>>,
}

impl Notices {
    /// The notice of `local`.
    pub fn of(&self, local: &node::LocalUpstream) -> Notice {
        let current = self.current.borrow();
        current.as_ref().filter(|c| c.is_of(local)).map_or_else(Notice::default, |c| c.notice)
    }

    /// Reads the notice of `local` in an answer with the headers `map` to the call `id`, and returns
    /// whether it has changed.
    ///
    /// A limit that is no valid number leaves the previous one in force.
    pub fn read(
        &self,
        local: &node::LocalUpstream,
        dialect: &dialect::Dialect,
        map: &header::HeaderMap,
        trace: &trace::Trace,
        now: clock::Instant,
    ) -> bool {
        let before = self.of(local);
        let named = dialect.named_limit(map);
        let notice = Notice {
            limit: named.unwrap_or(before.limit),
            leaving: before.leaving || dialect.is_leaving(map),
        };
        let changed = notice != before;
        if changed || named.is_err() {
            let malformed = named.is_err();
            trace.noticed(
                &trace::Noticed { local, notice, malformed, id: map.get(&dialect.id) },
                now,
            );
        }
        if changed {
            let (instance, incarnation) = (local.instance.clone(), local.upstream.incarnation);
            self.current.replace(Some(Current { instance, incarnation, notice }));
        }
        changed
    }
}
