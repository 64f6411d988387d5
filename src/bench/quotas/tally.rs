//! Counts of a run.

use serde::Serialize;

use crate::clock;
use crate::quota;

/// The results of a run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Figures {
    /// Calls that came in.
    pub asked: u64,
    /// Calls that were allowed.
    pub allowed: u64,
    /// Share of the calls that were refused.
    pub refused_share: f64,
    /// Largest excess over the limit in any span, as a share of what is tolerated; above 1 the limit
    /// is broken.
    pub overrun: f64,
    /// Bytes that a node sends per second, without the headers of the network.
    pub node_bytes: f64,
    /// Median time for which allowed calls wait.
    pub wait_p50_ms: f64,
    /// Time for which one allowed call in a hundred waits longer.
    pub wait_p99_ms: f64,
}

/// Counts of a run that goes on.
#[derive(Debug, Default)]
pub struct Tally {
    asked: u64,
    allowed: Vec<clock::Instant>,
    waits_us: Vec<u64>,
    bytes: u64,
}

impl Tally {
    /// Counts a call that came in.
    pub fn ask(&mut self) {
        self.asked += 1;
    }

    /// Counts a call that came in at `arrived` and is allowed at `now`.
    pub fn allow(&mut self, arrived: clock::Instant, now: clock::Instant) {
        self.allowed.push(now);
        self.waits_us.push(now.since(arrived).as_micros().try_into().unwrap_or(u64::MAX));
    }

    /// Counts a message of `bytes`.
    pub fn send(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
    }

    /// The results after `seconds` with `nodes` nodes. `limit_at` returns the limit in force.
    pub fn figures(
        mut self,
        limit_at: impl Fn(clock::Instant) -> quota::Limit,
        tolerance: &quota::Tolerance,
        nodes: usize,
        seconds: f64,
    ) -> Figures {
        self.waits_us.sort_unstable();
        let wait = |share: f64| {
            let index = (self.waits_us.len().saturating_sub(1)) as f64 * share;
            self.waits_us.get(index as usize).map_or(0.0, |us| *us as f64 / 1000.0)
        };
        let allowed = self.allowed.len() as u64;
        let refused = self.asked - allowed;
        Figures {
            asked: self.asked,
            allowed,
            refused_share: refused as f64 / self.asked.max(1) as f64,
            overrun: overrun(&self.allowed, limit_at, tolerance),
            node_bytes: self.bytes as f64 / nodes as f64 / seconds,
            wait_p50_ms: wait(0.5),
            wait_p99_ms: wait(0.99),
        }
    }
}

/// The largest excess of `allowed`, in order of time, in any span.
fn overrun(
    allowed: &[clock::Instant],
    limit_at: impl Fn(clock::Instant) -> quota::Limit,
    tolerance: &quota::Tolerance,
) -> f64 {
    let mut first = 0;
    let mut worst: f64 = 0.0;
    for (index, last) in allowed.iter().enumerate() {
        while last.since(allowed[first]) > tolerance.window {
            first += 1;
        }
        let limit = limit_at(allowed[first]);
        let within = limit.rate * tolerance.window.as_secs_f64() + limit.burst;
        let excess = (index + 1 - first) as f64 - within;
        worst = worst.max(excess / (tolerance.over * within + tolerance.slack));
    }
    worst
}
