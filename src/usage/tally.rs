//! Counting on the call path.

use std::collections;
use std::time;

use crate::ring;
use crate::usage;

/// Number of latency buckets.
pub const BUCKETS: usize = 16;

/// Upper bound of the first latency bucket; each further bound is twice the one before.
pub const FIRST_BOUND: time::Duration = time::Duration::from_micros(256);

/// Counts that the call thread has made and not yet handed over.
///
/// Recording allocates only for a label it has not seen before. Rows that counted nothing between
/// two deltas are dropped, so labels of past configurations don't stay.
#[derive(Debug, Default)]
pub struct Tally {
    rows: collections::HashMap<usage::Label, usage::Totals>,
}

impl Tally {
    /// An empty tally.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one call.
    pub fn record(&mut self, count: &usage::Count<'_>) {
        let label = usage::Label {
            organisation: count.organisation.clone(),
            service: count.service.clone(),
            kind: count.kind.clone(),
            weight: count.weight,
        };
        let totals = self.rows.entry(label).or_default();
        let calls = &mut totals.calls[count.outcome as usize];
        *calls = calls.saturating_add(1);
        if count.outcome == usage::Outcome::Served {
            totals.slow = totals.slow.saturating_add(u64::from(count.latency > count.limit));
            let micros = u64::try_from(count.latency.as_micros()).unwrap_or(u64::MAX);
            totals.micros = totals.micros.saturating_add(micros);
            let bucket = &mut totals.latencies[bucket(count.latency)];
            *bucket = bucket.saturating_add(1);
        }
    }

    /// Hands everything counted to `ring`. When the ring is full the counts stay here and are
    /// part of the next delta; nothing is lost and nothing counts twice.
    pub fn flush(&mut self, ring: &ring::Sender<usage::Delta>) {
        self.rows.retain(|_, totals| totals.calls.iter().any(|&c| c > 0));
        if self.rows.is_empty() {
            return;
        }
        let rows = self.rows.iter().map(|(label, totals)| (label.clone(), *totals)).collect();
        if ring.offer(usage::Delta { rows }).is_ok() {
            self.rows.values_mut().for_each(|totals| *totals = usage::Totals::default());
        }
    }
}

/// Index of the latency bucket of `latency`.
pub fn bucket(latency: time::Duration) -> usize {
    let ratio = latency.as_micros() / FIRST_BOUND.as_micros();
    let bits = u128::BITS - ratio.leading_zeros();
    usize::try_from(bits).unwrap_or(BUCKETS).min(BUCKETS - 1)
}
