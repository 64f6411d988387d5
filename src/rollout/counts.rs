//! Counts of the answers of one version.

use serde::{Deserialize, Serialize};

/// An answer that takes more than this many times the mean run time of its kind counts as bad.
///
/// Runs of one kind differ: with a log-normal spread of 0.8 about one in twenty takes three times
/// the mean, on an upstream of half speed one in six. Slow answers of the old version count in the
/// same way.
pub const SLOW_FACTOR: f32 = 3.0;

/// Counts of the answers of one version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Failures, and answers that took several times the mean. Invariant: at most `answers`.
    pub bad: u32,
}

/// What a node reports to the others about an order that is under way.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TrialReport {
    /// Number of the order; 0 if there is none.
    pub order: u64,
    /// Answers of the upstream beside the node, if it has the new version.
    pub new: AnswerCounts,
    /// Answers of the old version to calls made by such a node. The calls of the reading node alone
    /// are too few to tell a bad version from an overload that affects both.
    pub old: AnswerCounts,
    /// Whether the node itself has found the new version bad.
    pub rejected: bool,
}

impl AnswerCounts {
    /// Records one answer.
    pub const fn record(&mut self, bad: bool) {
        self.answers = self.answers.saturating_add(1);
        if bad {
            self.bad = self.bad.saturating_add(1);
        }
    }

    /// The counts of `self` and `other` added up.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
        }
    }

    /// Half of both counts, so that earlier answers weigh less than later ones.
    pub const fn halved(self) -> Self {
        Self { answers: self.answers / 2, bad: self.bad / 2 }
    }
}
