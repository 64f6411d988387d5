//! Figures of a measurement of the spread.

use std::time;

use serde::Serialize;

use crate::bench::converge::baseline;

/// Quantiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Half of them.
    pub p50: u64,
    /// 99 of 100.
    pub p99: u64,
    /// The longest.
    pub max: u64,
}

impl Quantiles {
    /// The quantiles of `list`, zero when it is empty.
    pub fn of(mut list: Vec<u64>) -> Self {
        list.sort_unstable();
        let at = |share: f64| {
            let place = (share * list.len() as f64).ceil() as usize;
            list.get(place.saturating_sub(1)).copied().unwrap_or_default()
        };
        Self { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}

/// Control bytes of one node, by purpose: sent to other nodes, and both ways with the log.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Bytes {
    /// Membership.
    pub member: f64,
    /// Configuration between nodes.
    pub spread: f64,
    /// Requests to the log and its answers.
    pub log: f64,
    /// All of them.
    pub total: f64,
}

/// All figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Preset of the settings.
    pub preset: String,
    /// Nodes.
    pub nodes: usize,
    /// Changes published.
    pub changes: usize,
    /// Nodes that did not run a change in time, over all changes; its times are left out.
    pub missed: usize,
    /// Time from acceptance until a node runs the version.
    pub convergence_ms: Quantiles,
    /// Control bytes a node a second while nothing changes.
    pub idle_bytes_s: Bytes,
    /// Control bytes a node a change, what is idle taken off.
    pub change_bytes: Bytes,
    /// The compressed delta with its digest, in bytes, a change.
    pub delta_bytes: f64,
    /// Bytes of configuration between nodes a node a change, over the delta with its digest.
    pub spread_ratio: f64,
    /// Requests to the log a change by all nodes, what is idle taken off.
    pub source_reads: f64,
    /// Bytes sent by the log a change to all nodes, what is idle taken off.
    pub source_bytes: f64,
    /// Requests to the log a second by all nodes while nothing changes.
    pub idle_reads_s: f64,
    /// Share of a core a node used while nothing changed, in percent.
    pub idle_cpu_percent: f64,
    /// Processor time a node a change, in milliseconds, what is idle taken off.
    pub change_cpu_ms: f64,
    /// Largest resident memory of a node, in MiB.
    pub rss_mib: f64,
    /// Every node polls the log.
    pub baselines: Vec<baseline::Baseline>,
}

impl Report {
    /// The figures as text.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{} nodes, preset {}, {} changes ({} missed)\n\
             convergence   p50 {} ms, p99 {} ms, max {} ms\n\
             idle          {:.0} B/s a node (member {:.0}, spread {:.0}, log {:.0}), {:.3}% of a core\n\
             a change      {:.0} B a node (spread {:.0}, {:.2} of the delta with its digest), {:.2} ms of a core\n\
             source        {:.1} requests and {:.0} B a change, {:.2} requests a second idle\n\
             memory        {:.1} MiB at most\n",
            self.nodes,
            self.preset,
            self.changes,
            self.missed,
            self.convergence_ms.p50,
            self.convergence_ms.p99,
            self.convergence_ms.max,
            self.idle_bytes_s.total,
            self.idle_bytes_s.member,
            self.idle_bytes_s.spread,
            self.idle_bytes_s.log,
            self.idle_cpu_percent,
            self.change_bytes.total,
            self.change_bytes.spread,
            self.spread_ratio,
            self.change_cpu_ms,
            self.source_reads,
            self.source_bytes,
            self.idle_reads_s,
            self.rss_mib,
        );
        for baseline in &self.baselines {
            out += &format!(
                "polling {:?} every {} ms: p50 {} ms, p99 {} ms, max {} ms; {:.0} B/s a node; source {:.1} requests/s, {:.0} B/s\n",
                baseline.kind,
                baseline.period_ms,
                baseline.convergence_ms.p50,
                baseline.convergence_ms.p99,
                baseline.convergence_ms.max,
                baseline.node_bytes_s,
                baseline.reads_s,
                baseline.read_bytes_s,
            );
        }
        out
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
