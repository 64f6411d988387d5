//! Counts the calls that arrive within a window, by priority and organisation. It shows which calls
//! are to be refused when only a share of them can be served.

use std::collections;
use std::time;

use crate::clock;
use crate::mesh;

/// Maximum number of priorities counted apart. Further ones count as the next less urgent one.
pub const MAX_PRIORITIES: usize = 64;

/// Maximum number of pairs of a priority and an organisation counted apart. The calls of further
/// organisations of a priority count as those of one.
pub const MAX_ORGANISATIONS: usize = 256;

/// Minimum length of a window.
const MIN_LENGTH: time::Duration = time::Duration::from_millis(100);

/// Maximum length of a window with fewer calls than [`MIN_CALLS`].
const MAX_LENGTH: time::Duration = time::Duration::from_secs(1);

/// Number of calls that show the mix of priorities to a few percent. Where calls are rare, a window
/// lasts until it has them.
const MIN_CALLS: u32 = 50;

/// Priority of a call; the greatest is the most urgent one. It orders calls like the weight in the
/// queue of an owner node.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Priority {
    /// Urgency of the organisation; 0 if it is not known.
    organisation: u8,
    /// Urgency of the kind.
    kind: u8,
    /// Weight of the kind.
    weight: u32,
}

impl Priority {
    /// The priority of a call of `kind` that an organisation with the priority `organisation`
    /// makes.
    pub fn new(kind: &mesh::Kind, organisation: Option<u8>) -> Self {
        Self {
            organisation: mesh::organisation_urgency(organisation),
            kind: u8::MAX - kind.priority,
            weight: kind.weight,
        }
    }
}

/// Whose calls are counted together.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Caller {
    /// An organisation.
    Organisation(mesh::OrganisationKey),
    /// Callers whose organisation is not known.
    Unknown,
    /// Organisations beyond [`MAX_ORGANISATIONS`].
    Others,
}

impl From<Option<mesh::OrganisationKey>> for Caller {
    fn from(organisation: Option<mesh::OrganisationKey>) -> Self {
        organisation.map_or(Self::Unknown, Self::Organisation)
    }
}

/// The calls that arrived within a window.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// When it began.
    since: clock::Instant,
    /// Number of calls; the sum of `priorities`.
    total: u32,
    /// Calls by priority; at most [`MAX_PRIORITIES`] entries.
    priorities: collections::BTreeMap<Priority, u32>,
    /// Calls by priority and caller. At most [`MAX_ORGANISATIONS`] entries, and one of
    /// [`Caller::Others`] for each priority.
    callers: collections::HashMap<(Priority, Caller), u32>,
}

impl Window {
    /// A window that begins at `since`.
    pub fn new(since: clock::Instant) -> Self {
        Self { since, ..Self::default() }
    }

    /// Whether the window is complete at `now`.
    pub fn is_complete(&self, now: clock::Instant) -> bool {
        let length = now.since(self.since);
        length >= MAX_LENGTH || (length >= MIN_LENGTH && self.total >= MIN_CALLS)
    }

    /// Counts a call. Returns the priority and the caller that it counts as.
    pub fn count(&mut self, priority: Priority, caller: Caller) -> (Priority, Caller) {
        let priority = self.counted_priority(priority);
        *self.priorities.entry(priority).or_default() += 1;
        self.total += 1;
        let mut key = (priority, caller);
        if self.callers.len() >= MAX_ORGANISATIONS && !self.callers.contains_key(&key) {
            key.1 = Caller::Others;
        }
        *self.callers.entry(key).or_default() += 1;
        key
    }

    /// The priority as which calls of `priority` count.
    fn counted_priority(&self, priority: Priority) -> Priority {
        if self.priorities.len() < MAX_PRIORITIES || self.priorities.contains_key(&priority) {
            return priority;
        }
        let lower = self.priorities.range(..priority).next_back();
        let nearest = lower.or_else(|| self.priorities.first_key_value());
        nearest.map_or(priority, |(nearest, _)| *nearest)
    }

    /// Number of calls.
    pub const fn total(&self) -> u32 {
        self.total
    }

    /// Number of calls of `caller` at `priority`.
    pub fn of(&self, priority: Priority, caller: Caller) -> u32 {
        self.callers.get(&(priority, caller)).copied().unwrap_or_default()
    }

    /// Calls by priority, the most urgent first.
    pub fn by_urgency(&self) -> impl Iterator<Item = (Priority, u32)> {
        self.priorities.iter().rev().map(|(priority, calls)| (*priority, *calls))
    }

    /// Calls at `priority` by caller.
    pub fn callers(&self, priority: Priority) -> impl Iterator<Item = (Caller, u32)> {
        let at = self.callers.iter().filter(move |((p, _), _)| *p == priority);
        at.map(|((_, caller), calls)| (*caller, *calls))
    }
}
