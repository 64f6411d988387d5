//! What the local upstream says of itself in its answers, at its own node.

use std::cell::RefCell;

use http::header;

use crate::clock;
use crate::node;
use crate::notice;
use crate::proxy::dialect;
use crate::proxy::trace;

#[cfg(test)]
mod tests;

/// The latest notice of an incarnation of the upstream.
#[derive(Clone, Copy, Debug)]
struct Current {
    incarnation: u32,
    notice: notice::Notice,
    /// When an answer or another node last said so.
    at: clock::Instant,
    /// Whether an answer that this node received said so.
    answered: bool,
    /// Whether the limit in the last answer was no number.
    malformed: bool,
}

/// The notices of the local upstream.
#[derive(Debug, Default)]
pub struct Notices {
    current: RefCell<Option<Current>>,
    side: notice::CallSide,
}

impl Notices {
    /// No notice yet.
    pub fn new(side: notice::CallSide) -> Self {
        Self { side, ..Self::default() }
    }

    /// Counts a call that was refused because the limit was used up.
    pub fn record_refused(&self) {
        self.side.counts.refused.inc();
    }

    /// Publishes the notice of `local` to the counts and the other duties, and returns it.
    pub fn publish(&self, local: Option<&node::LocalUpstream>) -> notice::Notice {
        let notice = local.map(|local| self.of(local)).unwrap_or_default();
        self.side.counts.limited.set(i64::from(notice.limit.is_some()));
        self.side.counts.leaving.set(i64::from(notice.leaving));
        let leaving = local.filter(|_| notice.leaving).map(|local| local.upstream.incarnation);
        self.side.leaving.send_if_modified(|old| std::mem::replace(old, leaving) != leaving);
        notice
    }

    /// The notice of `local`.
    pub fn of(&self, local: &node::LocalUpstream) -> notice::Notice {
        self.current(local).map_or_else(notice::Notice::default, |current| current.notice)
    }

    /// When the notice of `local` was last confirmed; `None` if it has given none.
    pub fn confirmed_at(&self, local: &node::LocalUpstream) -> Option<clock::Instant> {
        self.current(local).map(|current| current.at)
    }

    /// What to tell other nodes of `local`; `None` if there is nothing to tell.
    pub fn relayed(&self, local: &node::LocalUpstream) -> Option<notice::Relayed> {
        let notice = self.of(local);
        (notice != notice::Notice::default()).then(|| notice::Relayed {
            incarnation: local.upstream.incarnation,
            identity: local.identity(),
            notice,
        })
    }

    /// Reads the notice in an answer of `local` with the headers `map`, and returns whether it
    /// differs from the one before.
    ///
    /// A limit that is no valid number leaves the one before in force.
    pub fn read(
        &self,
        local: &node::LocalUpstream,
        dialect: &dialect::Dialect,
        map: &header::HeaderMap,
        trace: &trace::Trace,
        now: clock::Instant,
    ) -> bool {
        if self.is_superseded(local) {
            return false;
        }
        let known = self.current(local);
        let before = known.map_or_else(notice::Notice::default, |known| known.notice);
        let named = dialect.named_limit(map);
        let malformed = named.is_err();
        let notice = notice::Notice {
            limit: named.unwrap_or(before.limit),
            leaving: before.leaving || dialect.is_leaving(map),
        };
        let changed = notice != before;
        if changed || malformed != known.is_some_and(|known| known.malformed) {
            let id = map.get(&dialect.id);
            trace.noticed(&trace::Noticed { local, notice, malformed, id }, now);
        }
        let incarnation = local.upstream.incarnation;
        let current = Current { incarnation, notice, at: now, answered: true, malformed };
        self.current.replace(Some(current));
        changed
    }

    /// Takes over what another node has heard from an answer of an upstream, if that is `local`, and
    /// returns whether this changes its notice.
    ///
    /// A node that starts knows nothing of the upstream that ran on beside it. What answers have
    /// told this node itself is newer than what others say, except that an upstream leaves.
    pub fn learn(
        &self,
        local: &node::LocalUpstream,
        relayed: &notice::Relayed,
        trace: &trace::Trace,
        now: clock::Instant,
    ) -> bool {
        if relayed.identity.is_none() || relayed.identity != local.identity() {
            return false;
        }
        let known = self.current(local);
        let before = known.map_or_else(notice::Notice::default, |known| known.notice);
        let answered = known.is_some_and(|known| known.answered);
        let notice = notice::Notice {
            limit: if answered { before.limit } else { relayed.notice.limit },
            leaving: before.leaving || relayed.notice.leaving,
        };
        if notice == before {
            return false;
        }
        trace.noticed(&trace::Noticed { local, notice, malformed: false, id: None }, now);
        let at = known.map_or(now, |known| known.at);
        let incarnation = local.upstream.incarnation;
        let current = Current { incarnation, notice, at, answered, malformed: false };
        self.current.replace(Some(current));
        true
    }

    /// Whether a later incarnation than `local` has given a notice: a late answer of the one before
    /// says nothing of it.
    fn is_superseded(&self, local: &node::LocalUpstream) -> bool {
        let current = self.current.borrow();
        current.as_ref().is_some_and(|current| current.incarnation > local.upstream.incarnation)
    }

    fn current(&self, local: &node::LocalUpstream) -> Option<Current> {
        let current = *self.current.borrow();
        current.filter(|current| current.incarnation == local.upstream.incarnation)
    }
}
