//! When the accepted state is appended again.
//!
//! Records expire, so somebody has to append the state before its record does. Any node that reads
//! the log may: each waits for a while that depends on its rank and a random number, and looks at
//! the log again before it appends. Nobody is elected; a second snapshot costs its bytes only,
//! since the fold ignores it.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::clock;
use crate::fold;
use crate::logs;

/// Records after the replay_start at which a snapshot is due, so that a joiner reads few of them.
pub const INTERVAL_RECORDS: u64 = 256;

/// Time between the turns of two ranks, enough for a snapshot to be appended and read.
const TURN: time::Duration = time::Duration::from_secs(2);

/// Time until the next try when a snapshot that should be there is not.
const RETRY: time::Duration = time::Duration::from_secs(30);

/// Share of the retained records, counted from the oldest, in which the replay_start is due: 1 of 4.
const OLD_SHARE: u64 = 4;

/// What the decision depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct State {
    /// Where a joiner can start; `None` while there is nothing to keep or it is not known.
    pub replay_start: Option<fold::ReplayStart>,
    /// Oldest offset kept by the log.
    pub first: logs::Offset,
    /// Offset of the next append.
    pub next: logs::Offset,
    /// This host's place among those that read the log; 0 is first.
    pub rank: u32,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_millis: u64,
}

/// Append a snapshot now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Write;

/// Decides when this node appends a snapshot.
#[derive(Debug)]
pub struct Policy {
    /// How long the log keeps records at least.
    retention: time::Duration,
    rng: SmallRng,
    /// When this node's turn comes; `None` while no snapshot is due.
    turn: Option<clock::Instant>,
}

impl Policy {
    /// A policy for a log that keeps records for `retention` at least.
    pub fn new(retention: time::Duration, seed: u64) -> Self {
        Self { retention, rng: SmallRng::seed_from_u64(seed), turn: None }
    }

    /// Decides at `now`; to be called at least every few seconds, after reading the log to its end.
    pub fn handle(&mut self, now: clock::Instant, state: &State) -> Option<Write> {
        if !self.due(state) {
            self.turn = None;
            return None;
        }
        let Some(turn) = self.turn else {
            self.turn = Some(now + TURN * state.rank + self.jitter());
            return None;
        };
        if now < turn {
            return None;
        }
        self.turn = Some(now + RETRY + self.jitter());
        Some(Write)
    }

    /// Whether the replay_start is old, by time, by place among the kept records, or by distance.
    fn due(&self, state: &State) -> bool {
        let Some(replay_start) = state.replay_start else {
            return false;
        };
        let age =
            time::Duration::from_millis(state.unix_millis.saturating_sub(replay_start.unix_millis));
        let old = (state.next.saturating_sub(state.first)) / OLD_SHARE;
        let expiring = state.first > 0 && replay_start.next_offset < state.first + old;
        let distant = state.next.saturating_sub(replay_start.next_offset) >= INTERVAL_RECORDS;
        age >= self.retention / 2 || expiring || distant
    }

    fn jitter(&mut self) -> time::Duration {
        TURN.mul_f64(self.rng.random())
    }
}
