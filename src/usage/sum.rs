//! Computes the charges by organisation, kind and period from the `usage` stream.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::logs;
use crate::usage::record;

/// Charge for the calls of one organisation, service, kind and weight in one period.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Charge {
    /// Start of the period, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Organisation that is charged.
    pub organisation: SmolStr,
    /// Service that was called.
    pub service: SmolStr,
    /// Kind of the calls.
    pub kind: SmolStr,
    /// Weight of one call.
    pub weight: u32,
    /// Number of calls that were answered completely.
    pub served: u64,
    /// Number of calls times the weight.
    pub charge: u64,
}

/// Adds up the records of the stream; each total counts once.
#[derive(Debug, Default)]
pub struct Sum {
    period_ms: u64,
    seen: collections::HashSet<record::TotalId>,
    counts: collections::BTreeMap<(u64, crate::usage::Label), u64>,
    /// Number of repeated totals.
    repeats: u64,
    /// Number of records that did not decode.
    unreadable: u64,
}

impl Sum {
    /// An empty sum by periods of `period_ms` milliseconds, at least 1.
    pub fn new(period_ms: u64) -> Self {
        Self { period_ms: period_ms.max(1), ..Self::default() }
    }

    /// Adds one record.
    pub fn add(&mut self, record: &logs::Record) {
        let Ok(totals) = record::split(&record.body) else {
            self.unreadable += 1;
            return;
        };
        for total in totals {
            if !self.seen.insert(total.id) {
                self.repeats += 1;
                continue;
            }
            let period = total.until_unix_ms / self.period_ms * self.period_ms;
            for row in total.rows {
                let count = self.counts.entry((period, row.label)).or_default();
                *count = count.saturating_add(row.served);
            }
        }
    }

    /// Number of repeated totals, which were not counted again.
    pub const fn repeats(&self) -> u64 {
        self.repeats
    }

    /// Number of records that did not decode.
    pub const fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// The charges, sorted by period, organisation, service, kind and weight.
    pub fn charges(&self) -> Vec<Charge> {
        let charge = |((since, label), served): (&(u64, crate::usage::Label), &u64)| Charge {
            since_unix_ms: *since,
            organisation: label.organisation.clone(),
            service: label.service.clone(),
            kind: label.kind.clone(),
            weight: label.weight,
            served: *served,
            charge: served.saturating_mul(u64::from(label.weight)),
        };
        self.counts.iter().map(charge).collect()
    }
}
