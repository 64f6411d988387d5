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
pub struct EndId {
    /// The node beside it.
    pub host: host::HostId,
    /// Number of the end: higher for each one that the node tells, over its restarts too.
    pub number: u64,
}

/// The end of an upstream while it ran calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct End {
    /// Its name.
    pub id: EndId,
    /// When it was.
    pub at: clock::Instant,
    /// What ran; [`quarantine::PRINTS`] at most.
    pub prints: Arc<[quarantine::Print]>,
}

/// What is known of ends, and what follows from them.
///
/// Invariants: `ends` is ordered by the time at which they became known, and has each end once; `counts`
/// tells for each print in how many of them it is; `bans` has no more than a bounded number of entries. Two tables
/// that have seen the same ends and answers, in whatever order, hold the same requests responsible.
#[derive(Debug, Default)]
pub struct Table {
    ends: collections::VecDeque<End>,
    counts: collections::HashMap<quarantine::Print, u16>,
    bans: collections::BTreeMap<quarantine::Print, quarantine::Ban>,
}

impl Table {
    /// Whether there is nothing to remember.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.bans.is_empty()
    }

    /// The end called `id`.
    pub fn end(&self, id: EndId) -> Option<&End> {
        self.ends.iter().find(|end| end.id == id)
    }

    /// What is held of `print`.
    pub fn ban(&self, print: quarantine::Print) -> Option<quarantine::Ban> {
        self.bans.get(&print).copied()
    }

    /// What is held of the requests that are responsible for ends, or were until they were answered: this
    /// is what hosts compare.
    pub fn proven(&self) -> impl Iterator<Item = (quarantine::Print, quarantine::Ban)> {
        self.bans().filter(|(_, ban)| ban.ends >= quarantine::PROOFS)
    }

    /// What is held of all requests.
    pub fn bans(&self) -> impl Iterator<Item = (quarantine::Print, quarantine::Ban)> {
        self.bans.iter().map(|(print, ban)| (*print, *ban))
    }

    /// Takes in the end of an upstream; `false` when it was known, or is too old to say anything.
    pub fn note(&mut self, end: End, now: clock::Instant) -> bool {
        self.forget(now);
        if now.since(end.at) > AGE || self.end(end.id).is_some() {
            return false;
        }
        if self.ends.len() >= ENDS {
            self.drop_one();
        }
        for print in end.prints.iter() {
            *self.counts.entry(*print).or_default() += 1;
        }
        let prints = end.prints.to_vec();
        self.ends.push_back(end);
        self.judge(&prints);
        true
    }

    /// An upstream has answered `print` at `at`; gives how many ends that excuses.
    pub fn clear(&mut self, print: quarantine::Print, at: clock::Instant) -> u8 {
        let open = self.counts.contains_key(&print).then(|| self.unexplained(print).len());
        let open = u8::try_from(open.unwrap_or_default()).unwrap_or(u8::MAX);
        let ends = open.max(self.bans.get(&print).map_or(0, |ban| ban.ends));
        let ban = quarantine::Ban { ends, cleared: true, last: at };
        if ends > 0 && self.merge(print, ban, at) { ends } else { 0 }
    }

    /// Takes in what another host holds of `print`; `false` when it is nothing new.
    pub fn merge(
        &mut self,
        print: quarantine::Print,
        ban: quarantine::Ban,
        now: clock::Instant,
    ) -> bool {
        let known = self.bans.get(&print);
        if ban.is_over(now) || known.is_some_and(|known| !ban.beats(known)) {
            return false;
        }
        self.put(print, ban);
        // What ran beside it may be held responsible in its place.
        let beside = self.ends.iter().filter(|end| end.prints.contains(&print));
        let mut prints: Vec<_> = beside.flat_map(|end| end.prints.iter().copied()).collect();
        prints.sort_unstable();
        prints.dedup();
        self.judge(&prints);
        true
    }

    /// Drops what says nothing any more; `true` when that was something.
    pub fn forget(&mut self, now: clock::Instant) -> bool {
        let before = self.ends.len() + self.bans.len();
        while let Some(index) = self.ends.iter().position(|end| now.since(end.at) > AGE) {
            self.remove(index);
        }
        self.bans.retain(|_, ban| !ban.is_over(now));
        before > self.ends.len() + self.bans.len()
    }

    /// Digest of [`Table::proven`].
    pub fn digest(&self) -> Digest {
        let word = |(print, ban): (quarantine::Print, quarantine::Ban)| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&print.0.to_le_bytes()).update(&[ban.ends, u8::from(ban.cleared)]);
            let mut first = [0; 4];
            first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
            u32::from_le_bytes(first)
        };
        self.proven().map(word).fold(0, |all, word| all ^ word).to_le_bytes()
    }

    /// The snapshot for the calls.
    pub fn known(&self) -> quarantine::Known {
        let mut ends = collections::HashMap::new();
        for print in
            self.ends.iter().filter(|end| !self.is_explained(end)).flat_map(|e| self.open(e))
        {
            let count: &mut u8 = ends.entry(print).or_default();
            *count = count.saturating_add(1);
        }
        quarantine::Known { bans: self.bans().collect(), ends }
    }

    /// Whether `print` is held responsible.
    fn is_banned(&self, print: quarantine::Print) -> bool {
        self.bans.get(&print).is_some_and(|ban| !ban.cleared)
    }

    /// Whether `end` speaks against `print`: it ran there, and no upstream has answered it since.
    fn blames(&self, end: &End, print: quarantine::Print) -> bool {
        end.prints.contains(&print)
            && !self.bans.get(&print).is_some_and(|ban| ban.cleared && ban.last >= end.at)
    }

    /// The prints against which `end` speaks.
    fn open<'a>(&'a self, end: &'a End) -> impl Iterator<Item = quarantine::Print> {
        end.prints.iter().copied().filter(|print| self.blames(end, *print))
    }

    /// Whether a request is held responsible for `end`.
    fn is_explained(&self, end: &End) -> bool {
        self.open(end).any(|print| self.is_banned(print))
    }

    /// The ends that speak against `print` and for which nobody is held responsible.
    fn unexplained(&self, print: quarantine::Print) -> Vec<&End> {
        let blaming = self.ends.iter().filter(|end| self.blames(end, print));
        blaming.filter(|end| !self.is_explained(end)).collect()
    }

    /// Finds out whether `prints`, of which something has become known, cause ends.
    fn judge(&mut self, prints: &[quarantine::Print]) {
        for print in prints {
            self.extend(*print);
        }
        while let Some((print, ban)) = self.convict(prints) {
            self.put(print, ban);
        }
    }

    /// Counts the ends that came since `print` was held responsible.
    fn extend(&mut self, print: quarantine::Print) {
        let Some(ban) = self.ban(print).filter(|ban| !ban.cleared) else { return };
        let under = self.ends.iter().filter(|end| self.blames(end, print));
        let (mut ends, mut last) = (0u8, ban.last);
        for end in under {
            ends = ends.saturating_add(1);
            last = last.max(end.at);
        }
        self.put(print, quarantine::Ban { ends: ban.ends.max(ends), last, ..ban });
    }

    /// The one of `prints` that explains most of the unexplained ends, if that is enough to hold it
    /// responsible.
    fn convict(
        &self,
        prints: &[quarantine::Print],
    ) -> Option<(quarantine::Print, quarantine::Ban)> {
        let least = u16::from(quarantine::PROOFS);
        let often =
            |print: &&quarantine::Print| self.counts.get(print).is_some_and(|c| *c >= least);
        let free = prints.iter().filter(often).filter(|print| !self.is_banned(**print));
        let under = free.map(|print| (*print, self.unexplained(*print)));
        let proven = under.filter(|(print, ends)| {
            let sure = ends.len() >= usize::from(quarantine::SURE);
            ends.len() >= usize::from(quarantine::PROOFS) && (sure || self.is_sole(*print, ends))
        });
        let (print, ends) = proven.max_by_key(|(print, ends)| (ends.len(), *print))?;
        let last = ends.iter().map(|end| end.at).max()?;
        let count = u8::try_from(ends.len()).unwrap_or(u8::MAX);
        Some((print, quarantine::Ban { ends: count, cleared: false, last }))
    }

    /// Whether no other request than `print` explains all of `ends`.
    fn is_sole(&self, print: quarantine::Print, ends: &[&End]) -> bool {
        let Some((first, rest)) = ends.split_first() else { return false };
        let mut others = self.open(first).filter(|other| *other != print);
        !others.any(|other| rest.iter().all(|end| self.blames(end, other)))
    }

    fn put(&mut self, print: quarantine::Print, ban: quarantine::Ban) {
        if self.bans.len() >= BANS && !self.bans.contains_key(&print) {
            let oldest = self.bans.iter().min_by_key(|(_, ban)| ban.last).map(|(print, _)| *print);
            oldest.and_then(|oldest| self.bans.remove(&oldest));
        }
        self.bans.insert(print, ban);
    }

    /// Makes room for one more end.
    fn drop_one(&mut self) {
        let free = |end: &End| !end.prints.iter().any(|print| self.is_banned(*print));
        let index = self.ends.iter().position(free).unwrap_or_default();
        self.remove(index);
    }

    fn remove(&mut self, index: usize) {
        let Some(end) = self.ends.remove(index) else { return };
        for print in end.prints.iter() {
            if let collections::hash_map::Entry::Occupied(mut count) = self.counts.entry(*print) {
                *count.get_mut() -= 1;
                if *count.get() == 0 {
                    count.remove();
                }
            }
        }
    }
}
