//! Which request causes the ends of upstreams.

use std::collections;
use std::sync::Arc;
use std::time;

use serde::{Deserialize, Serialize};

use crate::clock;
use crate::host;
use crate::quarantine;

/// Most ends remembered. Upstreams take seconds to come back, so that a dozen of them fill this in a
/// minute at least; those that prove what is refused go last.
const ENDS: usize = 256;

/// How long an end is remembered; less than an answer that excuses it.
const AGE: time::Duration = time::Duration::from_secs(600);

/// Most requests of which something is held.
const BANS: usize = 1024;

/// Digest of what hosts compare; all zero when it is nothing.
pub type Digest = [u8; 4];

/// Names one end of an upstream in the whole mesh.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// The node beside it.
    pub host: host::HostId,
    /// Number of the end: higher for each one that the node tells, over its restarts too.
    pub number: u64,
}

/// The end of an upstream while it ran calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Its name.
    pub id: CrashId,
    /// When it was.
    pub at: clock::Instant,
    /// What ran; [`quarantine::MAX_FINGERPRINTS`] at most.
    pub fingerprints: Arc<[quarantine::Fingerprint]>,
}

/// What is known of ends, and what follows from them.
///
/// Invariants: `crashes` is ordered by the time at which they became known, and has each end once; `counts`
/// tells for each print in how many of them it is; `entries` has no more than a bounded number of entries. Two tables
/// that have seen the same ends and answers, in whatever order, hold the same requests responsible.
#[derive(Debug, Default)]
pub struct Table {
    crashes: collections::VecDeque<Crash>,
    counts: collections::HashMap<quarantine::Fingerprint, u16>,
    entries: collections::BTreeMap<quarantine::Fingerprint, quarantine::Entry>,
}

impl Table {
    /// Whether there is nothing to remember.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.entries.is_empty()
    }

    /// The end called `id`.
    pub fn crash(&self, id: CrashId) -> Option<&Crash> {
        self.crashes.iter().find(|end| end.id == id)
    }

    /// What is held of `print`.
    pub fn entry(&self, print: quarantine::Fingerprint) -> Option<quarantine::Entry> {
        self.entries.get(&print).copied()
    }

    /// What is held of the requests that are responsible for ends, or were until they were answered: this
    /// is what hosts compare.
    pub fn quarantined(
        &self,
    ) -> impl Iterator<Item = (quarantine::Fingerprint, quarantine::Entry)> {
        self.entries().filter(|(_, ban)| ban.crashes >= quarantine::THRESHOLD)
    }

    /// What is held of all requests.
    pub fn entries(&self) -> impl Iterator<Item = (quarantine::Fingerprint, quarantine::Entry)> {
        self.entries.iter().map(|(print, ban)| (*print, *ban))
    }

    /// Takes in the end of an upstream; `false` when it was known, or is too old to say anything.
    pub fn record_crash(&mut self, end: Crash, now: clock::Instant) -> bool {
        self.expire(now);
        if now.since(end.at) > AGE || self.crash(end.id).is_some() {
            return false;
        }
        if self.crashes.len() >= ENDS {
            self.drop_one();
        }
        for print in end.fingerprints.iter() {
            *self.counts.entry(*print).or_default() += 1;
        }
        let prints = end.fingerprints.to_vec();
        self.crashes.push_back(end);
        self.judge(&prints);
        true
    }

    /// An upstream has answered `print` at `at`; gives how many ends that excuses.
    pub fn record_answer(&mut self, print: quarantine::Fingerprint, at: clock::Instant) -> u8 {
        let open = self.counts.contains_key(&print).then(|| self.unexplained(print).len());
        let open = u8::try_from(open.unwrap_or_default()).unwrap_or(u8::MAX);
        let ends = open.max(self.entries.get(&print).map_or(0, |ban| ban.crashes));
        let ban = quarantine::Entry { crashes: ends, lifted: true, last: at };
        if ends > 0 && self.merge(print, ban, at) { ends } else { 0 }
    }

    /// Takes in what another host holds of `print`; `false` when it is nothing new.
    pub fn merge(
        &mut self,
        print: quarantine::Fingerprint,
        ban: quarantine::Entry,
        now: clock::Instant,
    ) -> bool {
        let known = self.entries.get(&print);
        if ban.is_expired(now) || known.is_some_and(|known| !ban.supersedes(known)) {
            return false;
        }
        self.put(print, ban);
        // What ran beside it may be held responsible in its place.
        let beside = self.crashes.iter().filter(|end| end.fingerprints.contains(&print));
        let mut prints: Vec<_> = beside.flat_map(|end| end.fingerprints.iter().copied()).collect();
        prints.sort_unstable();
        prints.dedup();
        self.judge(&prints);
        true
    }

    /// Drops what says nothing any more; `true` when that was something.
    pub fn expire(&mut self, now: clock::Instant) -> bool {
        let before = self.crashes.len() + self.entries.len();
        while let Some(index) = self.crashes.iter().position(|end| now.since(end.at) > AGE) {
            self.remove(index);
        }
        self.entries.retain(|_, ban| !ban.is_expired(now));
        before > self.crashes.len() + self.entries.len()
    }

    /// Digest of [`Table::quarantined`].
    pub fn digest(&self) -> Digest {
        let word = |(print, ban): (quarantine::Fingerprint, quarantine::Entry)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&print.0.to_le_bytes()).update(&[ban.crashes, u8::from(ban.lifted)]);
            let mut first = [0; 4];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
            u32::from_le_bytes(first)
        };
        self.quarantined().map(word).fold(0, |all, word| all ^ word).to_le_bytes()
    }

    /// The snapshot for the calls.
    pub fn snapshot(&self) -> quarantine::Snapshot {
        let mut ends = collections::HashMap::new();
        for print in
            self.crashes.iter().filter(|end| !self.is_explained(end)).flat_map(|e| self.open(e))
        {
            let count: &mut u8 = ends.entry(print).or_default();
            *count = count.saturating_add(1);
        }
        quarantine::Snapshot { entries: self.entries().collect(), crashes: ends }
    }

    /// Whether `print` is held responsible.
    fn is_banned(&self, print: quarantine::Fingerprint) -> bool {
        self.entries.get(&print).is_some_and(|ban| !ban.lifted)
    }

    /// Whether `end` speaks against `print`: it ran there, and no upstream has answered it since.
    fn blames(&self, end: &Crash, print: quarantine::Fingerprint) -> bool {
        end.fingerprints.contains(&print)
            && !self.entries.get(&print).is_some_and(|ban| ban.lifted && ban.last >= end.at)
    }

    /// The prints against which `end` speaks.
    fn open<'a>(&'a self, end: &'a Crash) -> impl Iterator<Item = quarantine::Fingerprint> {
        end.fingerprints.iter().copied().filter(|print| self.blames(end, *print))
    }

    /// Whether a request is held responsible for `end`.
    fn is_explained(&self, end: &Crash) -> bool {
        self.open(end).any(|print| self.is_banned(print))
    }

    /// The ends that speak against `print` and for which nobody is held responsible.
    fn unexplained(&self, print: quarantine::Fingerprint) -> Vec<&Crash> {
        let blaming = self.crashes.iter().filter(|end| self.blames(end, print));
        blaming.filter(|end| !self.is_explained(end)).collect()
    }

    /// Finds out whether `prints`, of which something has become known, cause ends.
    fn judge(&mut self, prints: &[quarantine::Fingerprint]) {
        for print in prints {
            self.extend(*print);
        }
        while let Some((print, ban)) = self.convict(prints) {
            self.put(print, ban);
        }
    }

    /// Counts the ends that came since `print` was held responsible.
    fn extend(&mut self, print: quarantine::Fingerprint) {
        let Some(ban) = self.entry(print).filter(|ban| !ban.lifted) else { return };
        let under = self.crashes.iter().filter(|end| self.blames(end, print));
        let (mut ends, mut last) = (0u8, ban.last);
        for end in under {
            ends = ends.saturating_add(1);
            last = last.max(end.at);
        }
        self.put(print, quarantine::Entry { crashes: ban.crashes.max(ends), last, ..ban });
    }

    /// The one of `prints` that explains most of the unexplained ends, if that is enough to hold it
    /// responsible.
    fn convict(
        &self,
        prints: &[quarantine::Fingerprint],
    ) -> Option<(quarantine::Fingerprint, quarantine::Entry)> {
        let least = u16::from(quarantine::THRESHOLD);
        let often =
            |print: &&quarantine::Fingerprint| self.counts.get(print).is_some_and(|c| *c >= least);
        let free = prints.iter().filter(often).filter(|print| !self.is_banned(**print));
        let under = free.map(|print| (*print, self.unexplained(*print)));
        let proven = under.filter(|(print, ends)| {
            let sure = ends.len() >= usize::from(quarantine::SURE);
            ends.len() >= usize::from(quarantine::THRESHOLD) && (sure || self.is_sole(*print, ends))
        });
        let (print, ends) = proven.max_by_key(|(print, ends)| (ends.len(), *print))?;
        let last = ends.iter().map(|end| end.at).max()?;
        let count = u8::try_from(ends.len()).unwrap_or(u8::MAX);
        Some((print, quarantine::Entry { crashes: count, lifted: false, last }))
    }

    /// Whether no other request than `print` explains all of `ends`.
    fn is_sole(&self, print: quarantine::Fingerprint, ends: &[&Crash]) -> bool {
        let Some((first, rest)) = ends.split_first() else { return false };
        let mut others = self.open(first).filter(|other| *other != print);
        !others.any(|other| rest.iter().all(|end| self.blames(end, other)))
    }

    fn put(&mut self, print: quarantine::Fingerprint, ban: quarantine::Entry) {
        if self.entries.len() >= BANS && !self.entries.contains_key(&print) {
            let oldest =
                self.entries.iter().min_by_key(|(_, ban)| ban.last).map(|(print, _)| *print);
            oldest.and_then(|oldest| self.entries.remove(&oldest));
        }
        self.entries.insert(print, ban);
    }

    /// Makes room for one more end.
    fn drop_one(&mut self) {
        let free = |end: &Crash| !end.fingerprints.iter().any(|print| self.is_banned(*print));
        let index = self.crashes.iter().position(free).unwrap_or_default();
        self.remove(index);
    }

    fn remove(&mut self, index: usize) {
        let Some(end) = self.crashes.remove(index) else { return };
        for print in end.fingerprints.iter() {
            if let collections::hash_map::Entry::Occupied(mut count) = self.counts.entry(*print) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }
}
