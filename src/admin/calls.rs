//! Metrics of calls by outcome and of their latencies.

use std::collections;
use std::collections::btree_map;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::collector;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeMetric as _;
use prometheus_client::metrics;
use prometheus_client::metrics::counter;
use smol_str::SmolStr;

use crate::usage;
use crate::usage::tally;

/// Maximum number of rows, since each new configuration can add labels. Calls with further labels
/// are not counted.
const MAX_ROWS: usize = 4096;

/// Labels of a row: a kind of call to a service, for all weights and organisations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Row {
    service: SmolStr,
    kind: SmolStr,
}

/// Total numbers of calls since the start of the process. Clones share the totals.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    rows: Arc<Mutex<collections::BTreeMap<Row, usage::Totals>>>,
}

impl Calls {
    /// Adds the counts of `delta`.
    pub fn add(&self, delta: &usage::Delta) {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        for (label, totals) in &delta.rows {
            let row = Row { service: label.service.clone(), kind: label.kind.clone() };
            let known = rows.len();
            match rows.entry(row) {
                btree_map::Entry::Occupied(mut entry) => entry.get_mut().add(totals),
                btree_map::Entry::Vacant(entry) if known < MAX_ROWS => {
                    entry.insert(*totals);
                }
                btree_map::Entry::Vacant(_) => {}
            }
        }
    }

    /// Returns a copy of the rows.
    fn snapshot(&self) -> Vec<(Row, usage::Totals)> {
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.iter().map(|(label, totals)| (label.clone(), *totals)).collect()
    }
}

impl collector::Collector for Calls {
    fn encode(&self, mut encoder: encoding::DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let rows = self.snapshot();
        let help = "Calls answered at this entry by outcome";
        let kind = counter::ConstCounter::new(0u64).metric_type();
        let mut metric = encoder.encode_descriptor("calls", help, None, kind)?;
        for (label, totals) in &rows {
            for outcome in usage::OUTCOMES {
                let labels = [
                    ("service", label.service.as_str()),
                    ("kind", label.kind.as_str()),
                    ("outcome", outcome.name()),
                ];
                let counter = counter::ConstCounter::new(totals.of(outcome));
                counter.encode(metric.encode_family(&labels)?)?;
            }
        }
        encode_latencies(&mut encoder, &rows)
    }
}

fn encode_latencies(
    encoder: &mut encoding::DescriptorEncoder<'_>,
    rows: &[(Row, usage::Totals)],
) -> Result<(), fmt::Error> {
    let help = "Time from a served call's head to its answer's last byte";
    let kind = metrics::MetricType::Histogram;
    let mut metric = encoder.encode_descriptor("call_seconds", help, None, kind)?;
    for (label, totals) in rows {
        let labels = [("service", label.service.as_str()), ("kind", label.kind.as_str())];
        let buckets: Vec<(f64, u64)> = bucket_bounds().zip(totals.latencies).collect();
        let sum = std::time::Duration::from_micros(totals.micros).as_secs_f64();
        let count = totals.of(usage::Outcome::Served);
        metric
            .encode_family(&labels)?
            .encode_histogram::<[(&str, &str); 0]>(sum, count, &buckets, None)?;
    }
    Ok(())
}

/// Upper bounds of the latency buckets, in seconds.
fn bucket_bounds() -> impl Iterator<Item = f64> {
    let finite = (0..tally::BUCKETS - 1).scan(tally::FIRST_BOUND.as_secs_f64(), |bound, _| {
        let this = *bound;
        *bound *= 2.0;
        Some(this)
    });
    finite.chain([f64::INFINITY])
}
