//! Usage by organisation and kind.
//!
//! The entry of a call counts it, once, when it has answered. Each organisation is charged for the calls
//! its services served whole, each worth its kind's weight.

use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::mesh;

pub mod collect;
pub mod outbox;
pub mod post;
pub mod record;
pub mod sum;
pub mod tally;

pub use tally::Tally;

#[cfg(test)]
mod tests;

/// How a call ended, as its entry answered it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran, and its whole answer went out. Charged.
    Served,
    /// Ran, and the upstream's whole answer is a server error.
    Failed,
    /// Not run: refused at some point before.
    Refused,
    /// May have run, or its answer was cut short.
    Unknown,
    /// The caller left before the answer; counts for no objective.
    Left,
}

/// All outcomes, in the order of the counters.
pub const OUTCOMES: [Outcome; 5] =
    [Outcome::Served, Outcome::Failed, Outcome::Refused, Outcome::Unknown, Outcome::Left];

impl Outcome {
    /// The outcome's name in reports and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Failed => "failed",
            Outcome::Refused => "refused",
            Outcome::Unknown => "unknown",
            Outcome::Left => "left",
        }
    }
}

/// One call that has been answered.
#[derive(Clone, Copy, Debug)]
pub struct Count<'a> {
    /// Service that was called.
    pub service: &'a SmolStr,
    /// Organisation that is charged.
    pub organisation: &'a SmolStr,
    /// Kind of the call.
    pub kind: &'a SmolStr,
    /// Worth of one call of the kind.
    pub weight: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// From the request's head to the answer's last byte.
    pub latency: time::Duration,
    /// Latency objective of the service.
    pub limit: time::Duration,
}

impl<'a> Count<'a> {
    /// The count of a call of `kind`, a key of `mesh`.
    pub fn new(
        mesh: &'a mesh::Mesh,
        kind: mesh::KindKey,
        outcome: Outcome,
        latency: time::Duration,
    ) -> Self {
        let kind = mesh.kind(kind);
        let service = mesh.service(kind.service);
        Self {
            service: &service.name,
            organisation: &mesh.organisation(service.organisation).name,
            kind: &kind.name,
            weight: kind.weight,
            outcome,
            latency,
            limit: service.objectives.latency,
        }
    }
}

/// What a row of counts is about.
///
/// The weight is part of it: a configuration that changes a weight begins a new row.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Label {
    /// Organisation that is charged.
    pub organisation: SmolStr,
    /// Service that was called.
    pub service: SmolStr,
    /// Kind of the calls.
    pub kind: SmolStr,
    /// Worth of one call of the kind.
    pub weight: u32,
}

/// Counts of one row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Totals {
    /// Calls by outcome, in the order of [`OUTCOMES`].
    pub calls: [u64; OUTCOMES.len()],
    /// Served calls that took longer than the service's latency objective.
    pub slow: u64,
    /// Served calls by latency: below 2^n times [`tally::FIRST_BOUND`], the last one unbounded.
    pub latencies: [u64; tally::BUCKETS],
    /// Sum of the latencies of served calls, in microseconds.
    pub micros: u64,
}

impl Totals {
    /// Calls that ended with `outcome`.
    pub const fn of(&self, outcome: Outcome) -> u64 {
        self.calls[outcome as usize]
    }

    /// Adds the counts of `other`; saturates.
    pub fn add(&mut self, other: &Totals) {
        for (mine, theirs) in self.calls.iter_mut().zip(&other.calls) {
            *mine = mine.saturating_add(*theirs);
        }
        self.slow = self.slow.saturating_add(other.slow);
        self.micros = self.micros.saturating_add(other.micros);
        for (mine, theirs) in self.latencies.iter_mut().zip(&other.latencies) {
            *mine = mine.saturating_add(*theirs);
        }
    }
}

/// What was counted since the last delta. Each row has its own label.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Rows with at least one call.
    pub rows: Vec<(Label, Totals)>,
}
