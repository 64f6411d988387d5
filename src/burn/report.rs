//! The report on service-level objectives, merged from the counts of many nodes.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::admin::mesh_status;
use crate::burn::{self, Alert, Ratio, counts};

/// Type of an objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Share of all calls that are served completely.
    Availability,
    /// Share of served calls that meet the latency objective.
    Latency,
}

/// One objective of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Name of the service.
    pub service: SmolStr,
    /// Type of the objective.
    pub objective: Objective,
    /// Share of calls that are to meet the objective.
    pub target: f64,
    /// Period of the error budget, in seconds.
    pub window_s: u64,
    /// Urgency of its burn rates.
    pub alert: Alert,
    /// Burn rate in each of [`burn::WINDOWS`].
    pub burn: [f64; burn::WINDOWS.len()],
    /// Remaining share of the error budget; negative if it is overspent, 1 without calls.
    pub budget_left: f64,
    /// Counts in the period of the error budget.
    pub period: Ratio,
}

/// A report on the objectives of all services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// How much of the mesh the report covers. An incomplete report counts only the nodes that
    /// answered.
    pub coverage: mesh_status::Coverage,
    /// Time from which on all nodes have counted, in milliseconds since the Unix epoch. A node
    /// counts from its start on, so that counts of a period that began earlier are incomplete.
    pub since_unix_ms: u64,
    /// One line for each objective, worst first.
    pub lines: Vec<Line>,
}

/// Merges `snapshots` into a report; `missing` are the hosts that did not answer. The objectives of
/// a service are taken from the first snapshot that has it.
pub fn report(snapshots: &[counts::Snapshot], missing: Vec<SmolStr>) -> Report {
    let mut rows = collections::BTreeMap::<SmolStr, counts::Row>::new();
    for row in snapshots.iter().flat_map(|snapshot| &snapshot.rows) {
        match rows.get_mut(&row.service) {
            Some(sum) => add(sum, row),
            None => drop(rows.insert(row.service.clone(), row.clone())),
        }
    }
    let mut lines: Vec<Line> = rows.values().flat_map(lines).collect();
    lines.sort_by(|a, b| {
        let severity = a.alert.cmp(&b.alert).then(a.budget_left.total_cmp(&b.budget_left));
        severity.then_with(|| (&a.service, a.objective).cmp(&(&b.service, b.objective)))
    });
    Report {
        coverage: mesh_status::Coverage::new(snapshots.len(), missing),
        since_unix_ms: snapshots.iter().map(|s| s.since_unix_ms).max().unwrap_or(0),
        lines,
    }
}

fn add(sum: &mut counts::Row, row: &counts::Row) {
    for (window, other) in sum.windows.iter_mut().zip(&row.windows) {
        window.add(other);
    }
    sum.period.add(&row.period);
}

fn lines(row: &counts::Row) -> [Line; 2] {
    let windows = |ratio: fn(&burn::Sums) -> Ratio| row.windows.each_ref().map(ratio);
    [
        line(row, Objective::Availability, row.availability, windows(|s| s.availability))
            .with_period(row.period.availability),
        line(row, Objective::Latency, row.share, windows(|s| s.latency))
            .with_period(row.period.latency),
    ]
}

fn line(
    row: &counts::Row,
    objective: Objective,
    target: f64,
    windows: [Ratio; burn::WINDOWS.len()],
) -> Line {
    let burn = windows.map(|ratio| rate(ratio, target));
    let fires = |rule: &&burn::Rule| {
        let exceeds = |window: usize| burn.get(window).is_some_and(|&burn| burn > rule.rate);
        exceeds(rule.short) && exceeds(rule.long)
    };
    Line {
        service: row.service.clone(),
        objective,
        target,
        window_s: row.window_s,
        alert: burn::RULES.iter().find(fires).map_or(Alert::None, |rule| rule.alert),
        burn,
        budget_left: 1.0,
        period: Ratio::default(),
    }
}

impl Line {
    /// Sets the counts of the period and the remaining budget that follows from them.
    fn with_period(self, period: Ratio) -> Self {
        Self { budget_left: 1.0 - rate(period, self.target), period, ..self }
    }
}

/// Burn rate: how many times faster than allowed the error budget is spent. 1 spends it in exactly
/// its period.
fn rate(ratio: Ratio, target: f64) -> f64 {
    let allowed = (1.0 - target).max(f64::EPSILON);
    ratio.share() / allowed
}
