//! Outcomes of recent publishes.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::fold::id;
use crate::version;

/// Largest number of outcomes kept. A repeated publish that is no longer among them is judged
/// again, which does no harm: if it was accepted, the current version is past its base, so that it
/// is now a conflict.
pub const MAX_OUTCOMES: usize = 512;

/// The outcome of a publish.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It became a version.
    Accepted(version::VersionId),
    /// It was based on another version than the current one.
    Conflict {
        /// The current version at that time.
        current: version::Version,
    },
    /// Its file breaks the rules of its format.
    Invalid,
}

/// The most recent publishes with their outcomes.
///
/// Invariant: at most [`MAX_OUTCOMES`] entries in the order of the log, each with another id.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcomes {
    entries: collections::VecDeque<(id::PublishId, Outcome)>,
}

impl Outcomes {
    /// The outcome of the publish `id`, if it is kept.
    pub fn get(&self, id: id::PublishId) -> Option<Outcome> {
        self.entries.iter().find(|(other, _)| *other == id).map(|(_, outcome)| *outcome)
    }

    /// Adds the outcome of the publish `id` and drops the oldest one when there are too many.
    pub fn put(&mut self, id: id::PublishId, outcome: Outcome) {
        self.entries.push_back((id, outcome));
        if self.entries.len() > MAX_OUTCOMES {
            self.entries.pop_front();
        }
    }

    /// Number of outcomes kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no outcome is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
