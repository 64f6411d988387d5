//! Queue of updates to gossip: each is sent a bounded number of times, the least sent first.

use std::collections;

use smol_str::SmolStr;

use crate::host;
use crate::quarantine;

/// The subject of an update. Its content is read from the state when it is sent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The claim about a host.
    Claim(host::HostId),
    /// An unreachable availability zone.
    Unreachable(SmolStr),
    /// A host's record.
    Record(host::HostId),
    /// The crash of an upstream.
    Crash(quarantine::CrashId),
    /// The quarantine entry of a request.
    Quarantine(quarantine::Fingerprint),
}

/// The priority of an update, highest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Stops work from going to a host that can't run it.
    Urgent,
    /// Suspicions and unreachable zones.
    Soon,
    /// All other updates.
    Plain,
}

/// How often one host sends an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Sends of an urgent update.
    pub urgent: u32,
    /// Sends of any other update.
    pub plain: u32,
}

/// Whether a topic that was offered went into the datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fit {
    /// It went into the datagram.
    Packed,
    /// The datagram had no room for it.
    Full,
    /// The state no longer has content for it, as when its host was removed.
    Gone,
}

/// The queue of updates.
///
/// Invariant: `order` contains exactly the topics of `states`, with their priority and sends.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Priority and number of sends of each topic.
    states: collections::BTreeMap<Topic, (Priority, u32)>,
    order: collections::BTreeSet<(Priority, u32, Topic)>,
}

impl Queue {
    /// Adds an update that was sent `sent` times already; it replaces one of the same topic.
    pub fn add(&mut self, topic: Topic, priority: Priority, sent: u32) {
        self.remove(&topic);
        self.states.insert(topic.clone(), (priority, sent));
        self.order.insert((priority, sent, topic));
    }

    /// Removes the update of `topic`.
    pub fn remove(&mut self, topic: &Topic) {
        if let Some((priority, sent)) = self.states.remove(topic) {
            self.order.remove(&(priority, sent, topic.clone()));
        }
    }

    /// Whether an urgent update is queued.
    pub fn has_urgent(&self) -> bool {
        self.order.first().is_some_and(|(priority, ..)| *priority == Priority::Urgent)
    }

    /// The number of queued updates.
    pub fn count(&self) -> usize {
        self.states.len()
    }

    /// Offers the topics of `lowest` or a higher priority to `pack` until one does not fit, and
    /// removes those that have then been sent as often as `limits` allows.
    pub fn offer(&mut self, lowest: Priority, limits: Limits, mut pack: impl FnMut(&Topic) -> Fit) {
        let mut taken = Vec::new();
        for (priority, _, topic) in &self.order {
            if *priority > lowest {
                break;
            }
            match pack(topic) {
                Fit::Packed => taken.push((topic.clone(), false)),
                Fit::Gone => taken.push((topic.clone(), true)),
                Fit::Full => break,
            }
        }
        for (topic, gone) in taken {
            self.count_send(topic, gone, limits);
        }
    }

    fn count_send(&mut self, topic: Topic, gone: bool, limits: Limits) {
        let Some(&(priority, sent)) = self.states.get(&topic) else { return };
        let limit = if priority == Priority::Urgent { limits.urgent } else { limits.plain };
        if gone || sent + 1 >= limit {
            self.remove(&topic);
        } else {
            self.add(topic, priority, sent + 1);
        }
    }
}
