//! The pace at which a node reads the log.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::configs;
use crate::logs;

/// Shortest and longest backoff after failed reads.
const BACKOFF: (time::Duration, time::Duration) =
    (time::Duration::from_millis(100), time::Duration::from_secs(5));

/// Least time from an empty answer to the next read, against a log that doesn't wait.
const REST: time::Duration = time::Duration::from_millis(10);

/// What a node does about the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows it by long polls.
    Follow,
    /// Looks at it now and then.
    Standby,
    /// Leaves it to others.
    Idle,
}

/// One read of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// The first offset wanted.
    pub from: logs::Offset,
    /// How long the log may wait for a record.
    pub wait: time::Duration,
}

/// What a read is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// To learn at start whether there is anything newer.
    Confirm,
    /// To judge every record, as a reader.
    Judge,
}

/// What a read gave, as far as the pace depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Yield {
    /// More records wait.
    Behind,
    /// Nothing; the end was reached before.
    Empty,
    /// Records up to the end.
    End,
}

/// The reads of one node.
///
/// Invariant: at most one read is outstanding.
#[derive(Debug)]
pub struct Tail {
    outstanding: Option<Kind>,
    confirm: bool,
    due: Option<clock::Instant>,
    failures: u32,
    standby: time::Duration,
    wait: time::Duration,
}

impl Tail {
    /// No read so far; a read at the log's end waits for `wait`.
    pub const fn new(settings: &configs::spread::Spread, wait: time::Duration) -> Self {
        Self {
            outstanding: None,
            confirm: false,
            due: None,
            failures: 0,
            standby: time::Duration::from_millis(settings.standby_ms),
            wait,
        }
    }

    /// Asks for one read of kind [`Kind::Confirm`].
    pub const fn confirm(&mut self) {
        self.confirm = true;
    }

    /// The kind of the read to start now, if one is due.
    pub fn poll(&mut self, role: Role, now: clock::Instant) -> Option<Kind> {
        if self.outstanding.is_some() {
            return None;
        }
        let judge = role != Role::Idle && self.due.is_none_or(|due| due <= now);
        self.outstanding = match self.confirm {
            true => Some(Kind::Confirm),
            false => judge.then_some(Kind::Judge),
        };
        self.outstanding
    }

    /// How long a read at the log's end may wait there.
    pub const fn wait(&self, role: Role) -> time::Duration {
        match role {
            Role::Follow => self.wait,
            Role::Standby if self.standby.is_zero() => self.wait,
            Role::Standby | Role::Idle => time::Duration::ZERO,
        }
    }

    /// When the next read is due, if it waits for its time.
    pub fn due(&self, role: Role) -> Option<clock::Instant> {
        if self.outstanding.is_some() || role == Role::Idle { None } else { self.due }
    }

    /// The outstanding read has ended; gives what it was for.
    pub fn done<R: rand::Rng>(
        &mut self,
        role: Role,
        gave: Yield,
        now: clock::Instant,
        rng: &mut R,
    ) {
        self.outstanding = None;
        self.failures = 0;
        let rest = match (gave, role) {
            (Yield::Behind, _) => None,
            (_, Role::Standby) => Some(REST + self.standby.mul_f64(rng.random_range(0.75..1.25))),
            (Yield::Empty, _) => Some(REST),
            (Yield::End, _) => None,
        };
        self.due = rest.map(|rest| now + rest);
    }

    /// What the outstanding read is for.
    pub const fn outstanding(&self) -> Option<Kind> {
        self.outstanding
    }

    /// The outstanding read was one of kind [`Kind::Confirm`], and has ended.
    pub const fn looked(&mut self) {
        self.outstanding = None;
        self.confirm = false;
    }

    /// The outstanding read has failed.
    pub fn failed<R: rand::Rng>(&mut self, now: clock::Instant, rng: &mut R) {
        self.outstanding = None;
        self.confirm = false;
        let longest = (BACKOFF.0 * (1 << self.failures.min(10))).min(BACKOFF.1);
        self.failures += 1;
        self.due = Some(now + longest.mul_f64(rng.random_range(0.1..1.0)));
    }

    /// Whether the last read has failed.
    pub const fn failing(&self) -> bool {
        self.failures > 0
    }
}
