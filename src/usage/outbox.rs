//! Totals of one node on their way to the log.
//!
//! One total is under way at a time. It is sent again, unchanged and under the same name, until a
//! writer says that it stands; a writer that never heard so may write it twice, and the reader
//! drops the repeat.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::clock;
use crate::host;
use crate::usage;
use crate::usage::record;

/// Pause before a total is sent again.
const AGAIN: time::Duration = time::Duration::from_secs(3);

/// How long a total is kept after it stood in the log, which may come back from a copy that lacks it.
const KEPT: time::Duration = time::Duration::from_secs(60);

/// Most totals that are kept so.
const MOST_KEPT: usize = 64;

/// Most labels in one total; the others follow in the next.
const ROWS: usize = 1024;

/// A total under way.
#[derive(Debug)]
struct Sent {
    sequence: u64,
    body: Bytes,
    tries: usize,
    due: clock::Instant,
}

/// A total that stood in the log.
#[derive(Debug)]
struct Stood {
    sequence: u64,
    body: Bytes,
    since: clock::Instant,
}

/// What a node has counted and not yet seen in the log.
#[derive(Debug)]
pub struct Outbox {
    host: host::HostId,
    life: u64,
    flush: time::Duration,
    counts: collections::BTreeMap<usage::Label, u64>,
    sent: Option<Sent>,
    /// Totals that stood lately, oldest first.
    stood: collections::VecDeque<Stood>,
    /// Totals that may have been lost, to be sent again.
    doubtful: collections::VecDeque<Stood>,
    sequence: u64,
    /// When the next total is made.
    due: clock::Instant,
}

/// A total to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// Number of the total.
    pub sequence: u64,
    /// Tries made before this one.
    pub tries: usize,
    /// The total.
    pub body: Bytes,
}

impl Outbox {
    /// An empty outbox of the process `life` on `host`.
    pub fn new(host: host::HostId, life: u64, flush: time::Duration, now: clock::Instant) -> Self {
        Self {
            host,
            life,
            flush,
            counts: collections::BTreeMap::new(),
            sent: None,
            stood: collections::VecDeque::new(),
            doubtful: collections::VecDeque::new(),
            sequence: 0,
            due: now + flush,
        }
    }

    /// Adds what was counted.
    pub fn add(&mut self, delta: &usage::Delta) {
        for (label, totals) in &delta.rows {
            let served = totals.of(usage::Outcome::Served);
            if served > 0 {
                let count = self.counts.entry(label.clone()).or_default();
                *count = count.saturating_add(served);
            }
        }
    }

    /// What is to be sent now, if anything. With `last`, what was counted goes out at once.
    pub fn poll(&mut self, now: clock::Instant, unix_ms: u64, last: bool) -> Option<Send> {
        if self.sent.is_none() {
            self.resend(now);
        }
        if self.sent.is_none() && (last || now >= self.due) {
            self.due = now + self.flush;
            self.make(now, unix_ms);
        }
        let sent = self.sent.as_mut().filter(|sent| sent.due <= now)?;
        let send = Send { sequence: sent.sequence, tries: sent.tries, body: sent.body.clone() };
        sent.due = now + AGAIN;
        sent.tries += 1;
        Some(send)
    }

    /// When [`Outbox::poll`] is due.
    pub fn wake(&self) -> clock::Instant {
        let next = if self.doubtful.is_empty() { self.due } else { clock::Instant::ZERO };
        self.sent.as_ref().map_or(next, |sent| sent.due)
    }

    /// Notes that the total `sequence` stands in the log.
    pub fn stands(&mut self, sequence: u64, now: clock::Instant) {
        let Some(sent) = self.sent.take_if(|sent| sent.sequence == sequence) else { return };
        self.stood.push_back(Stood { sequence, body: sent.body, since: now });
        self.forget(now);
    }

    /// The log came back from an older copy: totals that stood lately go out again, since it may lack them.
    pub fn restored(&mut self, now: clock::Instant) {
        self.forget(now);
        self.doubtful.append(&mut self.stood);
    }

    /// Lets the total under way be sent again at once, since its way failed.
    pub fn lost(&mut self, now: clock::Instant) {
        if let Some(sent) = &mut self.sent {
            sent.due = sent.due.min(now + AGAIN / 4);
        }
    }

    /// Whether everything counted stands in the log.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.sent.is_none() && self.doubtful.is_empty()
    }

    fn resend(&mut self, now: clock::Instant) {
        let Some(Stood { sequence, body, .. }) = self.doubtful.pop_front() else { return };
        self.sent = Some(Sent { sequence, body, tries: 0, due: now });
    }

    /// Drops totals that stood so long ago that every copy has them.
    fn forget(&mut self, now: clock::Instant) {
        let old = |stood: &Stood| now.since(stood.since) >= KEPT;
        while self.stood.len() > MOST_KEPT || self.stood.front().is_some_and(old) {
            self.stood.pop_front();
        }
    }

    fn make(&mut self, now: clock::Instant, unix_ms: u64) {
        let mut rows = Vec::new();
        while rows.len() < ROWS {
            let Some((label, served)) = self.counts.pop_first() else { break };
            rows.push(record::Row { label, served });
        }
        if rows.is_empty() {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let name = record::TotalId { host: self.host, incarnation: self.life, sequence };
        let body = record::encode(&record::Total { id: name, until_unix_ms: unix_ms, rows });
        self.sent = Some(Sent { sequence, body, tries: 0, due: now });
    }
}
