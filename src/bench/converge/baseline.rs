//! The baseline for comparison: every node polls the log itself.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rand::RngExt;
use serde::Serialize;
use tokio::task;

use crate::bench::converge::report;
use crate::bench::converge::source;
use crate::configs;
use crate::fold::record;
use crate::fold::rules;
use crate::logs::{self, Service as _, http};
use crate::traffic;
use crate::version;

/// Time between two polls by one node.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time limit for a change to reach all nodes.
const CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// What every node reads in each poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The complete latest configuration file.
    Whole,
    /// The records since the last poll.
    New,
}

/// Figures of a baseline.
#[derive(Clone, Debug, Serialize)]
pub struct Baseline {
    /// What every node reads in each poll.
    pub kind: Kind,
    /// Time between two polls, in milliseconds.
    pub period_ms: u64,
    /// Time from the acceptance of a version until a node has it.
    pub convergence_ms: report::Quantiles,
    /// Bytes exchanged with the log, per node and second.
    pub node_bytes_s: f64,
    /// Reads of the log per second by all nodes.
    pub reads_s: f64,
    /// Bytes sent by the log per second to all nodes.
    pub read_bytes_s: f64,
}

struct Poller {
    log: http::Client,
    kind: Kind,
    reads: Rc<atomic::AtomicU64>,
    /// Latest version that the node has.
    held: Rc<atomic::AtomicU64>,
    /// When it received this version, in milliseconds since the Unix epoch.
    seen: Rc<atomic::AtomicU64>,
}

impl Poller {
    async fn run(self) {
        let spread = POLL_INTERVAL.mul_f64(rand::rng().random_range(0.0..1.0));
        tokio::time::sleep(spread).await;
        let mut cursor = 0;
        loop {
            let begin = tokio::time::Instant::now();
            cursor = self.poll(cursor).await;
            tokio::time::sleep_until(begin + POLL_INTERVAL).await;
        }
    }

    async fn poll(&self, cursor: logs::Offset) -> logs::Offset {
        self.reads.fetch_add(1, atomic::Ordering::Relaxed);
        let from = match self.kind {
            Kind::Whole => cursor.saturating_sub(1),
            Kind::New => cursor,
        };
        let wait = time::Duration::ZERO;
        let Ok(batch) = self.log.read(logs::streams::CONFIG, from, 64, wait).await else {
            return cursor;
        };
        let Some(last) = batch.records.last() else { return cursor };
        let held = last.offset + 1;
        if held > cursor && record::decode(&last.body, rules::NEWEST_FORMAT).is_ok() {
            self.held.store(held, atomic::Ordering::Relaxed);
            self.seen.store(report::unix_millis(), atomic::Ordering::Relaxed);
        }
        held
    }
}

/// Measures one baseline with `nodes` nodes over `changes` changes.
///
/// # Errors
///
/// Fails when the log does not respond to the operator.
pub async fn measure(
    kind: Kind,
    nodes: usize,
    changes: usize,
    settings: &configs::log::Log,
    operator: &mut source::Operator,
) -> Result<Baseline, source::Error> {
    let traffic = Arc::new(traffic::Traffic::default());
    let reads = Rc::new(atomic::AtomicU64::new(0));
    let mut tasks = task::JoinSet::new();
    let mut polled = Vec::new();
    for _ in 0..nodes {
        let (held, seen) = (Rc::default(), Rc::default());
        let log = http::Client::new(settings, Arc::clone(&traffic));
        let reads = Rc::clone(&reads);
        let poller = Poller { log, kind, reads, held: Rc::clone(&held), seen: Rc::clone(&seen) };
        tasks.spawn_local(poller.run());
        polled.push((held, seen));
    }
    tokio::time::sleep(POLL_INTERVAL * 3).await;
    let counts = traffic.of(traffic::Purpose::Log);
    let load = |c: &traffic::Counts| {
        let sent = c.sent.load(atomic::Ordering::Relaxed);
        (sent, c.received.load(atomic::Ordering::Relaxed))
    };
    let (before, begin) = (load(counts), tokio::time::Instant::now());
    let reads_before = reads.load(atomic::Ordering::Relaxed);
    let mut latencies_ms = Vec::new();
    for _ in 0..changes {
        let change = operator.publish().await?;
        wait(&polled, change.version).await;
        for (_, seen) in &polled {
            let seen = seen.load(atomic::Ordering::Relaxed);
            latencies_ms.push(seen.saturating_sub(change.unix_millis));
        }
    }
    let (after, span) = (load(counts), begin.elapsed().as_secs_f64());
    let reads = (reads.load(atomic::Ordering::Relaxed) - reads_before) as f64;
    let received = (after.1 - before.1) as f64;
    Ok(Baseline {
        kind,
        period_ms: POLL_INTERVAL.as_millis() as u64,
        convergence_ms: report::Quantiles::of(latencies_ms),
        node_bytes_s: (received + (after.0 - before.0) as f64) / span / nodes as f64,
        reads_s: reads / span,
        read_bytes_s: received / span,
    })
}

async fn wait(
    polled: &[(Rc<atomic::AtomicU64>, Rc<atomic::AtomicU64>)],
    version: version::Version,
) {
    let until = tokio::time::Instant::now() + CHANGE_TIMEOUT;
    let all = || polled.iter().all(|p| p.0.load(atomic::Ordering::Relaxed) >= version.number());
    while !all() && tokio::time::Instant::now() < until {
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
