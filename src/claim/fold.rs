//! Holders of the keys, computed by replaying the log in order.
//!
//! The fold applies the records of one stream in their order and uses the log's own times. Two
//! folds that began at least one window back reach the same verdict on each claim.

use std::collections;
use std::collections::hash_map;
use std::time;

use crate::claim;
use crate::claim::record;

/// Number of segments of the window; expired claims are dropped by the segment.
const SEGMENTS: u64 = 4;

/// The holder of a key, packed into 16 bytes beside the 16 of the key.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// Index into the segment's list of processes.
    process: u32,
    /// Time of the claim, in milliseconds since the segment began.
    offset_ms: u32,
    /// The attempt's number in that process.
    number: u64,
}

/// Claims of one segment of the window.
#[derive(Debug, Default)]
struct Segment {
    /// Log time at the segment's start, divided by the segment's length.
    index: u64,
    held: collections::HashMap<claim::Key, Held>,
    /// Attempts that released a key or lost it to another and can no longer win it; the value is
    /// the time of that, in milliseconds since the segment began.
    void: collections::HashMap<(claim::Key, claim::Attempt), u32>,
    processes: Vec<record::Process>,
    indexes: collections::HashMap<record::Process, u32>,
}

/// Holders of the keys of one partition.
///
/// Invariants: the indexes of segments increase; each key is held in at most one segment.
#[derive(Debug)]
pub struct Fold {
    window_ms: u64,
    /// Latest log time seen; a record with an earlier time counts as of this moment.
    now_ms: u64,
    segments: collections::VecDeque<Segment>,
}

impl Fold {
    /// A fold that remembers a claim for `window`.
    pub fn new(window: time::Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(SEGMENTS);
        Self { window_ms, now_ms: 0, segments: collections::VecDeque::new() }
    }

    /// Applies one entry of a record that was appended at `unix_ms` by the log's clock.
    pub fn apply(&mut self, unix_ms: u64, entry: &record::Entry) {
        self.now_ms = self.now_ms.max(unix_ms);
        self.advance();
        match entry.op {
            record::Op::Claim => self.claim(entry.key, entry.attempt),
            record::Op::Release => self.release(entry.key, entry.attempt),
        }
    }

    /// The verdict on the claim of `attempt` on `key`; `None` when nobody holds the key, as before
    /// the claim and after a release.
    pub fn verdict(&self, key: claim::Key, attempt: claim::Attempt) -> Option<claim::Verdict> {
        let holder = self.holder(key)?;
        let first = holder == attempt;
        Some(if first { claim::Verdict::First } else { claim::Verdict::Taken(holder) })
    }

    /// The attempt that holds `key`.
    pub fn holder(&self, key: claim::Key) -> Option<claim::Attempt> {
        self.segments.iter().rev().find_map(|segment| {
            let held = segment.held.get(&key)?;
            if self.is_expired(segment, held.offset_ms) { None } else { segment.attempt(*held) }
        })
    }

    /// Whether `attempt` can no longer win `key`.
    pub fn is_void(&self, key: claim::Key, attempt: claim::Attempt) -> bool {
        let since = |segment: &Segment| segment.void.get(&(key, attempt)).copied();
        self.segments.iter().any(|segment| {
            since(segment).is_some_and(|offset_ms| !self.is_expired(segment, offset_ms))
        })
    }

    /// Whether the window has passed since `offset_ms` milliseconds into `segment`.
    fn is_expired(&self, segment: &Segment, offset_ms: u32) -> bool {
        let start_ms = segment.index * self.segment_ms() + u64::from(offset_ms);
        self.now_ms >= start_ms + self.window_ms
    }

    /// Claims and releases within `span` before the latest log time, as entries that bring another
    /// fold to the same state.
    pub fn recent(&self, span: time::Duration) -> Vec<record::Entry> {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let since_ms = self.now_ms.saturating_sub(span_ms);
        let mut entries = Vec::new();
        for segment in &self.segments {
            let start_ms = segment.index * self.segment_ms();
            let recent = |offset_ms: u32| start_ms + u64::from(offset_ms) >= since_ms;
            let voids = segment.void.iter().filter(|(_, offset_ms)| recent(**offset_ms));
            entries.extend(voids.map(|(&(key, attempt), _)| record::Entry {
                key,
                attempt,
                op: record::Op::Release,
            }));
            let held = segment.held.iter().filter(|(_, held)| recent(held.offset_ms));
            entries.extend(held.filter_map(|(&key, held)| {
                let attempt = segment.attempt(*held)?;
                Some(record::Entry { key, attempt, op: record::Op::Claim })
            }));
        }
        entries
    }

    /// Number of keys held, including expired ones whose segment has not been dropped yet.
    pub fn len(&self) -> usize {
        self.segments.iter().map(|segment| segment.held.len()).sum()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn segment_ms(&self) -> u64 {
        self.window_ms.div_ceil(SEGMENTS)
    }

    /// Opens the segment of the current time and drops those that ended at least a window ago.
    fn advance(&mut self) {
        let index = self.now_ms / self.segment_ms();
        if self.segments.back().is_none_or(|segment| segment.index < index) {
            self.segments.push_back(Segment { index, ..Segment::default() });
        }
        let (segment_ms, window_ms) = (self.segment_ms(), self.window_ms);
        let now_ms = self.now_ms;
        self.segments.retain(|segment| (segment.index + 1) * segment_ms + window_ms > now_ms);
    }

    fn claim(&mut self, key: claim::Key, attempt: claim::Attempt) {
        match self.holder(key) {
            // A copy of this claim may be appended after the holder's release. It must not win
            // then, since its caller has already been answered that the key is taken.
            Some(holder) if holder != attempt => return self.mark_void(key, attempt),
            Some(_) => return,
            None if self.is_void(key, attempt) => return,
            None => {}
        }
        // An expired claim of the key may still be stored.
        self.remove(key);
        let offset_ms = self.offset_ms();
        if let Some(segment) = self.segments.back_mut() {
            let process = segment.process(attempt);
            segment.held.insert(key, Held { process, offset_ms, number: attempt.number });
        }
    }

    fn release(&mut self, key: claim::Key, attempt: claim::Attempt) {
        if self.holder(key) == Some(attempt) {
            self.remove(key);
        }
        self.mark_void(key, attempt);
    }

    /// Records that `attempt` can no longer win `key`.
    fn mark_void(&mut self, key: claim::Key, attempt: claim::Attempt) {
        let offset_ms = self.offset_ms();
        if let Some(segment) = self.segments.back_mut() {
            segment.void.insert((key, attempt), offset_ms);
        }
    }

    fn remove(&mut self, key: claim::Key) {
        for segment in &mut self.segments {
            segment.held.remove(&key);
        }
    }

    /// Latest log time, in milliseconds since the newest segment began.
    fn offset_ms(&self) -> u32 {
        u32::try_from(self.now_ms % self.segment_ms()).unwrap_or(u32::MAX)
    }
}

impl Segment {
    /// Index of the process of `attempt`, which is added if it is new.
    fn process(&mut self, attempt: claim::Attempt) -> u32 {
        let process = record::Process { host: attempt.host, incarnation: attempt.incarnation };
        match self.indexes.entry(process) {
            hash_map::Entry::Occupied(index) => *index.get(),
            hash_map::Entry::Vacant(index) => {
                self.processes.push(process);
                *index.insert(u32::try_from(self.processes.len() - 1).unwrap_or(u32::MAX))
            }
        }
    }

    fn attempt(&self, held: Held) -> Option<claim::Attempt> {
        let process = self.processes.get(held.process as usize)?;
        Some(claim::Attempt {
            host: process.host,
            incarnation: process.incarnation,
            number: held.number,
        })
    }
}
