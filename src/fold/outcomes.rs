//! Outcomes of what became of recent publishes.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::fold::id;
use crate::version;

/// Publishes remembered. An older one that is repeated is judged again, which does no harm: what
/// was accepted has moved the version past its base, so it is a conflict now.
pub const MAX_OUTCOMES: usize = 512;

/// What became of a publish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It became a version.
    Accepted(version::VersionId),
    /// It was made from another version than the current one.
    Conflict {
        /// The version current then.
        current: version::Version,
    },
    /// Its file breaks the rules of its format.
    Invalid,
}

/// The last publishes with their outcomes.
///
/// Invariant: at most [`MAX_OUTCOMES`] entries, in the order of the log, without duplicate ids.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    entries: collections::VecDeque<(id::PublishId, Outcome)>,
}

impl Outcomes {
    /// What became of the publish called `id`.
    pub fn get(&self, id: id::PublishId) -> Option<Outcome> {
        self.entries.iter().find(|(other, _)| *other == id).map(|(_, outcome)| *outcome)
    }

    /// Remembers `outcome` and forgets the oldest one when there are too many.
    pub fn put(&mut self, id: id::PublishId, outcome: Outcome) {
        self.entries.push_back((id, outcome));
        if self.entries.len() > MAX_OUTCOMES {
            self.entries.pop_front();
        }
    }

    /// Number of publishes remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
