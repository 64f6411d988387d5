//! The status of the mesh, combined from the status reports of its nodes.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::admin::status;
use crate::logs::reachability;

/// Maximum number of hosts in one list of a report. The counts are always complete.
pub const MAX_NAMED_HOSTS: usize = 50;

/// How much of the mesh a report covers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Nodes that answered.
    #[serde(rename = "heard")]
    pub answered: u32,
    /// Nodes known to the node that creates the report, including itself.
    pub hosts: u32,
    /// Whether all of them answered. An incomplete report covers only those that did.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Hosts that did not answer, at most [`MAX_NAMED_HOSTS`].
    pub missing: Vec<SmolStr>,
}

impl Coverage {
    /// Creates the coverage of a report in which `answered` nodes answered and `missing` did not.
    pub fn new(answered: usize, mut missing: Vec<SmolStr>) -> Self {
        let hosts = answered + missing.len();
        let whole = missing.is_empty();
        missing.truncate(MAX_NAMED_HOSTS);
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Self { answered: count(answered), hosts: count(hosts), complete: whole, missing }
    }
}

/// Nodes of one availability zone that run one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Running {
    /// The availability zone.
    pub zone: SmolStr,
    /// Number of the version.
    pub version: u64,
    /// How many nodes run it.
    pub nodes: u32,
}

/// A node that runs an older version than the newest one in the report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Behind {
    /// Its base address.
    pub host: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Number of the version it runs.
    pub version: u64,
    /// Time since the newest version was first applied anywhere, in milliseconds.
    pub behind_ms: u64,
}

/// How the log answers the nodes that use it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Log {
    /// Nodes whose last request succeeded.
    pub answers: u32,
    /// Nodes whose last request failed.
    pub fails: u32,
    /// Nodes that have not sent a request yet.
    pub unasked: u32,
    /// Start of the longest current outage that a node sees, in milliseconds since the Unix epoch.
    pub fails_since_unix_ms: Option<u64>,
}

/// The status of the mesh according to the nodes that answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MeshStatus {
    /// How much of the mesh this covers.
    pub coverage: Coverage,
    /// Number of the newest version that any node runs.
    pub newest: u64,
    /// Digest of that version's file.
    pub digest: String,
    /// When a node first applied it, in milliseconds since the Unix epoch.
    pub newest_unix_ms: Option<u64>,
    /// Nodes by availability zone and version, sorted.
    pub running: Vec<Running>,
    /// How many nodes are behind.
    pub behind: u32,
    /// Nodes that are behind, at most [`MAX_NAMED_HOSTS`], oldest version first.
    pub behind_hosts: Vec<Behind>,
    /// Nodes that are not ready.
    pub unready: u32,
    /// How the log answers.
    pub log: Log,
    /// Upstreams by service and phase, as reported by the nodes beside them.
    pub upstreams: collections::BTreeMap<SmolStr, status::Upstreams>,
}

/// Combines `answers` at the wall-clock time `unix_ms`; the hosts of `missing` did not answer.
pub fn combine(answers: &[status::Status], missing: Vec<SmolStr>, unix_ms: u64) -> MeshStatus {
    let newest = answers.iter().map(|a| a.version).max().unwrap_or(0);
    let runs_newest = || answers.iter().filter(|a| a.version == newest);
    let newest_unix_ms = runs_newest().filter_map(|a| a.applied_unix_ms).min();
    let age = newest_unix_ms.map_or(0, |first| unix_ms.saturating_sub(first));
    let mut behind = behind(answers, newest, age);
    let count = u32::try_from(behind.len()).unwrap_or(u32::MAX);
    behind.truncate(MAX_NAMED_HOSTS);
    MeshStatus {
        coverage: Coverage::new(answers.len(), missing),
        newest,
        digest: runs_newest().next().map(|a| a.digest.clone()).unwrap_or_default(),
        newest_unix_ms,
        running: running(answers),
        behind: count,
        behind_hosts: behind,
        unready: answers.iter().map(|a| u32::from(!a.ready)).sum(),
        log: log(answers),
        upstreams: upstreams(answers),
    }
}

fn running(answers: &[status::Status]) -> Vec<Running> {
    let mut counts = collections::BTreeMap::<(SmolStr, u64), u32>::new();
    for answer in answers {
        *counts.entry((answer.zone.clone(), answer.version)).or_default() += 1;
    }
    let rows = counts.into_iter();
    rows.map(|((zone, version), nodes)| Running { zone, version, nodes }).collect()
}

fn behind(answers: &[status::Status], newest: u64, age: u64) -> Vec<Behind> {
    let older = answers.iter().filter(|a| a.version < newest);
    let row = |a: &status::Status| Behind {
        host: a.host.clone(),
        zone: a.zone.clone(),
        version: a.version,
        behind_ms: age,
    };
    let mut rows: Vec<Behind> = older.map(row).collect();
    rows.sort_by(|a, b| (a.version, &a.host).cmp(&(b.version, &b.host)));
    rows
}

fn log(answers: &[status::Status]) -> Log {
    let mut log = Log::default();
    for answer in answers {
        match answer.log {
            reachability::Reachability::Unasked => log.unasked += 1,
            reachability::Reachability::Answers { .. } => log.answers += 1,
            reachability::Reachability::Fails { since_unix_ms } => {
                log.fails += 1;
                let first = log.fails_since_unix_ms.unwrap_or(since_unix_ms);
                log.fails_since_unix_ms = Some(first.min(since_unix_ms));
            }
        }
    }
    log
}

fn upstreams(answers: &[status::Status]) -> collections::BTreeMap<SmolStr, status::Upstreams> {
    let mut services = collections::BTreeMap::<SmolStr, status::Upstreams>::new();
    for local in answers.iter().filter_map(|a| a.local.as_ref()) {
        let counts = services.entry(local.service.clone()).or_default();
        let count = match local.phase.as_str() {
            "warming" => &mut counts.warming,
            "draining" => &mut counts.draining,
            _ => &mut counts.serving,
        };
        *count += 1;
    }
    services
}
