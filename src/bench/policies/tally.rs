//! Counts and results of one run.

use serde::Serialize;

use crate::admit;
use crate::bench::named_limit;
use crate::bench::policies::setup;
use crate::clock;
use crate::retry;

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Calls that arrived.
    pub calls: u64,
    /// Weight of the served calls, divided by the maximum that the upstreams could have served.
    pub goodput: f64,
    /// Share of the orders that were served.
    pub orders: f64,
    /// Median time to the response of a served call, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the time to the response of a served call, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the time to the response of a served call, in microseconds.
    pub p999_us: u64,
    /// Attempts per call.
    pub attempts: f64,
    /// Calls refused as not run.
    pub refused: u64,
    /// 99th percentile of the time to a refusal, in microseconds.
    pub refused_p99_us: u64,
    /// Calls that ended at their deadline.
    pub timeouts: u64,
    /// Calls that may have run, the timeouts included.
    pub unknown: u64,
    /// Attempts refused at the limit of an upstream.
    pub limited: u64,
    /// Most calls that started at a limited upstream in four seconds, as a share of what is allowed.
    pub limit_share: f64,
}

/// Counts while a run goes on.
pub(super) struct Tally {
    calls: u64,
    attempts: u64,
    offered: [u64; 2],
    served: [u64; 2],
    latencies_us: hdrhistogram::Histogram<u32>,
    refusals_us: hdrhistogram::Histogram<u32>,
    refused: u64,
    timeouts: u64,
    unknown: u64,
    limited: u64,
}

/// Largest time that is recorded; larger ones count as this.
const MAX_TIME_US: u64 = 10_000_000;

impl Tally {
    pub(super) fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            calls: 0,
            attempts: 0,
            offered: [0; 2],
            served: [0; 2],
            latencies_us: hdrhistogram::Histogram::new_with_max(MAX_TIME_US, 3)?,
            refusals_us: hdrhistogram::Histogram::new_with_max(MAX_TIME_US, 3)?,
            refused: 0,
            timeouts: 0,
            unknown: 0,
            limited: 0,
        })
    }

    pub(super) fn arrived(&mut self, kind: setup::Kind) {
        self.calls += 1;
        self.offered[kind as usize] += 1;
    }

    pub(super) fn attempt(&mut self) {
        self.attempts += 1;
    }

    pub(super) fn limited(&mut self) {
        self.limited += 1;
    }

    pub(super) fn ended(&mut self, kind: setup::Kind, outcome: retry::Outcome, micros: u64) {
        match outcome {
            retry::Outcome::Ran => {
                self.served[kind as usize] += 1;
                self.latencies_us.saturating_record(micros);
            }
            retry::Outcome::NotRun(_) => {
                self.refused += 1;
                self.refusals_us.saturating_record(micros);
            }
            retry::Outcome::Unknown(reason) => {
                self.unknown += 1;
                self.timeouts += u64::from(reason == retry::Reason::Timeout);
            }
        }
    }

    /// The results, given that the upstreams could have run `capacity` calls.
    pub(super) fn figures(&self, capacity: f64, limited_starts: &[clock::Instant]) -> Figures {
        let limit = admit::Rate::from_millis(setup::LIMIT_MILLIS);
        let allowed = named_limit::allowed(limit.per_second());
        let [browses, orders] = self.offered.map(|n| n as f64);
        let best_orders = orders.min(capacity);
        let best_browses = browses.min(capacity - best_orders);
        let best = best_browses + best_orders * f64::from(setup::Kind::Order.weight());
        let [served_browses, served_orders] = self.served.map(|n| n as f64);
        let weight = served_browses + served_orders * f64::from(setup::Kind::Order.weight());
        Figures {
            calls: self.calls,
            goodput: weight / best.max(1.0),
            orders: served_orders / orders.max(1.0),
            p50_us: self.latencies_us.value_at_quantile(0.5),
            p99_us: self.latencies_us.value_at_quantile(0.99),
            p999_us: self.latencies_us.value_at_quantile(0.999),
            attempts: self.attempts as f64 / self.calls.max(1) as f64,
            refused: self.refused,
            refused_p99_us: self.refusals_us.value_at_quantile(0.99),
            timeouts: self.timeouts,
            unknown: self.unknown,
            limited: self.limited,
            limit_share: named_limit::most_starts(limited_starts) as f64 / allowed as f64,
        }
    }
}
