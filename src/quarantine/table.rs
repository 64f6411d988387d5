//! Determines which request causes the crashes of upstreams.

use std::collections;
use std::sync::Arc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::host;
use crate::quarantine;

/// Maximum number of crashes kept. Upstreams take seconds to restart, so that a dozen of them need
/// at least a minute to fill this; crashes that prove a quarantine are dropped last.
const MAX_CRASHES: usize = 256;

/// Time for which a crash is kept. It is shorter than the time for which an answer that lifts it is
/// kept.
const CRASH_TTL: time::Duration = time::Duration::from_secs(600);

/// Maximum number of entries kept.
const MAX_ENTRIES: usize = 1024;

/// Digest of [`Table::quarantined`], by which hosts compare their tables; all zero if there are no
/// such entries.
pub type Digest = [u8; 4];

/// Identifies one crash of an upstream in the mesh.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The node beside the upstream.
    pub host: host::HostId,
    /// Number of the crash: higher for each crash that the node reports, also after a restart of
    /// the node.
    pub number: u64,
}

/// A crash of an upstream while it ran calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Its identifier.
    pub id: CrashId,
    /// When the upstream crashed.
    pub at: clock::Instant,
    /// The requests that ran; [`quarantine::MAX_FINGERPRINTS`] at most.
    pub fingerprints: Arc<[quarantine::Fingerprint]>,
}

/// The crashes that a node knows of, and the requests that it quarantines because of them.
///
/// A crash *implicates* a request that ran there and that no upstream has answered since. A crash
/// is *explained* if it implicates a quarantined request.
///
/// Invariants: `crashes` holds each crash once, in the order in which they were recorded; `counts`
/// holds for each fingerprint the number of `crashes` that contain it; `entries` has a bounded
/// size. Two tables that have recorded the same crashes and answers, in whatever order, quarantine
/// the same requests.
#[derive(Debug, Default)]
pub struct Table {
    crashes: collections::VecDeque<Crash>,
    counts: collections::HashMap<quarantine::Fingerprint, u16>,
    entries: collections::BTreeMap<quarantine::Fingerprint, quarantine::Entry>,
}

impl Table {
    /// Whether the table holds neither crashes nor entries.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.entries.is_empty()
    }

    /// The crash with the identifier `id`.
    pub fn crash(&self, id: CrashId) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.id == id)
    }

    /// The entry of `fingerprint`.
    pub fn entry(&self, fingerprint: quarantine::Fingerprint) -> Option<quarantine::Entry> {
        self.entries.get(&fingerprint).copied()
    }

    /// The entries of requests that are quarantined, or were until they were answered: the ones
    /// that hosts compare and exchange.
    pub fn quarantined(
        &self,
    ) -> impl Iterator<Item = (quarantine::Fingerprint, quarantine::Entry)> {
        self.entries().filter(|(_, entry)| entry.crashes >= quarantine::THRESHOLD)
    }

    /// All entries, also those of requests that were never quarantined.
    pub fn entries(&self) -> impl Iterator<Item = (quarantine::Fingerprint, quarantine::Entry)> {
        self.entries.iter().map(|(fingerprint, entry)| (*fingerprint, *entry))
    }

    /// Records a crash; `false` if it was known already or is too old to be kept.
    pub fn record_crash(&mut self, crash: Crash, now: clock::Instant) -> bool {
        self.expire(now);
        if now.since(crash.at) > CRASH_TTL || self.crash(crash.id).is_some() {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.evict_crash();
        }
        for fingerprint in crash.fingerprints.iter() {
            *self.counts.entry(*fingerprint).or_default() += 1;
        }
        let fingerprints = crash.fingerprints.to_vec();
        self.crashes.push_back(crash);
        self.update_entries(&fingerprints);
        true
    }

    /// Records that an upstream answered `fingerprint` at `at`; returns the number of crashes that
    /// no longer implicate it.
    pub fn record_answer(
        &mut self,
        fingerprint: quarantine::Fingerprint,
        at: clock::Instant,
    ) -> u8 {
        let unexplained =
            self.counts.contains_key(&fingerprint).then(|| self.unexplained(fingerprint).len());
        let unexplained = u8::try_from(unexplained.unwrap_or_default()).unwrap_or(u8::MAX);
        let crashes =
            unexplained.max(self.entries.get(&fingerprint).map_or(0, |entry| entry.crashes));
        let entry = quarantine::Entry { crashes, lifted: true, last: at };
        if crashes > 0 && self.merge(fingerprint, entry, at) { crashes } else { 0 }
    }

    /// Merges the entry that another host holds for `fingerprint`; `false` if it changes nothing.
    pub fn merge(
        &mut self,
        fingerprint: quarantine::Fingerprint,
        entry: quarantine::Entry,
        now: clock::Instant,
    ) -> bool {
        let known = self.entries.get(&fingerprint);
        if entry.is_expired(now) || known.is_some_and(|known| !entry.supersedes(known)) {
            return false;
        }
        self.put(fingerprint, entry);
        // The crashes may now point to a request that ran together with this one.
        let shared = self.crashes.iter().filter(|crash| crash.fingerprints.contains(&fingerprint));
        let mut fingerprints: Vec<_> =
            shared.flat_map(|crash| crash.fingerprints.iter().copied()).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        self.update_entries(&fingerprints);
        true
    }

    /// Drops expired crashes and entries; `true` if there were any.
    pub fn expire(&mut self, now: clock::Instant) -> bool {
        let before = self.crashes.len() + self.entries.len();
        while let Some(index) =
            self.crashes.iter().position(|crash| now.since(crash.at) > CRASH_TTL)
        {
            self.remove(index);
        }
        self.entries.retain(|_, entry| !entry.is_expired(now));
        before > self.crashes.len() + self.entries.len()
    }

    /// Digest of [`Table::quarantined`].
    pub fn digest(&self) -> Digest {
        let word = |(fingerprint, entry): (quarantine::Fingerprint, quarantine::Entry)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&fingerprint.0.to_le_bytes());
            hasher.update(&[entry.crashes, u8::from(entry.lifted)]);
            let mut first = [0; 4];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
            u32::from_le_bytes(first)
        };
        self.quarantined().map(word).fold(0, |all, word| all ^ word).to_le_bytes()
    }

    /// A snapshot for the calls.
    pub fn snapshot(&self) -> quarantine::Snapshot {
        let mut crashes = collections::HashMap::new();
        for fingerprint in self
            .crashes
            .iter()
            .filter(|crash| !self.is_explained(crash))
            .flat_map(|crash| self.implicated(crash))
        {
            let count: &mut u8 = crashes.entry(fingerprint).or_default();
            *count = count.saturating_add(1);
        }
        quarantine::Snapshot { entries: self.entries().collect(), crashes }
    }

    /// Whether `fingerprint` is quarantined.
    fn is_quarantined(&self, fingerprint: quarantine::Fingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| !entry.lifted)
    }

    /// Whether `crash` implicates `fingerprint`: the request ran there, and no upstream has
    /// answered it since.
    fn implicates(&self, crash: &Crash, fingerprint: quarantine::Fingerprint) -> bool {
        crash.fingerprints.contains(&fingerprint)
            && !self
                .entries
                .get(&fingerprint)
                .is_some_and(|entry| entry.lifted && entry.last >= crash.at)
    }

    /// The fingerprints that `crash` implicates.
    fn implicated<'a>(&'a self, crash: &'a Crash) -> impl Iterator<Item = quarantine::Fingerprint> {
        let all = crash.fingerprints.iter().copied();
        all.filter(|fingerprint| self.implicates(crash, *fingerprint))
    }

    /// Whether `crash` implicates a quarantined request.
    fn is_explained(&self, crash: &Crash) -> bool {
        self.implicated(crash).any(|fingerprint| self.is_quarantined(fingerprint))
    }

    /// The crashes that implicate `fingerprint` and no quarantined request.
    fn unexplained(&self, fingerprint: quarantine::Fingerprint) -> Vec<&Crash> {
        let crashes = self.crashes.iter().filter(|crash| self.implicates(crash, fingerprint));
        crashes.filter(|crash| !self.is_explained(crash)).collect()
    }

    /// Updates the entries of `fingerprints`, for which crashes or answers were recorded.
    fn update_entries(&mut self, fingerprints: &[quarantine::Fingerprint]) {
        for fingerprint in fingerprints {
            self.extend(*fingerprint);
        }
        while let Some((fingerprint, entry)) = self.next_quarantine(fingerprints) {
            self.put(fingerprint, entry);
        }
    }

    /// Adds the crashes since `fingerprint` was quarantined to its entry.
    fn extend(&mut self, fingerprint: quarantine::Fingerprint) {
        let Some(entry) = self.entry(fingerprint).filter(|entry| !entry.lifted) else { return };
        let implicating = self.crashes.iter().filter(|crash| self.implicates(crash, fingerprint));
        let (mut crashes, mut last) = (0u8, entry.last);
        for crash in implicating {
            crashes = crashes.saturating_add(1);
            last = last.max(crash.at);
        }
        let crashes = entry.crashes.max(crashes);
        self.put(fingerprint, quarantine::Entry { crashes, last, ..entry });
    }

    /// The one of `fingerprints` that explains most of the unexplained crashes, with its new entry,
    /// if these crashes suffice to quarantine it.
    fn next_quarantine(
        &self,
        fingerprints: &[quarantine::Fingerprint],
    ) -> Option<(quarantine::Fingerprint, quarantine::Entry)> {
        let min = u16::from(quarantine::THRESHOLD);
        let frequent = |fingerprint: &&quarantine::Fingerprint| {
            self.counts.get(fingerprint).is_some_and(|count| *count >= min)
        };
        let candidates = fingerprints.iter().filter(frequent);
        let candidates = candidates.filter(|fingerprint| !self.is_quarantined(**fingerprint));
        let candidates =
            candidates.map(|fingerprint| (*fingerprint, self.unexplained(*fingerprint)));
        let proven = candidates.filter(|(fingerprint, crashes)| {
            let certain = crashes.len() >= usize::from(quarantine::CERTAINTY_THRESHOLD);
            crashes.len() >= usize::from(quarantine::THRESHOLD)
                && (certain || self.is_sole_cause(*fingerprint, crashes))
        });
        let (fingerprint, crashes) =
            proven.max_by_key(|(fingerprint, crashes)| (crashes.len(), *fingerprint))?;
        let last = crashes.iter().map(|crash| crash.at).max()?;
        let count = u8::try_from(crashes.len()).unwrap_or(u8::MAX);
        Some((fingerprint, quarantine::Entry { crashes: count, lifted: false, last }))
    }

    /// Whether no request other than `fingerprint` is implicated by all of `crashes`.
    fn is_sole_cause(&self, fingerprint: quarantine::Fingerprint, crashes: &[&Crash]) -> bool {
        let Some((first, rest)) = crashes.split_first() else { return false };
        let mut others = self.implicated(first).filter(|other| *other != fingerprint);
        !others.any(|other| rest.iter().all(|crash| self.implicates(crash, other)))
    }

    /// Stores an entry; a new one replaces the oldest if the table is full.
    fn put(&mut self, fingerprint: quarantine::Fingerprint, entry: quarantine::Entry) {
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&fingerprint) {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.and_then(|oldest| self.entries.remove(&oldest));
        }
        self.entries.insert(fingerprint, entry);
    }

    /// Drops the earliest crash under which no quarantined request ran, or else the earliest of
    /// all.
    fn evict_crash(&mut self) {
        let unproven = |crash: &Crash| {
            !crash.fingerprints.iter().any(|fingerprint| self.is_quarantined(*fingerprint))
        };
        let index = self.crashes.iter().position(unproven).unwrap_or_default();
        self.remove(index);
    }

    fn remove(&mut self, index: usize) {
        let Some(crash) = self.crashes.remove(index) else { return };
        for fingerprint in crash.fingerprints.iter() {
            if let collections::hash_map::Entry::Occupied(mut count) =
                self.counts.entry(*fingerprint)
            {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }
}
