//! The promises, checked against what callers were told and upstreams ran.

use std::collections;
use std::net;

use dandelionspool::bench::load;
use dandelionspool::standin::upstream::record;
use serde::Serialize;
use smol_str::SmolStr;

use crate::series;
use crate::stage;

/// Longest after the announcement of its drain that a call still starts at an upstream, in
/// milliseconds: the announcement's answer and a call that was let in just before it.
const DRAIN_MS: u64 = 500;

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Breach {
    /// A call that may run once ran more often.
    Twice {
        /// Its id or key.
        id: SmolStr,
        /// Runs.
        runs: u32,
    },
    /// A call that may be repeated ran more often than it may have attempts.
    Attempts {
        /// Its id.
        id: SmolStr,
        /// Runs.
        runs: u32,
    },
    /// A caller was told that its call did not run, and it ran.
    Lie {
        /// Its id.
        id: SmolStr,
        /// Reason that was told.
        reason: SmolStr,
    },
    /// An answer that is not whole, or another call's, passed as whole.
    Wrong {
        /// Id of the call.
        id: SmolStr,
    },
    /// A caller got an answer to a call that nobody ran.
    Invented {
        /// Its id.
        id: SmolStr,
    },
    /// Planned work alone cut a call.
    Cut {
        /// Its id.
        id: SmolStr,
        /// How it ended.
        outcome: load::Outcome,
        /// Reason that was told.
        reason: SmolStr,
        /// Whether an upstream ran it.
        ran: bool,
    },
    /// A call started at an upstream long after it had announced its drain.
    Drained {
        /// How long after, in milliseconds.
        after_ms: u64,
    },
    /// A node went back to an older version within one life of its process.
    Backwards {
        /// Its admin address.
        node: net::SocketAddr,
        /// The newer version.
        from: u64,
        /// The older one.
        to: u64,
    },
    /// A node did not run the last version some time after the last fault, or was not ready.
    Behind {
        /// Its host.
        host: usize,
        /// What it said.
        state: String,
    },
    /// Hardly anything was served.
    Unserved {
        /// Calls served.
        served: u64,
        /// Calls made.
        made: u64,
    },
}

/// Runs by id and by key, over all upstreams.
#[derive(Debug, Default)]
struct Runs<'a> {
    ids: collections::HashMap<&'a SmolStr, u32>,
    keys: collections::HashMap<&'a SmolStr, u32>,
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

    fn ran(&self, told: &load::TryResult) -> bool {
        let key = told.key.as_ref().is_some_and(|key| self.keys.contains_key(key));
        key || self.ids.contains_key(&told.id)
    }
}

/// What was broken in a round of `series`.
pub fn judge(
    series: &series::Series,
    told: &[load::TryResult],
    records: &[record::Record],
) -> Vec<Breach> {
    let runs = Runs::new(records);
    let mut breaches = Vec::new();
    breaches.extend(repeats(&runs));
    breaches.extend(told.iter().filter_map(|told| truth(&runs, told)));
    if series.planned {
        breaches.extend(told.iter().filter_map(|told| cut(&runs, told)));
    }
    breaches.extend(records.iter().filter_map(drained));
    breaches.extend(unserved(told));
    breaches
}

fn repeats<'a>(runs: &'a Runs<'_>) -> impl Iterator<Item = Breach> + 'a {
    let ids = runs.ids.iter().filter_map(|(id, count)| {
        let (id, runs_) = ((*id).clone(), *count);
        match runs.reads.contains(&id) {
            true if runs_ > stage::ATTEMPTS => Some(Breach::Attempts { id, runs: runs_ }),
            false if runs_ > 1 => Some(Breach::Twice { id, runs: runs_ }),
            _ => None,
        }
    });
    let keys = runs.keys.iter().filter(|(_, count)| **count > 1);
    ids.chain(keys.map(|(key, count)| Breach::Twice { id: (*key).clone(), runs: *count }))
}

fn truth(runs: &Runs<'_>, told: &load::TryResult) -> Option<Breach> {
    let id = told.id.clone();
    match told.outcome {
        load::Outcome::Wrong => Some(Breach::Wrong { id }),
        load::Outcome::NotRun | load::Outcome::Connect if runs.ids.contains_key(&told.id) => {
            Some(Breach::Lie { id, reason: told.reason.clone() })
        }
        load::Outcome::Served if !runs.ran(told) => Some(Breach::Invented { id }),
        _ => None,
    }
}

/// A request that crosses the close of its idle connection was read by nobody, and its caller may
/// send it again; one that ran was read.
fn cut(runs: &Runs<'_>, told: &load::TryResult) -> Option<Breach> {
    let ran = runs.ran(told);
    let cut = match told.outcome {
        load::Outcome::Broken => ran,
        load::Outcome::Silent | load::Outcome::Unknown => true,
        _ => false,
    };
    let (id, outcome, reason) = (told.id.clone(), told.outcome, told.reason.clone());
    cut.then_some(Breach::Cut { id, outcome, reason, ran })
}

fn drained(record: &record::Record) -> Option<Breach> {
    let after_ms = record.unix_ms.saturating_sub(record.drain_unix_ms?);
    (after_ms > DRAIN_MS).then_some(Breach::Drained { after_ms })
}

/// A round in which less than a tenth is served shows nothing.
fn unserved(told: &[load::TryResult]) -> Option<Breach> {
    let served = told.iter().filter(|t| t.outcome == load::Outcome::Served).count() as u64;
    let made = told.len() as u64;
    (served * 10 < made || made == 0).then_some(Breach::Unserved { served, made })
}
