//! Batches the totals of many nodes into one append to the `usage` stream.

use std::time;

use bytes::Bytes;

use crate::clock;
use crate::usage::record;

/// Limit on the bytes of waiting totals. Totals beyond it are dropped, and their nodes send them
/// again.
const MAX_WAITING_BYTES: usize = 4 << 20;

/// Limit on the bytes of totals in one record.
const MAX_RECORD_BYTES: usize = 512 << 10;

/// A total that waits to be appended.
#[derive(Debug)]
struct Waiting<T> {
    token: T,
    body: Bytes,
}

/// Totals that wait to be appended, and the senders of those being appended.
#[derive(Debug)]
pub struct Collector<T> {
    interval: time::Duration,
    waiting: Vec<Waiting<T>>,
    bytes: usize,
    /// Tokens of the append in flight; every append ends with [`Collector::appended`].
    flight: Option<Vec<T>>,
    next_append: clock::Instant,
}

impl<T> Collector<T> {
    /// A collector that makes at most one append per `interval`.
    pub fn new(interval: time::Duration) -> Self {
        let next_append = clock::Instant::ZERO;
        Self { interval, waiting: Vec::new(), bytes: 0, flight: None, next_append }
    }

    /// Adds a total; `token` identifies its sender. A malformed total, or one that exceeds the
    /// limit, is dropped.
    pub fn add(&mut self, token: T, body: Bytes) {
        let fits = self.bytes + body.len() <= MAX_WAITING_BYTES;
        if fits && record::decode(&body).is_some() {
            self.bytes += body.len();
            self.waiting.push(Waiting { token, body });
        }
    }

    /// Returns the record to append now, if an append is due.
    pub fn poll(&mut self, now: clock::Instant) -> Option<Bytes> {
        if self.flight.is_some() || self.waiting.is_empty() || now < self.next_append {
            return None;
        }
        let mut bytes = 0;
        let fits = |waiting: &&Waiting<T>| {
            bytes += waiting.body.len();
            bytes <= MAX_RECORD_BYTES
        };
        let count = self.waiting.iter().take_while(fits).count().max(1);
        let taken: Vec<Waiting<T>> = self.waiting.drain(..count).collect();
        let (tokens, bodies): (Vec<T>, Vec<Bytes>) =
            taken.into_iter().map(|waiting| (waiting.token, waiting.body)).unzip();
        self.bytes -= bodies.iter().map(Bytes::len).sum::<usize>();
        self.flight = Some(tokens);
        self.next_append = now + self.interval;
        Some(record::join(&bodies))
    }

    /// When [`Collector::poll`] is due; `None` while nothing waits or an append is in flight.
    pub fn wake(&self) -> Option<clock::Instant> {
        let due = self.flight.is_none() && !self.waiting.is_empty();
        due.then_some(self.next_append)
    }

    /// Records the outcome of the append and returns the tokens of the totals that are now in the
    /// log. After a failure there are none; their nodes send the totals again.
    pub fn appended(&mut self, success: bool) -> Vec<T> {
        let flight = self.flight.take();
        flight.filter(|_| success).unwrap_or_default()
    }
}
