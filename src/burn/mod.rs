//! Service-level objectives: burn rates and the budget left.
//!
//! Each node keeps, for each service, how many of the calls it answered as their entry were good
//! and bad, in rings of buckets of bounded size. A report adds up the windows of all nodes.

use serde::{Deserialize, Serialize};

use crate::usage;

pub mod counts;
pub mod plot;
pub mod report;

#[cfg(test)]
mod tests;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;

/// Lengths of the windows of burn rates, in seconds, shortest first.
pub const WINDOWS: [u64; 4] = [5 * MINUTE, 30 * MINUTE, HOUR, 6 * HOUR];

/// Names of [`WINDOWS`].
pub const WINDOW_NAMES: [&str; WINDOWS.len()] = ["5m", "30m", "1h", "6h"];

/// Two windows that must both burn at a rate for an alert: the long one shows that it matters, the
/// short one that it goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Place of the short window among [`WINDOWS`].
    pub short: usize,
    /// Place of the long window.
    pub long: usize,
    /// Burn rate from which on it alerts: 1 spends the budget in exactly the objective's window.
    pub rate: f64,
    /// What to do.
    pub alert: Alert,
}

/// The rules, the most urgent first. With a window of 30 days, the first one finds 2 % of the
/// budget spent within an hour, the second one 5 % within six.
pub const RULES: [Rule; 2] = [
    Rule { short: 0, long: 2, rate: 14.4, alert: Alert::Fast },
    Rule { short: 1, long: 3, rate: 6.0, alert: Alert::Slow },
];

/// How urgent a burn is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Wake somebody.
    Fast,
    /// Look at it today.
    Slow,
    /// Nothing to do.
    None,
}

/// Calls that count for an objective, and those of them that missed it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ratio {
    /// Calls that count.
    pub total: u64,
    /// Calls that missed the objective.
    pub bad: u64,
}

impl Ratio {
    /// Adds `other`; saturates.
    pub fn add(&mut self, other: Ratio) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// Share of the calls that missed the objective; 0 without calls.
    pub fn share(self) -> f64 {
        if self.total == 0 { 0.0 } else { self.bad as f64 / self.total as f64 }
    }
}

/// Counts of one service.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sums {
    /// All calls but those whose caller left; bad unless served whole.
    pub availability: Ratio,
    /// Calls served; bad when slower than the objective.
    pub latency: Ratio,
}

impl Sums {
    /// The counts of `totals`.
    pub fn of(totals: &usage::Totals) -> Self {
        let served = totals.of(usage::Outcome::Served);
        let bad = [usage::Outcome::Failed, usage::Outcome::Refused, usage::Outcome::Unknown];
        let bad = bad.iter().fold(0u64, |sum, &o| sum.saturating_add(totals.of(o)));
        Self {
            availability: Ratio { total: served.saturating_add(bad), bad },
            latency: Ratio { total: served, bad: totals.slow },
        }
    }

    /// Adds `other`; saturates.
    pub fn add(&mut self, other: &Sums) {
        self.availability.add(other.availability);
        self.latency.add(other.latency);
    }
}
