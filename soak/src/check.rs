//! Checks the promises against the results that callers received and the calls that upstreams ran.

use std::collections;
use std::net;

use dandelionspool::bench::load;
use dandelionspool::bench::named_limit;
use dandelionspool::clock;
use dandelionspool::standin::upstream::record;
use serde::Serialize;
use smol_str::SmolStr;

use crate::series;
use crate::setup;

/// Longest time after an upstream has announced its drain at which a call may still start there: it
/// covers the answer to the announcement and a call that was admitted just before.
const MAX_START_AFTER_DRAIN_MS: u64 = 500;

/// Time from the first answer that names a limit until calls count against it.
const NEWS_MS: u64 = 500;

/// Longest time after an acknowledged withdrawal, or after its node is back, at which a call may still
/// start at the upstream.
const MAX_START_AFTER_WITHDRAWAL_MS: u64 = 2000;

/// A withdrawal that was acknowledged by a node that was killed right after.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Withdrawal {
    /// Index of its host.
    pub host: usize,
    /// When the node acknowledged it, in milliseconds since the Unix epoch.
    pub acknowledged_unix_ms: u64,
    /// When the node was first started after that, in milliseconds since the Unix epoch.
    pub back_unix_ms: Option<u64>,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Breach {
    /// A call that may run only once ran more often.
    #[serde(rename = "twice")]
    RanTwice {
        /// Request id or idempotency key of the call.
        id: SmolStr,
        /// Number of runs.
        runs: u32,
    },
    /// An idempotent call ran more often than [`setup::MAX_ATTEMPTS`].
    #[serde(rename = "attempts")]
    TooManyAttempts {
        /// Request id of the call.
        id: SmolStr,
        /// Number of runs.
        runs: u32,
    },
    /// A caller received the outcome that its call did not run, although it ran.
    #[serde(rename = "lie")]
    FalseNotRun {
        /// Request id of the call.
        id: SmolStr,
        /// Reason that the caller received.
        reason: SmolStr,
    },
    /// A caller received an incomplete answer, or that of another call, as a complete answer.
    #[serde(rename = "wrong")]
    WrongAnswer {
        /// Request id of the call.
        id: SmolStr,
    },
    /// A caller received an answer to a call that no upstream ran.
    #[serde(rename = "invented")]
    NeverRan {
        /// Request id of the call.
        id: SmolStr,
    },
    /// A call was cut off in a series with planned work only.
    #[serde(rename = "cut")]
    CutOff {
        /// Request id of the call.
        id: SmolStr,
        /// Outcome of the call.
        outcome: load::Outcome,
        /// Reason that the caller received.
        reason: SmolStr,
        /// Whether an upstream ran the call.
        ran: bool,
    },
    /// A call started at an upstream too long after the upstream announced its drain.
    #[serde(rename = "drained")]
    StartAfterDrain {
        /// Time from the announcement to the last start, in milliseconds.
        after_ms: u64,
    },
    /// More calls started at an upstream in four seconds than the limit that it named allows.
    #[serde(rename = "limit")]
    OverLimit {
        /// The limit, in calls a second.
        rate: f64,
        /// Calls that started.
        starts: usize,
        /// Calls that are allowed.
        allowed: usize,
    },
    /// Calls started at an upstream too long after it first said that it leaves.
    #[serde(rename = "left")]
    StartAfterLeave {
        /// Calls that started.
        starts: usize,
        /// Time from its first answer that said so to the last start, in milliseconds.
        after_ms: u64,
    },
    /// Calls started at an upstream too long after its withdrawal was acknowledged.
    #[serde(rename = "withdrawn")]
    StartAfterWithdrawal {
        /// Index of its host.
        host: usize,
        /// Calls that started.
        starts: usize,
        /// Time from the acknowledgement, or the start of its node after that, to the last start of a
        /// call, in milliseconds.
        after_ms: u64,
    },
    /// A node went back to an older version without a restart of its process.
    #[serde(rename = "backwards")]
    VersionRegressed {
        /// Admin address of the node.
        node: net::SocketAddr,
        /// The newer version, which the node ran first.
        from: u64,
        /// The older version.
        to: u64,
    },
    /// A node did not run the last version, or did not answer, some time after the last fault.
    Behind {
        /// Index of its host.
        host: usize,
        /// Version that the node runs, or the error of the status request.
        state: String,
    },
    /// Too few calls were served for the round to show anything.
    #[serde(rename = "unserved")]
    TooFewServed {
        /// Number of calls served.
        served: u64,
        /// Number of calls made.
        made: u64,
    },
}

/// Number of runs by request id and by idempotency key, over all upstreams.
#[derive(Debug, Default)]
struct Runs<'a> {
    ids: collections::HashMap<&'a SmolStr, u32>,
    keys: collections::HashMap<&'a SmolStr, u32>,
    /// Ids of the calls that are reads, which may run more than once.
    reads: collections::HashSet<&'a SmolStr>,
}

impl<'a> Runs<'a> {
    fn new(records: &'a [record::Record]) -> Self {
        let mut runs = Self::default();
        for record in records {
            for (id, run) in &record.runs {
                *runs.ids.entry(id).or_default() += run.starts;
                if run.path.starts_with("/browse") {
                    runs.reads.insert(id);
                }
            }
            for (key, count) in &record.keys {
                *runs.keys.entry(key).or_default() += count;
            }
        }
        runs
    }

    fn ran(&self, result: &load::TryResult) -> bool {
        let ran_by_key = result.key.as_ref().is_some_and(|key| self.keys.contains_key(key));
        ran_by_key || self.ids.contains_key(&result.id)
    }
}

/// Checks the results of a round that played `series`. Returns the broken promises.
pub fn check(
    series: &series::Series,
    results: &[load::TryResult],
    records: &[record::Record],
) -> Vec<Breach> {
    let runs = Runs::new(records);
    let mut breaches = Vec::new();
    breaches.extend(check_run_counts(&runs));
    breaches.extend(results.iter().filter_map(|result| check_outcome(&runs, result)));
    if series.planned {
        breaches.extend(results.iter().filter_map(|result| check_cut_off(&runs, result)));
    }
    breaches.extend(records.iter().filter_map(check_drain));
    breaches.extend(records.iter().filter_map(check_limits));
    breaches.extend(records.iter().filter_map(|record| check_leave(series, record)));
    breaches.extend(check_served(results));
    breaches
}

fn check_run_counts<'a>(runs: &'a Runs<'_>) -> impl Iterator<Item = Breach> + 'a {
    let ids = runs.ids.iter().filter_map(|(id, count)| {
        let (id, count) = ((*id).clone(), *count);
        match runs.reads.contains(&id) {
            true if count > setup::MAX_ATTEMPTS => {
                Some(Breach::TooManyAttempts { id, runs: count })
            }
            false if count > 1 => Some(Breach::RanTwice { id, runs: count }),
            _ => None,
        }
    });
    let keys = runs.keys.iter().filter(|(_, count)| **count > 1);
    ids.chain(keys.map(|(key, count)| Breach::RanTwice { id: (*key).clone(), runs: *count }))
}

fn check_outcome(runs: &Runs<'_>, result: &load::TryResult) -> Option<Breach> {
    let id = result.id.clone();
    match result.outcome {
        load::Outcome::Wrong => Some(Breach::WrongAnswer { id }),
        load::Outcome::NotRun | load::Outcome::Connect if runs.ids.contains_key(&result.id) => {
            Some(Breach::FalseNotRun { id, reason: result.reason.clone() })
        }
        load::Outcome::Served if !runs.ran(result) => Some(Breach::NeverRan { id }),
        _ => None,
    }
}

/// A broken connection counts only if the call ran. Otherwise the request was sent while the node
/// closed the idle connection: the node did not read it, and the caller may send it again.
fn check_cut_off(runs: &Runs<'_>, result: &load::TryResult) -> Option<Breach> {
    let ran = runs.ran(result);
    let cut_off = match result.outcome {
        load::Outcome::Broken => ran,
        load::Outcome::Silent | load::Outcome::Unknown => true,
        _ => false,
    };
    let (id, outcome, reason) = (result.id.clone(), result.outcome, result.reason.clone());
    cut_off.then_some(Breach::CutOff { id, outcome, reason, ran })
}

fn check_drain(record: &record::Record) -> Option<Breach> {
    let after_ms = record.unix_ms.saturating_sub(record.drain_unix_ms?);
    (after_ms > MAX_START_AFTER_DRAIN_MS).then_some(Breach::StartAfterDrain { after_ms })
}

/// Counts the starts in each span while a limit is named, once its news has travelled.
fn check_limits(record: &record::Record) -> Option<Breach> {
    let mut starts: Vec<u64> = record.runs.values().map(|run| run.unix_ms).collect();
    starts.sort_unstable();
    let ends = record.limits.iter().skip(1).map(|next| next.unix_ms).chain([u64::MAX]);
    record.limits.iter().zip(ends).filter(|(named, _)| named.rate > 0.0).find_map(|(named, end)| {
        let from = starts.partition_point(|at| *at < named.unix_ms + NEWS_MS);
        let to = starts.partition_point(|at| *at < end);
        let limited = starts.get(from..to).unwrap_or_default();
        let limited: Vec<_> = limited.iter().copied().map(clock::Instant::from_millis).collect();
        let starts = named_limit::most_starts(&limited);
        let allowed = named_limit::allowed(named.rate);
        (starts > allowed).then_some(Breach::OverLimit { rate: named.rate, starts, allowed })
    })
}

/// A node that was started anew meanwhile may send the upstream one round of calls from entry nodes
/// that have not heard of its leave.
fn check_leave(series: &series::Series, record: &record::Record) -> Option<Breach> {
    let from = record.leaving_unix_ms? + MAX_START_AFTER_DRAIN_MS;
    let late: Vec<u64> = record.runs.values().map(|r| r.unix_ms).filter(|at| *at > from).collect();
    let restarts = series.steps.iter().any(|step| matches!(step.act, series::Act::Start(_)));
    let allowed = if restarts { usize::from(setup::SLOTS) } else { 0 };
    let after_ms = late.iter().max()?.saturating_sub(record.leaving_unix_ms?);
    (late.len() > allowed).then_some(Breach::StartAfterLeave { starts: late.len(), after_ms })
}

/// Checks that no call started too long after `withdrawals` at the upstreams of `records`.
pub fn check_withdrawals(
    withdrawals: &[Withdrawal],
    records: &[record::Record],
) -> impl Iterator<Item = Breach> {
    withdrawals.iter().filter_map(|withdrawal| {
        let acknowledged = withdrawal.acknowledged_unix_ms;
        let record = records.iter().find(|r| r.withdrawn_unix_ms == Some(acknowledged))?;
        let from = withdrawal.back_unix_ms.unwrap_or(acknowledged);
        let late = |at: &u64| *at > from + MAX_START_AFTER_WITHDRAWAL_MS;
        let late: Vec<u64> = record.runs.values().map(|run| run.unix_ms).filter(late).collect();
        let after_ms = late.iter().max()?.saturating_sub(from);
        let (host, starts) = (withdrawal.host, late.len());
        Some(Breach::StartAfterWithdrawal { host, starts, after_ms })
    })
}

/// A round in which less than a tenth of the calls are served proves nothing.
fn check_served(results: &[load::TryResult]) -> Option<Breach> {
    let served = results.iter().filter(|r| r.outcome == load::Outcome::Served).count() as u64;
    let made = results.len() as u64;
    (served * 10 < made || made == 0).then_some(Breach::TooFewServed { served, made })
}
