//! Callers that come back after a failed try.
//!
//! To its caller an answer has its full worth within a time that began with the first try, however often
//! the caller has come since. A caller comes back to the node on its own host, asks for the same path
//! and still waits until the same moment: by these two a node knows it again.

use std::collections;
use std::collections::hash_map;
use std::hash::BuildHasher as _;
use std::hash::Hash;
use std::time;

use crate::clock;

#[cfg(test)]
mod tests;

/// Failed tries that are remembered: those of some seconds on a node that refuses a hundred calls a
/// second. Each takes up some 50 bytes.
const MOST: usize = 512;

/// How far apart the moments may be until which one caller waits by two of its tries. What a caller
/// says is in whole milliseconds, and on its way to the node it may be held up by tens of them.
const SLACK: time::Duration = time::Duration::from_millis(50);

/// What a call asks for, as far as two tries of one caller have it in common.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Key(u64);

/// A try that failed.
#[derive(Clone, Copy, Debug)]
struct Seen {
    /// When its caller came for the first time.
    since: clock::Instant,
    /// Until when its caller waits.
    until: clock::Instant,
}

/// The tries that failed a short while ago.
///
/// Invariant: `order` has each key of `seen` once, the one noted first in front.
#[derive(Debug, Default)]
pub struct Returns {
    seen: collections::HashMap<Key, Seen>,
    order: collections::VecDeque<Key>,
    hasher: hash_map::RandomState,
}

impl Returns {
    /// The key of what `asked` describes.
    pub fn key(&self, asked: impl Hash) -> Key {
        Key(self.hasher.hash_one(asked))
    }

    /// When the caller that asks for `key`, comes at `now` and waits until `until` came for the first
    /// time.
    pub fn since(&self, key: Key, until: clock::Instant, now: clock::Instant) -> clock::Instant {
        let same = |seen: &&Seen| {
            let apart = seen.until.since(until).max(until.since(seen.until));
            apart <= SLACK
        };
        self.seen.get(&key).filter(same).map_or(now, |seen| seen.since)
    }

    /// Notes that a try for `key` has failed; its caller came first at `since` and waits until
    /// `until`.
    pub fn note(&mut self, key: Key, since: clock::Instant, until: clock::Instant) {
        if self.seen.insert(key, Seen { since, until }).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.seen.remove(&oldest);
        }
    }
}
