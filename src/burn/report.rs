//! The report on service levels, put together from the counts of many nodes.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::admin::whole;
use crate::burn::{self, Alert, Ratio, counts};

/// What an objective is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Calls served whole among all.
    Availability,
    /// Calls within the latency among those served.
    Latency,
}

/// One objective of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Name of the service.
    pub service: SmolStr,
    /// What the objective is about.
    pub objective: Objective,
    /// Share of calls to meet it.
    pub target: f64,
    /// Period of its budget, in seconds.
    pub window_s: u64,
    /// How urgent its burn is.
    pub alert: Alert,
    /// Burn rate by window, see [`burn::WINDOW_NAMES`].
    pub burn: [f64; burn::WINDOWS.len()],
    /// Share of the budget left in its period; below 0 when it is overspent, 1 without calls.
    pub budget_left: f64,
    /// Calls counted in the period.
    pub period: Ratio,
}

/// The report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// How much of the mesh this covers. What is not whole counts only the nodes heard.
    pub coverage: whole::Coverage,
    /// When the node that counts for the shortest time began, in milliseconds since the Unix
    /// epoch: a node counts from its start on, and a period that began before is not whole.
    pub since_unix_ms: u64,
    /// The objectives, worst first.
    pub lines: Vec<Line>,
}

/// Puts `pages` together. Objectives are those of the first page that has the service.
pub fn report(pages: &[counts::Snapshot], missing: Vec<SmolStr>) -> Report {
    let mut rows = collections::BTreeMap::<SmolStr, counts::Row>::new();
    for row in pages.iter().flat_map(|page| &page.rows) {
        match rows.get_mut(&row.service) {
            Some(sum) => add(sum, row),
            None => drop(rows.insert(row.service.clone(), row.clone())),
        }
    }
    let mut lines: Vec<Line> = rows.values().flat_map(lines).collect();
    lines.sort_by(|a, b| {
        let worse = a.alert.cmp(&b.alert).then(a.budget_left.total_cmp(&b.budget_left));
        worse.then_with(|| (&a.service, a.objective).cmp(&(&b.service, b.objective)))
    });
    Report {
        coverage: whole::Coverage::new(pages.len(), missing),
        since_unix_ms: pages.iter().map(|page| page.since_unix_ms).max().unwrap_or(0),
        lines,
    }
}

fn add(sum: &mut counts::Row, row: &counts::Row) {
    for (mine, theirs) in sum.windows.iter_mut().zip(&row.windows) {
        mine.add(theirs);
    }
    sum.period.add(&row.period);
}

fn lines(row: &counts::Row) -> [Line; 2] {
    let windows = |of: fn(&burn::Sums) -> Ratio| row.windows.each_ref().map(of);
    [
        line(row, Objective::Availability, row.availability, windows(|s| s.availability))
            .period(row.period.availability),
        line(row, Objective::Latency, row.share, windows(|s| s.latency)).period(row.period.latency),
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
        let over = |place: usize| burn.get(place).is_some_and(|&burn| burn > rule.rate);
        over(rule.short) && over(rule.long)
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
    fn period(self, period: Ratio) -> Self {
        Self { budget_left: 1.0 - rate(period, self.target), period, ..self }
    }
}

/// How many times faster than allowed the budget is spent.
fn rate(ratio: Ratio, target: f64) -> f64 {
    let allowed = (1.0 - target).max(f64::EPSILON);
    ratio.share() / allowed
}
