//! Who holds which key, by the order of the log.
//!
//! The fold sees the records of one stream in their order, with the log's own times. Two folds
//! that began at least a window back come to the same verdict on each claim.

use std::collections;
use std::collections::hash_map;
use std::time;

use crate::claim;
use crate::claim::record;

/// Parts of the window that are dropped as a whole.
const PARTS: u64 = 4;

/// A holder, packed: 16 bytes beside the key's 16.
#[derive(Clone, Copy, Debug)]
struct Held {
    /// Index of the life in its part.
    life: u32,
    /// Milliseconds since the part began.
    after: u32,
    /// Number of the attempt in that life.
    number: u64,
}

/// Claims of one part of the window.
#[derive(Debug, Default)]
struct Part {
    /// Which part of time: log time divided by the part's length.
    index: u64,
    held: collections::HashMap<claim::Key, Held>,
    /// Attempts that gave up a key or lost it to another, and can't win it any more; when, in milliseconds since the part
    /// began.
    void: collections::HashMap<(claim::Key, claim::Attempt), u32>,
    lives: Vec<record::Life>,
    places: collections::HashMap<record::Life, u32>,
}

/// Holders of the keys of one partition.
///
/// Invariants: parts rise in index; each key is held in at most one part.
#[derive(Debug)]
pub struct Fold {
    window_ms: u64,
    /// Latest log time seen; a record that is dated back counts as of this moment.
    now_ms: u64,
    parts: collections::VecDeque<Part>,
}

impl Fold {
    /// A fold that remembers a claim for `window`.
    pub fn new(window: time::Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX).max(PARTS);
        Self { window_ms, now_ms: 0, parts: collections::VecDeque::new() }
    }

    /// Takes one entry of a record that was appended at `unix_ms` by the log's clock.
    pub fn apply(&mut self, unix_ms: u64, entry: &record::Entry) {
        self.now_ms = self.now_ms.max(unix_ms);
        self.turn();
        match entry.op {
            record::Op::Claim => self.claim(entry.key, entry.attempt),
            record::Op::Release => self.release(entry.key, entry.attempt),
        }
    }

    /// What the log says about the claim of `attempt` on `key`; `None` when it has not won and
    /// nobody else holds the key, as before the claim and after a release.
    pub fn verdict(&self, key: claim::Key, attempt: claim::Attempt) -> Option<claim::Verdict> {
        let holder = self.holder(key)?;
        let first = holder == attempt;
        Some(if first { claim::Verdict::First } else { claim::Verdict::Taken(holder) })
    }

    /// The attempt that holds `key`.
    pub fn holder(&self, key: claim::Key) -> Option<claim::Attempt> {
        self.parts.iter().rev().find_map(|part| {
            let held = part.held.get(&key)?;
            if self.ended(part, held.after) { None } else { part.attempt(*held) }
        })
    }

    /// Whether `attempt` can't win `key` any more.
    pub fn void(&self, key: claim::Key, attempt: claim::Attempt) -> bool {
        let since = |part: &Part| part.void.get(&(key, attempt)).copied();
        self.parts.iter().any(|part| since(part).is_some_and(|after| !self.ended(part, after)))
    }

    /// Whether the window of something that happened `after` milliseconds into `part` has ended.
    fn ended(&self, part: &Part, after: u32) -> bool {
        let began = part.index * self.part_ms() + u64::from(after);
        self.now_ms >= began + self.window_ms
    }

    /// What was claimed and given up within `span` before the latest log time, as entries that bring another
    /// fold to the same.
    pub fn recent(&self, span: time::Duration) -> Vec<record::Entry> {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let since_ms = self.now_ms.saturating_sub(span_ms);
        let mut entries = Vec::new();
        for part in &self.parts {
            let began = part.index * self.part_ms();
            let recent = |after: u32| began + u64::from(after) >= since_ms;
            let voids = part.void.iter().filter(|(_, after)| recent(**after));
            entries.extend(voids.map(|(&(key, attempt), _)| record::Entry {
                key,
                attempt,
                op: record::Op::Release,
            }));
            let held = part.held.iter().filter(|(_, held)| recent(held.after));
            entries.extend(held.filter_map(|(&key, held)| {
                let attempt = part.attempt(*held)?;
                Some(record::Entry { key, attempt, op: record::Op::Claim })
            }));
        }
        entries
    }

    /// How many keys are held, those of an ended window included until their part is dropped.
    pub fn len(&self) -> usize {
        self.parts.iter().map(|part| part.held.len()).sum()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn part_ms(&self) -> u64 {
        self.window_ms.div_ceil(PARTS)
    }

    /// Opens the part of the current time and drops those that ended a window ago.
    fn turn(&mut self) {
        let index = self.now_ms / self.part_ms();
        if self.parts.back().is_none_or(|part| part.index < index) {
            self.parts.push_back(Part { index, ..Part::default() });
        }
        let (part_ms, window_ms) = (self.part_ms(), self.window_ms);
        let now_ms = self.now_ms;
        self.parts.retain(|part| (part.index + 1) * part_ms + window_ms > now_ms);
    }

    fn claim(&mut self, key: claim::Key, attempt: claim::Attempt) {
        match self.holder(key) {
            // A copy of this claim may land once the holder has released; it must not win then,
            // since its caller has been told that the key is taken.
            Some(holder) if holder != attempt => return self.avoid(key, attempt),
            Some(_) => return,
            None if self.void(key, attempt) => return,
            None => {}
        }
        // An entry whose window has ended may still be there.
        self.remove(key);
        let after = self.after();
        if let Some(part) = self.parts.back_mut() {
            let life = part.life(attempt);
            part.held.insert(key, Held { life, after, number: attempt.number });
        }
    }

    fn release(&mut self, key: claim::Key, attempt: claim::Attempt) {
        if self.holder(key) == Some(attempt) {
            self.remove(key);
        }
        self.avoid(key, attempt);
    }

    /// Notes that `attempt` can't win `key` any more.
    fn avoid(&mut self, key: claim::Key, attempt: claim::Attempt) {
        let after = self.after();
        if let Some(part) = self.parts.back_mut() {
            part.void.insert((key, attempt), after);
        }
    }

    fn remove(&mut self, key: claim::Key) {
        for part in &mut self.parts {
            part.held.remove(&key);
        }
    }

    /// Milliseconds since the newest part began.
    fn after(&self) -> u32 {
        u32::try_from(self.now_ms % self.part_ms()).unwrap_or(u32::MAX)
    }
}

impl Part {
    fn life(&mut self, attempt: claim::Attempt) -> u32 {
        let life = record::Life { host: attempt.host, incarnation: attempt.incarnation };
        match self.places.entry(life) {
            hash_map::Entry::Occupied(place) => *place.get(),
            hash_map::Entry::Vacant(place) => {
                self.lives.push(life);
                *place.insert(u32::try_from(self.lives.len() - 1).unwrap_or(u32::MAX))
            }
        }
    }

    fn attempt(&self, held: Held) -> Option<claim::Attempt> {
        let life = self.lives.get(held.life as usize)?;
        Some(claim::Attempt { host: life.host, incarnation: life.incarnation, number: held.number })
    }
}
