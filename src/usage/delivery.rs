//! Delivery of usage in the ledger duty: sends this node's totals to a writer and, where this node
//! is a writer, appends the totals of others to the log.

use std::time;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::task;

use crate::claim::shell::Input;
use crate::clock;
use crate::configs;
use crate::context;
use crate::host;
use crate::logs;
use crate::usage;
use crate::usage::{collect, outbox};
use crate::view;

/// Keeps the ranking of hosts for usage independent of other rankings of the same hosts.
const PURPOSE: u64 = 0x7573_6167;

/// Number of fallback writers beside those of the settings.
const SPARE_WRITERS: usize = 2;

/// Sender of a total: number of the connection and id of the total on it; `None` for this node.
type Origin = Option<(u64, u64)>;

/// Usage of one node and, where it is a writer, of others.
#[derive(Debug)]
pub struct Delivery<L> {
    host: host::HostId,
    zone: SmolStr,
    /// Number of writers in the settings; each node prefers one of them.
    writer_count: usize,
    log: L,
    inputs: mpsc::Sender<Input>,
    outbox: outbox::Outbox,
    collector: collect::Collector<Origin>,
    /// Writers of this availability zone, the preferred ones first.
    writers: Vec<host::HostId>,
    /// Number of this node's own total while it is written here.
    own: Option<u64>,
}

impl<L: logs::Service> Delivery<L> {
    /// The state at the start of the process.
    pub fn new(
        ctx: context::Context,
        settings: &configs::Node,
        log: L,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let flush = time::Duration::from_millis(settings.usage.flush_ms);
        let interval = time::Duration::from_millis(settings.usage.group_ms);
        let (host, incarnation) = (settings.host(), ctx.seed_for("usage"));
        Self {
            host,
            zone: settings.zone.clone(),
            writer_count: usize::from(settings.usage.writers.max(1)),
            log,
            inputs,
            outbox: outbox::Outbox::new(host, incarnation, flush, ctx.now()),
            collector: collect::Collector::new(interval),
            writers: Vec::new(),
            own: None,
        }
    }

    /// Chooses the writers from a new view.
    pub fn update(&mut self, view: &view::View) {
        let mut writers: Vec<(u64, host::HostId)> = view
            .hosts
            .iter()
            .filter(|h| h.locality.zone == self.zone && h.health != view::Health::Unreachable)
            .map(|h| (h.id.weight(PURPOSE, 0), h.id))
            .collect();
        let kept = (self.writer_count + SPARE_WRITERS).min(writers.len());
        if kept > 0 {
            writers.select_nth_unstable(kept - 1);
        }
        writers.truncate(kept);
        writers.sort_unstable();
        self.writers = writers.into_iter().map(|(_, host)| host).collect();
    }

    /// Adds counted usage.
    pub fn count(&mut self, delta: &usage::Delta) {
        self.outbox.add(delta);
    }

    /// Adds a total to be written here.
    pub fn add(&mut self, origin: Origin, total: Bytes) {
        self.collector.add(origin, total);
    }

    /// Starts an append if one is due and returns a total to send, if any: the writer, the total's
    /// number and the total. With `last`, counts are sent without waiting for the flush interval.
    pub fn poll(
        &mut self,
        now: clock::Instant,
        unix_ms: u64,
        last: bool,
    ) -> Option<(host::HostId, u64, Bytes)> {
        let send = self.outbox.poll(now, unix_ms, last);
        let send = send.and_then(|send| self.route(send));
        if let Some(record) = self.collector.poll(now) {
            task::spawn_local(append(self.log.clone(), self.inputs.clone(), record));
        }
        send
    }

    /// When [`Delivery::poll`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        Some(self.collector.wake().map_or(self.outbox.wake(), |w| w.min(self.outbox.wake())))
    }

    /// Records the outcome of the append; returns the connection and id of other nodes' totals that
    /// are now in the log.
    pub fn appended(&mut self, success: bool, now: clock::Instant) -> Vec<(u64, u64)> {
        let confirmed = self.collector.appended(success);
        let own = confirmed.contains(&None).then(|| self.own.take()).flatten();
        own.into_iter().for_each(|sequence| self.outbox.confirm(sequence, now));
        confirmed.into_iter().flatten().collect()
    }

    /// Records that this node's total `sequence` is in the log.
    pub fn confirm(&mut self, sequence: u64, now: clock::Instant) {
        self.outbox.confirm(sequence, now);
    }

    /// Handles a log that was restored from an older copy.
    pub fn restored(&mut self, now: clock::Instant) {
        self.outbox.restored(now);
    }

    /// Handles a failed connection to a writer.
    pub fn disconnected(&mut self, now: clock::Instant) {
        self.outbox.disconnected(now);
    }

    /// Whether all usage counted by this node is in the log.
    pub fn is_empty(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Chooses the writer of a total. The total is written here, and `None` returned, when that is
    /// this node or no writer is known.
    fn route(&mut self, send: outbox::Send) -> Option<(host::HostId, u64, Bytes)> {
        let preferred = self.host.weight(PURPOSE, 1) % self.writer_count as u64;
        let first = usize::try_from(preferred).unwrap_or(0);
        let index = (first + send.attempts).checked_rem(self.writers.len());
        let writer = index.and_then(|index| self.writers.get(index)).copied();
        match writer {
            Some(writer) if writer != self.host => Some((writer, send.sequence, send.body)),
            _ => {
                self.own = Some(send.sequence);
                self.collector.add(None, send.body);
                None
            }
        }
    }
}

async fn append<L: logs::Service>(log: L, inputs: mpsc::Sender<Input>, record: Bytes) {
    let result = log.append(logs::streams::USAGE, record).await;
    if let Err(error) = &result {
        log::debug!(error:% = error; "an append of usage failed");
    }
    // A closed channel means that the duty has ended.
    let _ = inputs.send(Input::UsageAppended { success: result.is_ok() }).await;
}
