//! Counts by service and time, in bounded memory.

use std::collections;
use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::burn::{Sums, WINDOWS};
use crate::mesh;
use crate::usage;

/// Most services counted; further ones are left out.
const SERVICES: usize = 4096;

/// A ring of buckets of one length.
#[derive(Clone, Copy, Debug)]
struct Tier {
    /// Length of a bucket, in seconds.
    length: u64,
    /// Buckets kept.
    count: u64,
}

/// Tiers, the finest first. Each covers its length times its count; the last one 31 days.
const TIERS: [Tier; 4] = [
    Tier { length: 60, count: 61 },
    Tier { length: 600, count: 37 },
    Tier { length: 3600, count: 25 },
    Tier { length: 86_400, count: 32 },
];

/// A bucket: its place in time, in its tier's lengths since the Unix epoch, and its counts.
type Bucket = (u64, Sums);

/// Counts of one service; each ring holds rising places and at most its tier's count.
#[derive(Debug, Default)]
struct Service {
    rings: [collections::VecDeque<Bucket>; TIERS.len()],
}

/// Counts of all services at one node.
#[derive(Debug)]
pub struct Counts {
    services: collections::BTreeMap<SmolStr, Service>,
    since_unix_ms: u64,
}

/// What one node counted for one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Name of the service.
    pub service: SmolStr,
    /// Its objective of availability.
    pub availability: f64,
    /// Its objective of latency, in milliseconds.
    pub latency_ms: u64,
    /// Share of served calls to be within that.
    pub share: f64,
    /// Period of the budget, in seconds.
    pub window_s: u64,
    /// Counts in each of [`WINDOWS`].
    pub windows: [Sums; WINDOWS.len()],
    /// Counts in the period of the budget.
    pub period: Sums,
}

/// What one node counted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// When the node began to count, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
    /// By service of the configuration that the node runs.
    pub rows: Vec<Row>,
}

impl Counts {
    /// A book of a process that begins to count at `unix_ms`.
    pub fn new(unix_ms: u64) -> Self {
        Self { services: collections::BTreeMap::new(), since_unix_ms: unix_ms }
    }

    /// Adds what was counted until `unix_ms`.
    pub fn add(&mut self, delta: &usage::Delta, unix_ms: u64) {
        for (label, totals) in &delta.rows {
            let known = self.services.contains_key(&label.service);
            if known || self.services.len() < SERVICES {
                let service = self.services.entry(label.service.clone()).or_default();
                service.add(&Sums::of(totals), unix_ms / 1000);
            }
        }
    }

    /// Buckets in memory.
    pub fn buckets(&self) -> usize {
        let rings = self.services.values().flat_map(|service| &service.rings);
        rings.map(collections::VecDeque::len).sum()
    }

    /// The counts of the services of `mesh` at `unix_ms`.
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
    fn add(&mut self, sums: &Sums, now: u64) {
        for (ring, tier) in self.rings.iter_mut().zip(TIERS) {
            let place = now / tier.length;
            match ring.back_mut() {
                // A clock that steps back counts on in the newest bucket.
                Some((newest, counts)) if *newest >= place => counts.add(sums),
                _ => ring.push_back((place, *sums)),
            }
            while ring.front().is_some_and(|&(old, _)| old + tier.count <= place) {
                ring.pop_front();
            }
        }
    }

    /// Counts of the last `window` seconds and of up to one bucket more.
    fn sum(&self, window: u64, now: u64) -> Sums {
        let fits = |tier: &Tier| tier.length * (tier.count - 1) >= window;
        let place = TIERS.iter().position(fits).unwrap_or(TIERS.len() - 1);
        let from = now.saturating_sub(window);
        let mut sums = Sums::default();
        for (bucket, counts) in &self.rings[place] {
            if (bucket + 1) * TIERS[place].length > from {
                sums.add(counts);
            }
        }
        sums
    }
}
