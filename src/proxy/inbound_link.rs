//! Long bodies from other nodes take turns on this host's link.
//!
//! A thin link that carries many bodies at once delays everything else on it by all that their
//! senders have under way: some hundred kilobytes take a second at 5 Mbit/s. So each body may have
//! only a small window under way, and few bodies are read at once. The link stays busy, and what is
//! short waits for a few windows at most: with eleven uploads a second on a link of 6.5 Mbit/s,
//! 10 ms in place of 273 (90th percentile, virtual time, the test
//! `short_calls_pass_a_link_that_uploads_fill`).

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Frame;
use tokio::sync;
use tokio::time;

use crate::configs;
use crate::proxy::error;
use crate::proxy::received_body;
use crate::proxy::upload;

#[cfg(test)]
mod tests;

/// How long the link may be taken up by bytes that are under way: an eighth of the shortest target
/// that calls have (150 ms), and ten times the way between two availability zones.
const UNDER_WAY: Duration = Duration::from_millis(20);

/// Bodies read at once at the least, so that slow senders don't leave the link idle.
const LEAST_TURNS: usize = 8;

/// Smallest window of a body, in bytes. Each body sends as much before it has a turn; eight of them
/// fill a link of 6.5 Mbit/s over 20 ms.
const LEAST_WINDOW: u32 = 2048;

/// A sender that is silent for as long gives up its turn until it goes on.
const STALL: Duration = Duration::from_millis(50);

const BITS_PER_BYTE: f64 = 8.0;

/// How a link is shared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Bytes of one body that may be under way.
    pub window: u32,
    /// Bodies that are read at once.
    pub turns: usize,
}

impl Plan {
    /// The plan for the link of `settings`; one whose rate is not known has no turns to wait for.
    pub fn new(settings: &configs::proxy::Proxy) -> Self {
        if settings.link_mbps <= 0.0 {
            return Self { window: settings.stream_bytes, turns: sync::Semaphore::MAX_PERMITS };
        }
        let rate = settings.link_mbps * 1e6 / BITS_PER_BYTE;
        let bytes = rate * UNDER_WAY.as_secs_f64();
        let share = (bytes / LEAST_TURNS as f64) as u32;
        let window = share.clamp(LEAST_WINDOW, settings.stream_bytes.max(LEAST_WINDOW));
        let turns = (bytes / f64::from(window)) as usize;
        Self { window, turns: turns.max(LEAST_TURNS) }
    }
}

/// Time for which `bytes` take up the link of `settings`, in microseconds; 0 where its rate is not
/// known.
pub fn link_time(settings: &configs::proxy::Proxy, bytes: u64) -> f32 {
    let mbps = settings.link_mbps;
    if mbps <= 0.0 { 0.0 } else { (bytes as f64 * BITS_PER_BYTE / mbps) as f32 }
}

/// The turns on one link.
#[derive(Debug)]
pub struct Inflow {
    plan: Plan,
    turns: sync::Semaphore,
    /// Bytes of bodies that have begun to come in and are not there yet.
    ahead: Cell<u64>,
}

/// One body's place on the link. It holds a turn only while its bytes come in.
#[derive(Debug)]
pub struct Turn<'a> {
    inflow: &'a Inflow,
    permit: Option<sync::SemaphorePermit<'a>>,
    /// Bytes of it that count as ahead.
    left: u64,
}

impl Inflow {
    /// Turns as `plan` says.
    pub fn new(plan: Plan) -> Self {
        Self { plan, turns: sync::Semaphore::new(plan.turns), ahead: Cell::new(0) }
    }

    /// A place for a body of `bytes`, as far as that is known; it waits when the body is read.
    pub fn turn(&self, bytes: u64) -> Turn<'_> {
        self.ahead.set(self.ahead.get() + bytes);
        Turn { inflow: self, permit: None, left: bytes }
    }

    /// Bytes that come in before those of a body that begins now.
    pub const fn ahead(&self) -> u64 {
        self.ahead.get()
    }
}

impl Turn<'_> {
    /// Counts `bytes` as there.
    fn note(&mut self, bytes: u64) {
        let there = bytes.min(self.left);
        self.left -= there;
        self.inflow.ahead.set(self.inflow.ahead.get() - there);
    }

    /// Waits for a turn if `rest` needs one.
    async fn enter(&mut self, rest: &received_body::Wire) {
        let short =
            rest.size_hint().upper().is_some_and(|n| n <= u64::from(self.inflow.plan.window));
        if short || self.permit.is_some() {
            return;
        }
        // The semaphore is never closed; without a permit the body is read all the same.
        self.permit = self.inflow.turns.acquire().await.ok();
    }

    /// The next part of `rest`, in turn.
    async fn read(
        &mut self,
        rest: &mut received_body::Wire,
    ) -> Option<Result<Frame<Bytes>, error::Broken>> {
        self.enter(rest).await;
        if self.permit.is_none() {
            return rest.frame().await;
        }
        if let Ok(frame) = time::timeout(STALL, rest.frame()).await {
            return frame;
        }
        self.permit = None;
        rest.frame().await
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.note(u64::MAX);
    }
}

impl upload::Pace for Turn<'_> {
    async fn next(
        &mut self,
        rest: &mut received_body::Wire,
    ) -> Option<Result<Frame<Bytes>, error::Broken>> {
        let frame = self.read(rest).await;
        if let Some(Ok(frame)) = &frame {
            self.note(frame.data_ref().map_or(0, |data| data.len() as u64));
        }
        frame
    }
}
