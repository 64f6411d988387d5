//! Schedules long bodies from other nodes on this host's link.
//!
//! On a slow link, everything else waits behind the bytes that the senders of many concurrent
//! bodies have in flight: a few hundred kilobytes take a second at 5 Mbit/s. So each body gets a
//! small flow-control window, and few bodies are read at once. The link stays busy, and short calls
//! wait for a few windows at most: with eleven uploads a second on a link of 6.5 Mbit/s, 10 ms in
//! place of 273 ms (90th percentile, virtual time, the test
//! `short_calls_pass_a_link_that_uploads_fill`).

use std::cell::Cell;
use std::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body as _;
use hyper::body::Frame;
use tokio::sync;
use tokio::time;

use crate::admit;
use crate::configs;
use crate::proxy::error;
use crate::proxy::received_body;
use crate::proxy::upload;

#[cfg(test)]
mod tests;

/// Maximum time that bytes in flight may occupy the link: an eighth of the shortest target latency
/// of calls (150 ms), and ten times the latency between two availability zones.
const MAX_LINK_TIME: Duration = Duration::from_millis(20);

/// Minimum number of bodies read at once, so that slow senders don't leave the link idle.
const MIN_TURNS: usize = 8;

/// Minimum window of a body, which each body may send before it has a turn. Eight windows fill a
/// link of 6.5 Mbit/s for 20 ms.
const MIN_WINDOW_BYTES: u32 = 2048;

/// A sender that is silent for this time loses its turn until it sends again.
const STALL_TIMEOUT: Duration = Duration::from_millis(50);

const BITS_PER_BYTE: f64 = 8.0;

const MICROS_PER_SECOND: f64 = 1e6;

/// How a link is shared between bodies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Bytes of one body that may be in flight.
    pub window: u32,
    /// Maximum number of bodies that are read at once.
    pub turns: usize,
}

impl Plan {
    /// The plan for the link of `settings`. If its rate is not known, no body waits for a turn.
    pub fn new(settings: &configs::proxy::Proxy) -> Self {
        if settings.link_mbps <= 0.0 {
            return Self { window: settings.stream_bytes, turns: sync::Semaphore::MAX_PERMITS };
        }
        let rate = settings.link_mbps * 1e6 / BITS_PER_BYTE;
        let bytes = rate * MAX_LINK_TIME.as_secs_f64();
        let share = (bytes / MIN_TURNS as f64) as u32;
        let window = share.clamp(MIN_WINDOW_BYTES, settings.stream_bytes.max(MIN_WINDOW_BYTES));
        let turns = (bytes / f64::from(window)) as usize;
        Self { window, turns: turns.max(MIN_TURNS) }
    }
}

/// Time that `bytes` occupy the link of `settings`, in microseconds; 0 if its rate is not known.
pub fn link_time(settings: &configs::proxy::Proxy, bytes: u64) -> f32 {
    let mbps = settings.link_mbps;
    if mbps <= 0.0 { 0.0 } else { (bytes as f64 * BITS_PER_BYTE / mbps) as f32 }
}

/// The link of this host, as bodies from other nodes share it.
#[derive(Debug)]
pub struct InboundLink {
    plan: Plan,
    turns: sync::Semaphore,
    /// Announced bytes of bodies that have not been received yet.
    pending: Cell<u64>,
    /// Those of them whose senders have stalled; at most `pending`.
    stalled: Cell<u64>,
}

/// A body on the link. It holds a turn only while its bytes are received.
#[derive(Debug)]
pub struct Turn<'a> {
    link: &'a InboundLink,
    permit: Option<sync::SemaphorePermit<'a>>,
    /// Its share of the pending bytes.
    remaining: u64,
    /// Whether the link counts `remaining` among the stalled bytes.
    stalled: bool,
}

impl InboundLink {
    /// A link shared by `plan`.
    pub fn new(plan: Plan) -> Self {
        let turns = sync::Semaphore::new(plan.turns);
        Self { plan, turns, pending: Cell::new(0), stalled: Cell::new(0) }
    }

    /// Adds a body of `bytes`, a lower bound if its length is not known. It waits for its turn when
    /// it is read.
    pub fn turn(&self, bytes: u64) -> Turn<'_> {
        self.pending.set(self.pending.get() + bytes);
        Turn { link: self, permit: None, remaining: bytes, stalled: false }
    }

    /// Time until a body of `size` is received that starts now. A body that fits into one window
    /// doesn't wait for the pending ones. Bytes whose senders have stalled are not waited for: a body
    /// that is announced and never sent would otherwise make an idle link look busy until the
    /// deadline of its call.
    pub fn transfer(
        &self,
        settings: &configs::proxy::Proxy,
        size: &hyper::body::SizeHint,
    ) -> admit::Transfer {
        // A tiny rate is allowed, at which the time exceeds what a duration holds.
        let time = |bytes| {
            let seconds = f64::from(link_time(settings, bytes)) / MICROS_PER_SECOND;
            Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
        };
        let short = size.upper().is_some_and(|bytes| bytes <= u64::from(self.plan.window));
        let before = if short { 0 } else { self.pending.get() - self.stalled.get() };
        admit::Transfer { before: time(before), own: time(size.exact().unwrap_or(size.lower())) }
    }

    /// Bytes of all bodies that have not been received yet, including those of stalled senders.
    pub const fn pending_bytes(&self) -> u64 {
        self.pending.get()
    }
}

impl Turn<'_> {
    /// Counts `bytes` as received.
    fn record(&mut self, bytes: u64) {
        let received = bytes.min(self.remaining);
        self.remaining -= received;
        self.link.pending.set(self.link.pending.get() - received);
        if self.stalled {
            self.link.stalled.set(self.link.stalled.get() - received);
        }
    }

    /// Moves what remains of the body to the stalled bytes of the link, or back.
    fn set_stalled(&mut self, stalled: bool) {
        if self.stalled == stalled {
            return;
        }
        let others = self.link.stalled.get();
        let all = if stalled { others + self.remaining } else { others - self.remaining };
        self.link.stalled.set(all);
        self.stalled = stalled;
    }

    /// Waits for a turn, unless what remains of the body fits into one window.
    async fn wait_turn(&mut self, rest: &received_body::ReceivedBody) {
        let short = rest.size_hint().upper().is_some_and(|n| n <= u64::from(self.link.plan.window));
        if short || self.permit.is_some() {
            return;
        }
        // The semaphore is never closed; without a permit the body is read all the same.
        self.permit = self.link.turns.acquire().await.ok();
    }

    /// The next frame of `rest`, read within a turn.
    async fn read(
        &mut self,
        rest: &mut received_body::ReceivedBody,
    ) -> Option<Result<Frame<Bytes>, error::Broken>> {
        self.wait_turn(rest).await;
        self.await_frame(rest.frame()).await
    }

    /// Waits for `frame`. If its sender stalls, the body gives up its turn and its bytes count as
    /// stalled until the frame comes.
    async fn await_frame<F: Future>(&mut self, frame: F) -> F::Output {
        let mut frame = pin::pin!(frame);
        if let Ok(frame) = time::timeout(STALL_TIMEOUT, &mut frame).await {
            return frame;
        }
        self.permit = None;
        self.set_stalled(true);
        let frame = frame.await;
        self.set_stalled(false);
        frame
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.record(u64::MAX);
    }
}

impl upload::FrameReader for Turn<'_> {
    async fn next(
        &mut self,
        rest: &mut received_body::ReceivedBody,
    ) -> Option<Result<Frame<Bytes>, error::Broken>> {
        let frame = self.read(rest).await;
        if let Some(Ok(frame)) = &frame {
            self.record(frame.data_ref().map_or(0, |data| data.len() as u64));
        }
        frame
    }
}
