//! The report of a measurement of `converge`.

use std::time;

use serde::Serialize;

use crate::bench::converge::baseline;

/// Quantiles of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

impl Quantiles {
    /// The quantiles of `list`, zero when it is empty.
    pub fn of(mut list: Vec<u64>) -> Self {
        list.sort_unstable();
        let at = |share: f64| {
            let rank = (share * list.len() as f64).ceil() as usize;
            list.get(rank.saturating_sub(1)).copied().unwrap_or_default()
        };
        Self { p50: at(0.5), p99: at(0.99), max: at(1.0) }
    }
}

/// Control traffic of one node in bytes by purpose: sent to other nodes, or exchanged with the log.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Bytes {
    /// Membership.
    pub member: f64,
    /// Configuration sent between nodes.
    pub spread: f64,
    /// Requests to the log and its responses.
    pub log: f64,
    /// The sum of the others.
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
    /// Number of times that a node did not apply a change in time; these have no convergence time.
    pub missed: usize,
    /// Time from the acceptance of a version until a node applies it.
    pub convergence_ms: Quantiles,
    /// Control traffic per node and second while nothing changes.
    pub idle_bytes_s: Bytes,
    /// Control traffic per node and change, minus the idle traffic.
    pub change_bytes: Bytes,
    /// Mean size of a change's compressed delta with its digest, in bytes.
    pub delta_bytes: f64,
    /// Bytes of configuration sent between nodes per node and change, divided by `delta_bytes`.
    pub spread_ratio: f64,
    /// Requests of all nodes to the log per change, minus the idle ones.
    pub source_reads: f64,
    /// Bytes sent by the log to all nodes per change, minus the idle ones.
    pub source_bytes: f64,
    /// Requests of all nodes to the log per second while nothing changes.
    pub idle_reads_s: f64,
    /// Processor use per node while nothing changes, in percent of a core.
    pub idle_cpu_percent: f64,
    /// Processor time per node and change in milliseconds, minus the idle time.
    pub change_cpu_ms: f64,
    /// Maximum resident memory of a node, in MiB.
    pub rss_mib: f64,
    /// The same measurements when every node polls the log.
    pub baselines: Vec<baseline::Baseline>,
}

impl Report {
    /// The report as text.
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
