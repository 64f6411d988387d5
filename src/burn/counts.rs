//! Counts of good and bad calls by service and time, in bounded memory.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::burn::{Sums, WINDOWS};
use crate::mesh;
use crate::usage;

/// Maximum number of services, which bounds the memory. Calls of further ones are not counted.
const MAX_SERVICES: usize = 4096;

/// A resolution at which counts are kept: a ring buffer of buckets of equal length.
#[derive(Clone, Copy, Debug)]
struct Tier {
    /// Length of a bucket, in seconds.
    length_s: u64,
    /// Maximum number of buckets.
    count: u64,
}

/// Tiers, finest first. A tier covers the time of all but one of its buckets, as the newest one is
/// incomplete: the last tier covers 31 days.
const TIERS: [Tier; 4] = [
    Tier { length_s: 60, count: 61 },
    Tier { length_s: 600, count: 37 },
    Tier { length_s: 3600, count: 25 },
    Tier { length_s: 86_400, count: 32 },
];

/// A bucket: its index, which is the number of bucket lengths since the Unix epoch, and its counts.
type Bucket = (u64, Sums);

/// Counts of one service: a ring buffer for each tier, with buckets in the order of their indexes.
#[derive(Debug, Default)]
struct Service {
    rings: [collections::VecDeque<Bucket>; TIERS.len()],
}

/// Counts of all services at one node since it started.
#[derive(Debug)]
pub struct Counts {
    services: collections::BTreeMap<SmolStr, Service>,
    since_unix_ms: u64,
}

/// The objectives of one service and the counts of one node for it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name of the service.
    pub service: SmolStr,
    /// Availability objective: the share of calls to be served completely.
    pub availability: f64,
    /// Latency objective, in milliseconds.
    pub latency_ms: u64,
    /// Share of served calls that are to meet the latency objective.
    pub share: f64,
    /// Period of the error budget, in seconds.
    pub window_s: u64,
    /// Counts in each of [`WINDOWS`].
    pub windows: [Sums; WINDOWS.len()],
    /// Counts in the period of the error budget.
    pub period: Sums,
}

/// The counts of one node at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Time at which the node started to count, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// One row for each service of the node's configuration.
    pub rows: Vec<Row>,
}

impl Counts {
    /// Creates empty counts of a process that starts to count at `unix_ms`.
    pub fn new(unix_ms: u64) -> Self {
        Self { services: collections::BTreeMap::new(), since_unix_ms: unix_ms }
    }

    /// Adds `delta` to the buckets of the time `unix_ms`.
    pub fn add(&mut self, delta: &usage::Delta, unix_ms: u64) {
        for (label, totals) in &delta.rows {
            let is_counted = self.services.contains_key(&label.service);
            if is_counted || self.services.len() < MAX_SERVICES {
                let service = self.services.entry(label.service.clone()).or_default();
                service.add(&Sums::of(totals), unix_ms / 1000);
            }
        }
    }

    /// Number of buckets in memory.
    pub fn buckets(&self) -> usize {
        let rings = self.services.values().flat_map(|service| &service.rings);
        rings.map(collections::VecDeque::len).sum()
    }

    /// Returns the objectives and counts of the services of `mesh` at `unix_ms`.
    pub fn snapshot(&self, mesh: &mesh::Mesh, unix_ms: u64) -> Snapshot {
        let now = unix_ms / 1000;
        let row = |service: &mesh::Service| {
            let objectives = &service.objectives;
            let counts = self.services.get(&service.name);
            let sum = |window| counts.map_or(Sums::default(), |counts| counts.sum(window, now));
            Row {
                service: service.name.clone(),
                availability: objectives.availability,
                latency_ms: millis(objectives.latency),
                share: objectives.share,
                window_s: objectives.window.as_secs(),
                windows: WINDOWS.map(sum),
                period: sum(objectives.window.as_secs()),
            }
        };
        Snapshot {
            since_unix_ms: self.since_unix_ms,
            rows: mesh.services.iter().map(row).collect(),
        }
    }
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Service {
    /// Adds `sums` to the buckets of the time `now`, in seconds since the Unix epoch.
    fn add(&mut self, sums: &Sums, now: u64) {
        for (ring, tier) in self.rings.iter_mut().zip(TIERS) {
            let index = now / tier.length_s;
            match ring.back_mut() {
                // After the clock stepped back, calls count in the newest bucket.
                Some((newest, counts)) if *newest >= index => counts.add(sums),
                _ => ring.push_back((index, *sums)),
            }
            while ring.front().is_some_and(|&(old, _)| old + tier.count <= index) {
                ring.pop_front();
            }
        }
    }

    /// Adds up the counts of the last `window_s` seconds, rounded up to complete buckets of the
    /// finest tier that covers the window.
    fn sum(&self, window_s: u64, now: u64) -> Sums {
        let covers = |tier: &Tier| tier.length_s * (tier.count - 1) >= window_s;
        let tier = TIERS.iter().position(covers).unwrap_or(TIERS.len() - 1);
        let start = now.saturating_sub(window_s);
        let mut sums = Sums::default();
        for (index, counts) in &self.rings[tier] {
            if (index + 1) * TIERS[tier].length_s > start {
                sums.add(counts);
            }
        }
        sums
    }
}
