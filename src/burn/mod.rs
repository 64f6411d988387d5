//! Service-level objectives: burn rates and remaining error budgets.
//!
//! Each node counts, for each service, the good and the bad calls among those that it answered as
//! entry node. The counts are kept in ring buffers of bounded size. A report adds up the counts of
//! all nodes.

use serde::{Deserialize, Serialize};

use crate::usage;

pub mod counts;
pub mod plot;
pub mod report;

#[cfg(test)]
mod tests;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// Lengths of the windows over which burn rates are computed, in seconds, shortest first.
pub const WINDOWS: [u64; 4] = [5 * MINUTE, 30 * MINUTE, HOUR, 6 * HOUR];

/// Names of [`WINDOWS`].
pub const WINDOW_NAMES: [&str; WINDOWS.len()] = ["5m", "30m", "1h", "6h"];

/// A multi-window alert rule: the burn rate must exceed a threshold in two windows. The long window
/// shows that a significant part of the budget is spent, the short one that the burn continues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Index of the short window in [`WINDOWS`].
    pub short: usize,
    /// Index of the long window in [`WINDOWS`].
    pub long: usize,
    /// Burn rate above which the rule fires. At a rate of 1 the budget lasts exactly for the
    /// objective's period.
    pub rate: f64,
    /// Alert that the rule raises.
    pub alert: Alert,
}

/// The alert rules, most urgent first. With a period of 30 days, the first one fires when 2 % of
/// the budget are spent within one hour, the second one when 5 % are spent within six hours.
pub const RULES: [Rule; 2] = [
    Rule { short: 0, long: 2, rate: 14.4, alert: Alert::Fast },
    Rule { short: 1, long: 3, rate: 6.0, alert: Alert::Slow },
];

/// Urgency of a burn rate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Needs attention at once: page somebody.
    Fast,
    /// Needs attention within the day.
    Slow,
    /// No rule fires.
    None,
}

/// Number of calls to which an objective applies, and of those that missed it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ratio {
    /// Calls to which the objective applies.
    pub total: u64,
    /// Calls that missed the objective.
    pub bad: u64,
}

impl Ratio {
    /// Adds `other`; the counts saturate.
    pub fn add(&mut self, other: Ratio) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// Share of the calls that missed the objective, from 0 to 1; 0 without calls.
    pub fn share(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.bad as f64 / self.total as f64 }
    }
}

/// Counts of one service for each of its objectives.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sums {
    /// All calls except those whose caller disconnected. Bad unless served completely.
    pub availability: Ratio,
    /// Calls that were served. Bad if slower than the objective.
    pub latency: Ratio,
}

impl Sums {
    /// Derives the counts from the usage `totals` of a service.
    pub fn of(totals: &usage::Totals) -> Self {
        let served = totals.of(usage::Outcome::Served);
        let bad = [usage::Outcome::Failed, usage::Outcome::Refused, usage::Outcome::Unknown];
        let bad = bad.iter().fold(0u64, |sum, &o| sum.saturating_add(totals.of(o)));
        Self {
            availability: Ratio { total: served.saturating_add(bad), bad },
            latency: Ratio { total: served, bad: totals.slow },
        }
    }

    /// Adds `other`; the counts saturate.
    pub fn add(&mut self, other: &Sums) {
        self.availability.add(other.availability);
        self.latency.add(other.latency);
    }
}
