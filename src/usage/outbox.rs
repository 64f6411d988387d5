//! Outbox of one node: usage totals that are not confirmed to be in the log yet.
//!
//! One total is sent at a time. It is sent again, unchanged and with the same id, until a writer
//! confirms that it is in the log. If that confirmation is lost, the total may be written twice;
//! the reader ignores the repeat.

use std::collections;
use std::time;

use bytes::Bytes;

use crate::clock;
use crate::host;
use crate::usage;
use crate::usage::record;

/// Pause before a total is sent again.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(3);

/// How long a total is kept after its confirmation, since the log may be restored from an older
/// copy that lacks it.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Limit on the confirmed totals that are kept.
const MAX_RETAINED: usize = 64;

/// Limit on the labels of one total; further ones are part of the next.
const MAX_ROWS: usize = 1024;

/// The total being sent.
#[derive(Debug)]
struct Sent {
    sequence: u64,
    body: Bytes,
    attempts: usize,
    due: clock::Instant,
}

/// A total that was confirmed to be in the log.
#[derive(Debug)]
struct Confirmed {
    sequence: u64,
    body: Bytes,
    since: clock::Instant,
}

/// Usage counts of a node that are not confirmed to be in the log.
#[derive(Debug)]
pub struct Outbox {
    host: host::HostId,
    incarnation: u64,
    flush: time::Duration,
    counts: collections::BTreeMap<usage::Label, u64>,
    sent: Option<Sent>,
    /// Totals confirmed lately, oldest first.
    confirmed: collections::VecDeque<Confirmed>,
    /// Totals to send again, since the log may have lost them.
    to_resend: collections::VecDeque<Confirmed>,
    sequence: u64,
    /// When the next total is made.
    due: clock::Instant,
}

/// A total to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Send {
    /// Number of the total.
    pub sequence: u64,
    /// How often it was sent before.
    pub attempts: usize,
    /// The encoded total.
    pub body: Bytes,
}

impl Outbox {
    /// An empty outbox of the process `incarnation` on `host`.
    pub fn new(
        host: host::HostId,
        incarnation: u64,
        flush: time::Duration,
        now: clock::Instant,
    ) -> Self {
        Self {
            host,
            incarnation,
            flush,
            counts: collections::BTreeMap::new(),
            sent: None,
            confirmed: collections::VecDeque::new(),
            to_resend: collections::VecDeque::new(),
            sequence: 0,
            due: now + flush,
        }
    }

    /// Adds the served calls of `delta`.
    pub fn add(&mut self, delta: &usage::Delta) {
        for (label, totals) in &delta.rows {
            let served = totals.of(usage::Outcome::Served);
            if served > 0 {
                let count = self.counts.entry(label.clone()).or_default();
                *count = count.saturating_add(served);
            }
        }
    }

    /// Returns the total to send now, if one is due. With `last`, counts are sent without waiting
    /// for the flush interval.
    pub fn poll(&mut self, now: clock::Instant, unix_ms: u64, last: bool) -> Option<Send> {
        if self.sent.is_none() {
            self.resend(now);
        }
        if self.sent.is_none() && (last || now >= self.due) {
            self.due = now + self.flush;
            self.make(now, unix_ms);
        }
        let sent = self.sent.as_mut().filter(|sent| sent.due <= now)?;
        let send =
            Send { sequence: sent.sequence, attempts: sent.attempts, body: sent.body.clone() };
        sent.due = now + RETRY_DELAY;
        sent.attempts += 1;
        Some(send)
    }

    /// When [`Outbox::poll`] is due.
    pub fn wake(&self) -> clock::Instant {
        let next = if self.to_resend.is_empty() { self.due } else { clock::Instant::ZERO };
        self.sent.as_ref().map_or(next, |sent| sent.due)
    }

    /// Records that the total `sequence` is in the log.
    pub fn confirm(&mut self, sequence: u64, now: clock::Instant) {
        let Some(sent) = self.sent.take_if(|sent| sent.sequence == sequence) else { return };
        self.confirmed.push_back(Confirmed { sequence, body: sent.body, since: now });
        self.evict(now);
    }

    /// Handles a log that was restored from an older copy: totals confirmed lately are sent again,
    /// since the log may lack them.
    pub fn restored(&mut self, now: clock::Instant) {
        self.evict(now);
        self.to_resend.append(&mut self.confirmed);
    }

    /// Brings the retry of the current total forward, since the connection to its writer failed.
    pub fn disconnected(&mut self, now: clock::Instant) {
        if let Some(sent) = &mut self.sent {
            sent.due = sent.due.min(now + RETRY_DELAY / 4);
        }
    }

    /// Whether all counts are in the log.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.sent.is_none() && self.to_resend.is_empty()
    }

    fn resend(&mut self, now: clock::Instant) {
        let Some(Confirmed { sequence, body, .. }) = self.to_resend.pop_front() else { return };
        self.sent = Some(Sent { sequence, body, attempts: 0, due: now });
    }

    /// Drops totals confirmed so long ago that every copy of the log has them.
    fn evict(&mut self, now: clock::Instant) {
        let old = |total: &Confirmed| now.since(total.since) >= RETENTION;
        while self.confirmed.len() > MAX_RETAINED || self.confirmed.front().is_some_and(old) {
            self.confirmed.pop_front();
        }
    }

    fn make(&mut self, now: clock::Instant, unix_ms: u64) {
        let mut rows = Vec::new();
        while rows.len() < MAX_ROWS {
            let Some((label, served)) = self.counts.pop_first() else { break };
            rows.push(record::Row { label, served });
        }
        if rows.is_empty() {
            return;
        }
        self.sequence += 1;
        let sequence = self.sequence;
        let id = record::TotalId { host: self.host, incarnation: self.incarnation, sequence };
        let body = record::encode(&record::Total { id, until_unix_ms: unix_ms, rows });
        self.sent = Some(Sent { sequence, body, attempts: 0, due: now });
    }
}
