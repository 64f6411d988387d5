//! When a node reads the log, and how long each read waits.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::configs;
use crate::logs;

/// Backoff after failed reads: the first and the longest.
const BACKOFF_RANGE: (time::Duration, time::Duration) =
    (time::Duration::from_millis(100), time::Duration::from_secs(5));

/// Minimum time from an empty result to the next read, in case the log does not wait for records.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Time from a configuration to the next read of a host that knows no other: it may be about to know
/// some that read the log for it.
const LONE_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// How many times longer than others such a host waits for the first records.
const LONE_WAIT_FACTOR: u32 = 5;

/// A node's part in reading the log for its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows the log by long polls.
    Follow,
    /// Follows it while no other host is known. When all hosts of a mesh start for the first time,
    /// each of them does, so that it makes few reads.
    Lone,
    /// Reads the log at intervals, or by long polls where the interval is zero.
    Standby,
    /// Does not read the log.
    Idle,
}

/// One read of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Read {
    /// The offset to read from.
    pub from: logs::Offset,
    /// How long the log may wait for a new record.
    pub wait: time::Duration,
}

/// The purpose of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadKind {
    /// To check at start whether there is a newer version.
    Confirm,
    /// To replay every record, as a reader.
    Replay,
}

/// The result of a read, as far as the time of the next one depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadResult {
    /// More records follow.
    MoreRecords,
    /// No records: the end had been reached before.
    Empty,
    /// Records up to the end.
    ReachedEnd,
}

/// The schedule of one node's reads.
///
/// Invariant: at most one read is outstanding.
#[derive(Debug)]
pub struct ReadSchedule {
    outstanding: Option<ReadKind>,
    confirm: bool,
    due: Option<clock::Instant>,
    failures: u32,
    standby_interval: time::Duration,
    poll_wait: time::Duration,
    /// Whether a read has brought records.
    has_records: bool,
}

impl ReadSchedule {
    /// A schedule without any read so far; a long poll at the log's end lasts `wait`.
    pub const fn new(settings: &configs::spread::Spread, wait: time::Duration) -> Self {
        Self {
            outstanding: None,
            confirm: false,
            due: None,
            failures: 0,
            standby_interval: time::Duration::from_millis(settings.standby_ms),
            poll_wait: wait,
            has_records: false,
        }
    }

    /// Makes the next read one of kind [`ReadKind::Confirm`].
    pub const fn request_confirmation(&mut self) {
        self.confirm = true;
    }

    /// Starts the read that is due now, if any, and returns its kind.
    pub fn poll(&mut self, role: Role, now: clock::Instant) -> Option<ReadKind> {
        if self.outstanding.is_some() {
            return None;
        }
        let replay = role != Role::Idle && self.due.is_none_or(|due| due <= now);
        self.outstanding = match self.confirm {
            true => Some(ReadKind::Confirm),
            false => replay.then_some(ReadKind::Replay),
        };
        self.outstanding
    }

    /// How long a read at the log's end may wait for a new record. Once there are records, a longer
    /// wait would hide that the log was restored from an older copy: only the end of a read shows it.
    pub fn wait(&self, role: Role) -> time::Duration {
        match role {
            Role::Lone if !self.has_records => self.poll_wait * LONE_WAIT_FACTOR,
            Role::Follow | Role::Lone => self.poll_wait,
            Role::Standby if self.standby_interval.is_zero() => self.poll_wait,
            Role::Standby | Role::Idle => time::Duration::ZERO,
        }
    }

    /// When the next read is due; `None` when it is due now, or when none may start because one is
    /// outstanding or this node does not read the log.
    pub fn due(&self, role: Role) -> Option<clock::Instant> {
        if self.outstanding.is_some() || role == Role::Idle { None } else { self.due }
    }

    /// Ends the outstanding read, which had `result`, and schedules the next one.
    pub fn done<R: rand::Rng>(
        &mut self,
        role: Role,
        result: ReadResult,
        now: clock::Instant,
        rng: &mut R,
    ) {
        self.outstanding = None;
        self.failures = 0;
        self.has_records |= result != ReadResult::Empty;
        let delay = match (result, role) {
            (ReadResult::MoreRecords, _) => None,
            (_, Role::Standby) => Some(
                MIN_READ_INTERVAL + self.standby_interval.mul_f64(rng.random_range(0.75..1.25)),
            ),
            (ReadResult::Empty, _) => Some(MIN_READ_INTERVAL),
            (ReadResult::ReachedEnd, Role::Lone) => Some(LONE_INTERVAL),
            (ReadResult::ReachedEnd, _) => None,
        };
        self.due = delay.map(|delay| now + delay);
    }

    /// The kind of the outstanding read.
    pub const fn outstanding(&self) -> Option<ReadKind> {
        self.outstanding
    }

    /// Ends an outstanding read of kind [`ReadKind::Confirm`].
    pub const fn confirmation_done(&mut self) {
        self.outstanding = None;
        self.confirm = false;
    }

    /// Ends the outstanding read, which has failed, and schedules the next one after a backoff.
    pub fn failed<R: rand::Rng>(&mut self, now: clock::Instant, rng: &mut R) {
        self.outstanding = None;
        self.confirm = false;
        let max_delay = (BACKOFF_RANGE.0 * (1 << self.failures.min(10))).min(BACKOFF_RANGE.1);
        self.failures += 1;
        self.due = Some(now + max_delay.mul_f64(rng.random_range(0.1..1.0)));
    }

    /// Whether a read has failed since the last successful one of kind [`ReadKind::Replay`].
    pub const fn failing(&self) -> bool {
        self.failures > 0
    }
}
