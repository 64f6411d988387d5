//! What was seen of the answers of one version.

use serde::{Deserialize, Serialize};

/// How many times as long as usual for its kind an answer may take before it counts as bad.
///
/// Runs of one kind differ: with a log-normal spread of 0.8 about one in twenty takes three times the
/// mean, on an upstream of half speed one in six. These are counted alike in the old version.
pub const SLOW_FACTOR: f32 = 3.0;

/// Answers of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Failures, and answers that took several times as long as usual. Invariant: at most `answers`.
    pub bad: u32,
}

/// What a node tells the others of an order while it is under way.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrialReport {
    /// Number of the order; 0 while there is none.
    pub order: u64,
    /// What the upstream beside the node answered, if it is of the new version.
    pub new: AnswerCounts,
    /// What the old version answered to calls made at such a node. One node's calls alone are too few to
    /// tell a bad version from an overload that ails both.
    pub old: AnswerCounts,
    /// Whether the node has itself found the new version bad.
    pub rejected: bool,
}

impl AnswerCounts {
    /// Notes one more answer.
    pub const fn record(&mut self, bad: bool) {
        self.answers = self.answers.saturating_add(1);
        if bad {
            self.bad = self.bad.saturating_add(1);
        }
    }

    /// Both together.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// Half of it, so that what was seen long ago counts for less.
    pub const fn halved(self) -> Self {
        Self { answers: self.answers / 2, bad: self.bad / 2 }
    }
}
