//! News waiting to be passed on: each a bounded number of times, the least sent first.

use std::collections;

use smol_str::SmolStr;

use crate::host;
use crate::quarantine;

/// What a piece of news is about. Its content is read from the table when it is sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// What is claimed of a host.
    Claim(host::HostId),
    /// An availability zone that can't be reached.
    Unreachable(SmolStr),
    /// A host's record.
    Record(host::HostId),
    /// The end of an upstream.
    Crash(quarantine::CrashId),
    /// What is held of a request.
    Quarantine(quarantine::Fingerprint),
}

/// How pressing a piece of news is; the first goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Stops work from going to a host that can't run it.
    Urgent,
    /// Suspicions and dark zones.
    Soon,
    /// Everything else.
    Plain,
}

/// Times one host sends a piece of news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// For urgent news.
    pub urgent: u32,
    /// For other news.
    pub plain: u32,
}

/// What became of a topic that was offered to a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fit {
    /// It is in the datagram.
    Packed,
    /// There was no room for it.
    Full,
    /// There is nothing to say of it any more.
    Gone,
}

/// The queue of news.
///
/// Invariant: `order` holds exactly the pairs of `states`.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    states: collections::BTreeMap<Topic, (Priority, u32)>,
    order: collections::BTreeSet<(Priority, u32, Topic)>,
}

impl Queue {
    /// Adds news that were sent `sent` times already; news of the same topic are replaced.
    pub fn add(&mut self, topic: Topic, rank: Priority, sent: u32) {
        self.remove(&topic);
        self.states.insert(topic.clone(), (rank, sent));
        self.order.insert((rank, sent, topic));
    }

    /// Drops the news of `topic`.
    pub fn remove(&mut self, topic: &Topic) {
        if let Some((rank, sent)) = self.states.remove(topic) {
            self.order.remove(&(rank, sent, topic.clone()));
        }
    }

    /// Whether urgent news wait.
    pub fn has_urgent(&self) -> bool {
        self.order.first().is_some_and(|(rank, ..)| *rank == Priority::Urgent)
    }

    /// How many pieces of news wait.
    pub fn count(&self) -> usize {
        self.states.len()
    }

    /// Offers the topics of `rank` or more pressing ones to `pack` until one does not fit, and
    /// drops those that were then sent as often as `limits` allows their rank.
    pub fn offer(&mut self, rank: Priority, limits: Limits, mut pack: impl FnMut(&Topic) -> Fit) {
        let mut taken = Vec::new();
        for (found, _, topic) in &self.order {
            if *found > rank {
                break;
            }
            match pack(topic) {
                Fit::Packed => taken.push((topic.clone(), false)),
                Fit::Gone => taken.push((topic.clone(), true)),
                Fit::Full => break,
            }
        }
        for (topic, gone) in taken {
            self.tick_off(topic, gone, limits);
        }
    }

    fn tick_off(&mut self, topic: Topic, gone: bool, limits: Limits) {
        let Some(&(rank, sent)) = self.states.get(&topic) else { return };
        let limit = if rank == Priority::Urgent { limits.urgent } else { limits.plain };
        if gone || sent + 1 >= limit {
            self.remove(&topic);
        } else {
            self.add(topic, rank, sent + 1);
        }
    }
}
