//! Charges by organisation, kind and period, from the `usage` stream.

use std::collections;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::logs;
use crate::usage::record;

/// What was served to a period.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Charge {
    /// When the period began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// Organisation that is charged.
    pub organisation: SmolStr,
    /// Service that was called.
    pub service: SmolStr,
    /// Kind of the calls.
    pub kind: SmolStr,
    /// Worth of one call.
    pub weight: u32,
    /// Calls served whole.
    pub served: u64,
    /// Worth of all of them.
    pub charge: u64,
}

/// Adds up the records of the stream; each total counts once.
#[derive(Debug, Default)]
pub struct Sum {
    period_ms: u64,
    seen: collections::HashSet<record::TotalId>,
    counts: collections::BTreeMap<(u64, crate::usage::Label), u64>,
    /// Totals that were there more than once.
    repeats: u64,
    /// Records that could not be read.
    unreadable: u64,
}

impl Sum {
    /// A sum by periods of `period_ms` milliseconds, at least 1.
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

    /// Totals that were there more than once and counted once.
    pub const fn repeats(&self) -> u64 {
        self.repeats
    }

    /// Records that could not be read.
    pub const fn unreadable(&self) -> u64 {
        self.unreadable
    }

    /// The charges, by period, organisation, service and kind.
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
