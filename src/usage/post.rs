//! Usage in the ledger's thread: this node's totals out, others' totals into the log.

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

const PURPOSE: u64 = 0x7573_6167;

/// Writers to turn to beside those of the settings, when these fail.
const SPARE: usize = 2;

/// Who sent a total: number of the connection and of the total on it; `None` for this node.
type Origin = Option<(u64, u64)>;

/// Usage of one node and, where it is a writer, of others.
#[derive(Debug)]
pub struct Post<L> {
    host: host::HostId,
    zone: SmolStr,
    count: usize,
    log: L,
    inputs: mpsc::Sender<Input>,
    outbox: outbox::Outbox,
    collector: collect::Collector<Origin>,
    /// Writers of this zone, those that are due first.
    writers: Vec<host::HostId>,
    /// Number of the total that this node is itself writing.
    own: Option<u64>,
}

impl<L: logs::Service> Post<L> {
    /// Usage of a process that begins.
    pub fn new(
        ctx: context::Context,
        settings: &configs::Node,
        log: L,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let flush = time::Duration::from_millis(settings.usage.flush_ms);
        let group = time::Duration::from_millis(settings.usage.group_ms);
        let (host, life) = (settings.host(), ctx.seed_for("usage"));
        Self {
            host,
            zone: settings.zone.clone(),
            count: usize::from(settings.usage.writers.max(1)),
            log,
            inputs,
            outbox: outbox::Outbox::new(host, life, flush, ctx.now()),
            collector: collect::Collector::new(group),
            writers: Vec::new(),
            own: None,
        }
    }

    /// Takes a new view.
    pub fn update(&mut self, view: &view::View) {
        let mut writers: Vec<(u64, host::HostId)> = view
            .hosts
            .iter()
            .filter(|h| h.locality.zone == self.zone && h.health != view::Health::Unreachable)
            .map(|h| (h.id.weight(PURPOSE, 0), h.id))
            .collect();
        let kept = (self.count + SPARE).min(writers.len());
        if kept > 0 {
            writers.select_nth_unstable(kept - 1);
        }
        writers.truncate(kept);
        writers.sort_unstable();
        self.writers = writers.into_iter().map(|(_, host)| host).collect();
    }

    /// Adds what was counted.
    pub fn count(&mut self, delta: &usage::Delta) {
        self.outbox.add(delta);
    }

    /// Takes a total to be written here.
    pub fn add(&mut self, origin: Origin, record: Bytes) {
        self.collector.add(origin, record);
    }

    /// Makes the append that is due, if one is, and gives a total to send: to whom, its number and
    /// the total. With `last`, what was counted goes out at once.
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

    /// When [`Post::poll`] is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        Some(self.collector.wake().map_or(self.outbox.wake(), |w| w.min(self.outbox.wake())))
    }

    /// Notes how the append ended; gives connection and number of the totals that stand.
    pub fn appended(&mut self, success: bool, now: clock::Instant) -> Vec<(u64, u64)> {
        let stand = self.collector.appended(success);
        let own = stand.contains(&None).then(|| self.own.take()).flatten();
        own.into_iter().for_each(|sequence| self.outbox.stands(sequence, now));
        stand.into_iter().flatten().collect()
    }

    /// Notes that this node's total `sequence` stands in the log.
    pub fn stands(&mut self, sequence: u64, now: clock::Instant) {
        self.outbox.stands(sequence, now);
    }

    /// Notes that the log came back from an older copy.
    pub fn restored(&mut self, now: clock::Instant) {
        self.outbox.restored(now);
    }

    /// Notes that a connection failed.
    pub fn lost(&mut self, now: clock::Instant) {
        self.outbox.lost(now);
    }

    /// Whether everything counted here stands in the log.
    pub fn is_empty(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Chooses the writer of a total; takes it itself when that is this node or nobody is known.
    fn route(&mut self, send: outbox::Send) -> Option<(host::HostId, u64, Bytes)> {
        let spread = self.host.weight(PURPOSE, 1) % self.count as u64;
        let first = usize::try_from(spread).unwrap_or(0);
        let place = (first + send.tries).checked_rem(self.writers.len());
        let writer = place.and_then(|place| self.writers.get(place)).copied();
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
