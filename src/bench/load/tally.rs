//! Counts and latencies of the calls of each flow.

use std::collections;
use std::fmt::Write as _;
use std::time;

use hdrhistogram::Histogram;
use serde_json::json;
use smol_str::SmolStr;

use crate::bench::load::call;
use crate::bench::load::plan;

/// Largest latency that is recorded; larger ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Precision of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts of one flow.
#[derive(Clone, Debug)]
pub struct Count {
    /// Name of the flow.
    pub name: SmolStr,
    /// Weight of a served call in the goodput.
    pub weight: u32,
    /// Calls whose start time was reached.
    pub due: u64,
    /// Calls not sent because too many were in flight.
    pub dropped: u64,
    /// Tries sent.
    pub tries: u64,
    /// Calls by the outcome of their last try.
    pub outcomes: collections::BTreeMap<call::Outcome, u64>,
    /// Tries that did not serve, by reason.
    pub reasons: collections::BTreeMap<SmolStr, u64>,
    /// Latency of calls served, in microseconds.
    pub served: Histogram<u64>,
    /// Latency of tries refused as not run, in microseconds.
    pub refused: Histogram<u64>,
}

impl Count {
    fn new(flow: &plan::Flow) -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            name: flow.name.clone(),
            weight: flow.weight,
            due: 0,
            dropped: 0,
            tries: 0,
            outcomes: collections::BTreeMap::new(),
            reasons: collections::BTreeMap::new(),
            served: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            refused: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
        })
    }

    /// Calls that ended in `outcome`.
    pub fn of(&self, outcome: call::Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    fn report(&self, seconds: f64) -> serde_json::Value {
        json!({
            "name": self.name,
            "due": self.due,
            "dropped": self.dropped,
            "tries": self.tries,
            "outcomes": self.outcomes,
            "reasons": self.reasons,
            "goodput": self.of(call::Outcome::Served) as f64 / seconds,
            "served_us": latencies(&self.served),
            "refused_us": latencies(&self.refused),
        })
    }
}

/// Counts of all flows.
#[derive(Clone, Debug)]
pub struct Tally {
    /// In the order of the plan's flows.
    pub counts: Vec<Count>,
    /// The results of all tries, if the plan keeps them.
    pub results: Vec<call::TryResult>,
    keep: bool,
}

impl Tally {
    /// Empty counts of the plan's flows.
    pub fn new(plan: &plan::Plan) -> Result<Self, hdrhistogram::CreationError> {
        let counts = plan.flows.iter().map(Count::new).collect::<Result<_, _>>()?;
        Ok(Self { counts, results: Vec::new(), keep: plan.keep })
    }

    /// Counts a call that was due but not sent.
    pub(super) fn dropped(&mut self, flow: usize) {
        self.counts[flow].due += 1;
        self.counts[flow].dropped += 1;
    }

    /// Counts a call that took `latency` over `tries`; the last of them is final.
    pub(super) fn call(
        &mut self,
        flow: usize,
        tries: Vec<call::TryResult>,
        latency: time::Duration,
    ) {
        let count = &mut self.counts[flow];
        count.due += 1;
        count.tries += tries.len() as u64;
        for result in tries.iter().filter(|t| t.outcome != call::Outcome::Served) {
            *count.reasons.entry(result.reason.clone()).or_default() += 1;
            if result.outcome == call::Outcome::NotRun {
                count.refused.saturating_record(micros(result.latency));
            }
        }
        if let Some(last) = tries.last() {
            *count.outcomes.entry(last.outcome).or_default() += 1;
            if last.outcome == call::Outcome::Served {
                count.served.saturating_record(micros(latency));
            }
        }
        if self.keep {
            self.results.extend(tries);
        }
    }

    /// Adds the counts of another thread with the same plan.
    pub(super) fn add(&mut self, other: Tally) {
        for (own, other) in self.counts.iter_mut().zip(other.counts) {
            own.due += other.due;
            own.dropped += other.dropped;
            own.tries += other.tries;
            merge(&mut own.outcomes, other.outcomes);
            merge(&mut own.reasons, other.reasons);
            let _same_bounds = own.served.add(&other.served);
            let _same_bounds = own.refused.add(&other.refused);
        }
        self.results.extend(other.results);
    }

    /// Calls of all flows that ended in `outcome`.
    pub fn of(&self, outcome: call::Outcome) -> u64 {
        self.counts.iter().map(|count| count.of(outcome)).sum()
    }

    /// The sum of the weights of the served calls.
    pub fn weighted(&self) -> u64 {
        let served = self.counts.iter();
        served.map(|c| c.of(call::Outcome::Served) * u64::from(c.weight)).sum()
    }

    /// The report as JSON, for calls that were due within `duration`.
    pub fn report(&self, duration: time::Duration) -> serde_json::Value {
        let seconds = duration.as_secs_f64();
        let flows: Vec<_> = self.counts.iter().map(|c| c.report(seconds)).collect();
        json!({ "seconds": seconds, "weighted": self.weighted(), "flows": flows })
    }

    /// The report as text.
    pub fn text(&self, duration: time::Duration) -> String {
        let mut text = String::new();
        for count in &self.counts {
            let served = count.of(call::Outcome::Served);
            let rate = served as f64 / duration.as_secs_f64();
            let _infallible = writeln!(
                text,
                "{}: {} due, {served} served ({rate:.1} a second), p50 {} us, p99 {} us, {:?}",
                count.name,
                count.due,
                count.served.value_at_quantile(0.5),
                count.served.value_at_quantile(0.99),
                count.outcomes,
            );
        }
        text
    }
}

fn merge<K: Ord>(own: &mut collections::BTreeMap<K, u64>, other: collections::BTreeMap<K, u64>) {
    for (key, count) in other {
        *own.entry(key).or_default() += count;
    }
}

fn latencies(histogram: &Histogram<u64>) -> serde_json::Value {
    json!({
        "count": histogram.len(),
        "mean": histogram.mean(),
        "p50": histogram.value_at_quantile(0.5),
        "p90": histogram.value_at_quantile(0.9),
        "p99": histogram.value_at_quantile(0.99),
        "p999": histogram.value_at_quantile(0.999),
        "max": histogram.max(),
    })
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
