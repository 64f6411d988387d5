//! The results of one run.

use serde::Serialize;
use smol_str::SmolStr;

use crate::bench::calls::site;
use crate::bench::load;

/// Latencies in microseconds, from the intended start of each call.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Latency {
    /// Calls measured.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
}

impl Latency {
    fn new(histogram: &hdrhistogram::Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
        }
    }
}

/// Results of one kind of call.
#[derive(Clone, Debug, Serialize)]
pub struct Flow {
    /// Its name.
    pub name: SmolStr,
    /// Calls whose start time was reached.
    pub due: u64,
    /// Calls that ran and whose complete response arrived.
    pub served: u64,
    /// Calls refused as not run.
    pub refused: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls without a complete response in time or without an outcome header, and calls not sent.
    pub unanswered: u64,
    /// Calls whose response had no error but was truncated or another call's; must be 0.
    pub wrong: u64,
    /// Latency of the served calls.
    pub whole: Latency,
    /// Latency of the refusals.
    pub refusals: Latency,
}

impl Flow {
    fn new(count: &load::Count) -> Self {
        let of = |outcome| count.of(outcome);
        Self {
            name: count.name.clone(),
            due: count.due,
            served: of(load::Outcome::Served),
            refused: of(load::Outcome::NotRun),
            unknown: of(load::Outcome::Unknown),
            unanswered: of(load::Outcome::Broken)
                + of(load::Outcome::Connect)
                + of(load::Outcome::Silent)
                + of(load::Outcome::Unnamed)
                + count.dropped,
            wrong: of(load::Outcome::Wrong),
            whole: Latency::new(&count.served),
            refusals: Latency::new(&count.refused),
        }
    }
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What was run.
    pub case: String,
    /// Load in percent of the capacity without a fault.
    pub percent: u32,
    /// Weight of the served calls, divided by the maximum that could be served without a fault.
    pub goodput: f64,
    /// By kind; `quick` are the calls that take no time at the upstream.
    pub flows: Vec<Flow>,
    /// Latency of calls that take no time, sent directly to an upstream.
    pub direct: Latency,
    /// What the path through the nodes adds to the 99th percentile, in microseconds.
    pub added_p99_us: i64,
    /// Median through the nodes, divided by the median of direct calls.
    pub ratio_p50: f64,
    /// Reasons of refusals and failures with their counts.
    pub reasons: std::collections::BTreeMap<SmolStr, u64>,
}

impl Row {
    /// The results of `case`, in which the upstreams could run `capacity` calls.
    pub(super) fn new(
        case: site::Case,
        capacity: f64,
        through: load::Tally,
        direct: load::Tally,
    ) -> Self {
        let flows: Vec<Flow> = through.counts.iter().map(Flow::new).collect();
        let latency = |t: &load::Tally| t.counts.last().map(|c| Latency::new(&c.served));
        let none = Latency { count: 0, p50_us: 0, p99_us: 0, p999_us: 0 };
        let (quick, direct) = (latency(&through).unwrap_or(none), latency(&direct).unwrap_or(none));
        let mut reasons = std::collections::BTreeMap::new();
        for (reason, count) in through.counts.iter().flat_map(|c| &c.reasons) {
            *reasons.entry(reason.clone()).or_default() += count;
        }
        Self {
            case: case.to_string(),
            percent: case.percent(),
            goodput: through.weighted() as f64 / best(&through, capacity).max(1.0),
            flows,
            direct,
            added_p99_us: quick.p99_us as i64 - direct.p99_us as i64,
            ratio_p50: quick.p50_us as f64 / direct.p50_us.max(1) as f64,
            reasons,
        }
    }
}

/// The maximum weight that `capacity` calls can serve, with the heaviest of the due calls first.
fn best(tally: &load::Tally, capacity: f64) -> f64 {
    let mut counts: Vec<(u32, u64)> = tally.counts.iter().map(|c| (c.weight, c.due)).collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let mut remaining = capacity;
    let mut best = 0.0;
    for (weight, due) in counts.into_iter().filter(|(weight, _)| *weight > 0) {
        let run = remaining.min(due as f64);
        remaining -= run;
        best += run * f64::from(weight);
    }
    best
}

/// The version in a node's status; 0 if there is none.
pub(super) fn version(status: &serde_json::Value) -> u64 {
    let version = status.get("version");
    version.and_then(serde_json::Value::as_u64).unwrap_or_default()
}

/// Prints `rows` as text.
pub(super) fn print(rows: &[Row]) {
    for row in rows {
        println!(
            "{} at {}%: goodput {:.4}, added p99 {} us (median {:.2} times the direct call's)",
            row.case, row.percent, row.goodput, row.added_p99_us, row.ratio_p50
        );
        for flow in &row.flows {
            println!(
                "  {:<9} due {:>6} served {:>6} refused {:>6} (p99 {} us) unknown {} unanswered {} \
                 wrong {} p50 {} p99 {} p99.9 {} us",
                flow.name,
                flow.due,
                flow.served,
                flow.refused,
                flow.refusals.p99_us,
                flow.unknown,
                flow.unanswered,
                flow.wrong,
                flow.whole.p50_us,
                flow.whole.p99_us,
                flow.whole.p999_us
            );
        }
        println!(
            "  direct p50 {} p99 {} us, reasons {:?}",
            row.direct.p50_us, row.direct.p99_us, row.reasons
        );
    }
}
