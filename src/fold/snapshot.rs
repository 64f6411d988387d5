//! Decides when a node appends a snapshot of the accepted state to the log.
//!
//! Records expire, so a snapshot has to be appended before the record of the state does. Any node
//! that reads the log may append it: each waits for a time that depends on its rank and a random
//! number, and reads the log again before it appends. No node is elected; a second snapshot only
//! costs its bytes, since the fold ignores it.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::clock;
use crate::fold;
use crate::logs;

/// Number of records after the replay start at which a snapshot is due, so that a new reader has
/// few records to read.
pub const INTERVAL_RECORDS: u64 = 256;

/// Delay of each rank after the one before it; long enough to append a snapshot and read it.
const RANK_DELAY: time::Duration = time::Duration::from_secs(2);

/// Time until the next attempt when an appended snapshot has not appeared in the log.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(30);

/// A snapshot is due when the replay start is among the oldest records that are kept: in the first
/// part of this many equal parts.
const OLD_DIVISOR: u64 = 4;

/// The input of the decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Where a new reader can start; `None` while no version is accepted or the state is not known.
    pub replay_start: Option<fold::ReplayStart>,
    /// Offset of the oldest record that the log keeps.
    pub first: logs::Offset,
    /// Offset of the next append.
    pub next: logs::Offset,
    /// This host's rank among the readers of the log, from 0.
    pub rank: u32,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_millis: u64,
}

/// Decision to append a snapshot now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write;

/// Decides when this node appends a snapshot.
#[derive(Debug)]
pub struct Policy {
    /// Minimum time for which the log keeps a record.
    retention: time::Duration,
    rng: SmallRng,
    /// When this node appends; `None` while no snapshot is due.
    turn: Option<clock::Instant>,
}

impl Policy {
    /// A policy for a log that keeps records for at least `retention`.
    pub fn new(retention: time::Duration, seed: u64) -> Self {
        Self { retention, rng: SmallRng::seed_from_u64(seed), turn: None }
    }

    /// Decides at `now`. Call it at least every few seconds, after a read to the end of the log.
    pub fn handle(&mut self, now: clock::Instant, state: &State) -> Option<Write> {
        if !self.due(state) {
            self.turn = None;
            return None;
        }
        let Some(turn) = self.turn else {
            self.turn = Some(now + RANK_DELAY * state.rank + self.jitter());
            return None;
        };
        if now < turn {
            return None;
        }
        self.turn = Some(now + RETRY_DELAY + self.jitter());
        Some(Write)
    }

    /// Whether the replay start is old in time, near the oldest record kept, or far from the end.
    fn due(&self, state: &State) -> bool {
        let Some(replay_start) = state.replay_start else {
            return false;
        };
        let age =
            time::Duration::from_millis(state.unix_millis.saturating_sub(replay_start.unix_millis));
        let old_records = (state.next.saturating_sub(state.first)) / OLD_DIVISOR;
        let expiring = state.first > 0 && replay_start.next_offset < state.first + old_records;
        let distant = state.next.saturating_sub(replay_start.next_offset) >= INTERVAL_RECORDS;
        age >= self.retention / 2 || expiring || distant
    }

    fn jitter(&mut self) -> time::Duration {
        RANK_DELAY.mul_f64(self.rng.random())
    }
}
