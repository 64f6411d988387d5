//! Counts of the answers of one version, in all and by route.

use std::cmp;
use std::collections;

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

/// Routes whose answers a node reports by themselves. Nodes report those with the most answers,
/// whatever the answers were, so that the sums over all nodes are not biased.
pub const REPORTED_ROUTES: usize = 16;

/// Routes that a node counts by themselves; the answers of further ones are added up.
const MAX_ROUTES: usize = 1024;

/// Identifies a route in messages between nodes, by the FNV-1a hash of its name. If two names share
/// a hash, their answers are added up.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct RouteId(u32);

/// What one answer shows of the version that gave it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It was right and in time.
    Good,
    /// It took several times the mean, was cut or did not come. What happens to a host or a link
    /// makes many such answers at once.
    Poor,
    /// The upstream answered with a failure.
    Failed,
}

/// Counts of the answers of one version on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteCounts {
    /// All answers.
    pub answers: u32,
    /// Failures and poor answers. Invariant: at most `answers`.
    pub bad: u32,
    /// Failures. Invariant: at most `bad`.
    pub failed: u32,
}

/// Counts of the answers of both versions on one route.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteReport {
    /// The route; of no meaning without answers.
    pub route: RouteId,
    /// Answers of the new version.
    pub new: RouteCounts,
    /// Answers of the old version.
    pub old: RouteCounts,
}

/// The reports of one node on single routes. Only those with answers are sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "Vec<RouteReport>", try_from = "Vec<RouteReport>")]
pub struct RouteReports([RouteReport; REPORTED_ROUTES]);

/// A node reports on more routes than it may.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("reports on {0} routes, {REPORTED_ROUTES} are allowed")]
pub struct TooManyRoutes(usize);

/// Counts of the answers of both versions by route.
#[derive(Clone, Debug, Default)]
pub struct Routes(collections::BTreeMap<RouteId, RouteReport>);

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
    /// The same counts for the routes with the most answers of the new version. They are no part of
    /// a profile in the directory, whose fields builds have in common.
    #[serde(skip)]
    pub routes: RouteReports,
}

impl RouteId {
    /// The id of the route `name`.
    pub fn of(name: &str) -> Self {
        /// Offset basis and prime of the 32-bit FNV-1a hash.
        const BASIS: u32 = 0x811c_9dc5;
        const PRIME: u32 = 0x0100_0193;
        Self(name.bytes().fold(BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME)))
    }
}

impl RouteReport {
    /// Whether there are answers at all.
    const fn has_answers(&self) -> bool {
        self.new.answers > 0 || self.old.answers > 0
    }
}

impl RouteReports {
    /// The reports on routes with answers.
    pub fn iter(&self) -> impl Iterator<Item = &RouteReport> {
        self.0.iter().filter(|report| report.has_answers())
    }
}

impl From<RouteReports> for Vec<RouteReport> {
    fn from(reports: RouteReports) -> Self {
        reports.iter().copied().collect()
    }
}

impl TryFrom<Vec<RouteReport>> for RouteReports {
    type Error = TooManyRoutes;

    fn try_from(list: Vec<RouteReport>) -> Result<Self, TooManyRoutes> {
        if list.len() > REPORTED_ROUTES {
            return Err(TooManyRoutes(list.len()));
        }
        Ok(list.into_iter().collect())
    }
}

impl FromIterator<RouteReport> for RouteReports {
    /// Takes the first reports of `list`, as many as a node may send.
    fn from_iter<I: IntoIterator<Item = RouteReport>>(list: I) -> Self {
        let mut reports = Self::default();
        reports.0.iter_mut().zip(list).for_each(|(report, known)| *report = known);
        reports
    }
}

impl Verdict {
    /// Whether the answer counts against the version.
    pub fn is_bad(self) -> bool {
        self != Self::Good
    }
}

impl RouteCounts {
    /// Records one answer.
    pub fn record(&mut self, verdict: Verdict) {
        self.answers = self.answers.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(verdict.is_bad()));
        self.failed = self.failed.saturating_add(u32::from(verdict == Verdict::Failed));
    }

    /// The counts of `self` and `other` added up.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers.saturating_add(other.answers),
            bad: self.bad.saturating_add(other.bad),
            failed: self.failed.saturating_add(other.failed),
        }
    }
}

impl Routes {
    /// Records an answer of the new version.
    pub fn record_new(&mut self, route: RouteId, verdict: Verdict) {
        self.entry(route).new.record(verdict);
    }

    /// Records an answer of the old version.
    pub fn record_old(&mut self, route: RouteId, verdict: Verdict) {
        self.entry(route).old.record(verdict);
    }

    /// Adds what a node has reported.
    pub fn add(&mut self, reports: &RouteReports) {
        for report in reports.iter() {
            let entry = self.entry(report.route);
            entry.new = entry.new.plus(report.new);
            entry.old = entry.old.plus(report.old);
        }
    }

    /// The counts of all routes.
    pub fn iter(&self) -> impl Iterator<Item = &RouteReport> {
        self.0.values()
    }

    /// Whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The counts of the routes with the most answers of the new version, then of the old one,
    /// whose answers are those in `old`.
    pub fn most_answers(&self, old: &Self) -> RouteReports {
        let mut sum = self.clone();
        for known in old.iter() {
            sum.entry(known.route).old = known.old;
        }
        let mut list: Vec<RouteReport> = sum.0.into_values().collect();
        list.sort_unstable_by_key(|report| {
            (cmp::Reverse((report.new.answers, report.old.answers)), report.route)
        });
        list.into_iter().collect()
    }

    fn entry(&mut self, route: RouteId) -> &mut RouteReport {
        let is_known = self.0.contains_key(&route) || self.0.len() < MAX_ROUTES;
        let route = if is_known { route } else { RouteId::default() };
        self.0.entry(route).or_insert(RouteReport { route, ..RouteReport::default() })
    }
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
