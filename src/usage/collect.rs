//! The writer of usage: many nodes' totals in one append.

use std::time;

use bytes::Bytes;

use crate::clock;
use crate::usage::record;

/// Most bytes of totals that wait; more are not taken and come again.
const WAITING_BYTES: usize = 4 << 20;

/// Most bytes of totals in one record.
const RECORD_BYTES: usize = 512 << 10;

/// A total that waits.
#[derive(Debug)]
struct Waiting<T> {
    token: T,
    body: Bytes,
}

/// Totals that wait for their append.
#[derive(Debug)]
pub struct Collector<T> {
    group: time::Duration,
    waiting: Vec<Waiting<T>>,
    bytes: usize,
    /// Tokens of the append under way; its end is always told, see [`Collector::appended`].
    flight: Option<Vec<T>>,
    free: clock::Instant,
}

impl<T> Collector<T> {
    /// A collector that makes an append each `group` at most.
    pub fn new(group: time::Duration) -> Self {
        let free = clock::Instant::ZERO;
        Self { group, waiting: Vec::new(), bytes: 0, flight: None, free }
    }

    /// Takes a total; `token` names who sent it. Drops what is not a total or finds no room.
    pub fn add(&mut self, token: T, body: Bytes) {
        let room = self.bytes + body.len() <= WAITING_BYTES;
        if room && record::decode(&body).is_some() {
            self.bytes += body.len();
            self.waiting.push(Waiting { token, body });
        }
    }

    /// The record to append now, if one is due.
    pub fn poll(&mut self, now: clock::Instant) -> Option<Bytes> {
        if self.flight.is_some() || self.waiting.is_empty() || now < self.free {
            return None;
        }
        let mut bytes = 0;
        let fits = |waiting: &&Waiting<T>| {
            bytes += waiting.body.len();
            bytes <= RECORD_BYTES
        };
        let count = self.waiting.iter().take_while(fits).count().max(1);
        let taken: Vec<Waiting<T>> = self.waiting.drain(..count).collect();
        let (tokens, bodies): (Vec<T>, Vec<Bytes>) =
            taken.into_iter().map(|waiting| (waiting.token, waiting.body)).unzip();
        self.bytes -= bodies.iter().map(Bytes::len).sum::<usize>();
        self.flight = Some(tokens);
        self.free = now + self.group;
        Some(record::join(&bodies))
    }

    /// When [`Collector::poll`] is due, if it is.
    pub fn wake(&self) -> Option<clock::Instant> {
        let due = self.flight.is_none() && !self.waiting.is_empty();
        due.then_some(self.free)
    }

    /// Notes how the append ended and gives the tokens of the totals that stand in the log. After
    /// a failure there are none: their nodes send them again.
    pub fn appended(&mut self, success: bool) -> Vec<T> {
        let flight = self.flight.take();
        flight.filter(|_| success).unwrap_or_default()
    }
}
