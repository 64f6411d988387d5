//! Recognises callers that retry a failed call.
//!
//! The target latency of a call counts from the caller's first try, however often the caller has
//! retried. A caller retries at the node of its own host, with the same path and the same deadline:
//! by these two the node recognises it.

use std::collections;
use std::collections::hash_map;
use std::hash::BuildHasher as _;
use std::hash::Hash;
use std::time;

use crate::clock;

#[cfg(test)]
mod tests;

/// Maximum number of failed tries in memory: enough for about five seconds on a node that refuses
/// 100 calls a second. Each takes about 50 bytes.
const MAX_REMEMBERED: usize = 512;

/// Maximum difference between the deadlines of two tries of one caller. A caller sends the time
/// remaining in whole milliseconds, and the request may reach the node tens of milliseconds later.
const DEADLINE_TOLERANCE: time::Duration = time::Duration::from_millis(50);

/// Hash of the parts of a request that two tries of one caller have in common.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Key(u64);

/// A failed try.
#[derive(Clone, Copy, Debug)]
struct FailedTry {
    /// When the caller made its first try.
    first: clock::Instant,
    /// Until when the caller waits.
    deadline: clock::Instant,
}

/// The latest failed tries.
///
/// Invariant: `order` has each key of `failed` once, oldest first.
#[derive(Debug, Default)]
pub struct CallerRetries {
    failed: collections::HashMap<Key, FailedTry>,
    order: collections::VecDeque<Key>,
    hasher: hash_map::RandomState,
}

impl CallerRetries {
    /// The key of `request`, the parts that two tries have in common.
    pub fn key(&self, request: impl Hash) -> Key {
        Key(self.hasher.hash_one(request))
    }

    /// When the caller of `key`, which waits until `deadline`, made its first try; `now` if no
    /// failed try matches.
    pub fn first_try(
        &self,
        key: Key,
        deadline: clock::Instant,
        now: clock::Instant,
    ) -> clock::Instant {
        let same = |failed: &&FailedTry| {
            let apart = failed.deadline.since(deadline).max(deadline.since(failed.deadline));
            apart <= DEADLINE_TOLERANCE
        };
        self.failed.get(&key).filter(same).map_or(now, |failed| failed.first)
    }

    /// Records a failed try for `key` of a caller that made its first try at `first` and waits
    /// until `deadline`.
    pub fn record(&mut self, key: Key, first: clock::Instant, deadline: clock::Instant) {
        if self.failed.insert(key, FailedTry { first, deadline }).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.failed.remove(&oldest);
        }
    }
}
