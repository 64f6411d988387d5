//! The table of known hosts, and how records and claims are merged into it.
//!
//! A higher incarnation wins. Within an incarnation the record with the higher serial and the
//! stronger claim win, so that merging is commutative, associative and idempotent: records and
//! claims may arrive late, twice and in any order.

use std::collections;
use std::net;
use std::ops;
use std::sync::Arc;
use std::time;

use crate::clock;
use crate::host;
use crate::member::wire;
use crate::view;

/// Position of a host in the order of the table, spread evenly by a hash of its address.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    hash: u32,
    id: host::HostId,
}

/// A host's record of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Serial number of the record within the incarnation; zero while no record of this incarnation
    /// has arrived from the host itself, but only a claim or a profile of the directory.
    pub serial: u32,
    /// Its region and availability zone.
    pub locality: Arc<view::Locality>,
    /// The upstream beside it; `None` while there is none.
    pub upstream: Option<Arc<view::Upstream>>,
}

/// The state of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The host's record of itself.
    ///
    /// Invariant: the pair of incarnation and serial never gets lower.
    pub record: Record,
    /// The strongest claim about this incarnation; `None` while the host counts as alive.
    pub claim: Option<wire::Claim>,
    /// When `claim` was last set or, without one, when this incarnation became known.
    pub since: clock::Instant,
}

/// The effect of a merge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing changed: the record or claim was not newer.
    Unchanged,
    /// A host that was not known.
    Joined,
    /// A new incarnation, with the claim about the one before.
    Renewed(Option<wire::Claim>),
    /// A newer record of the same incarnation.
    Updated,
    /// A stronger claim.
    Claimed(wire::Claim),
}

/// All known hosts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: collections::BTreeMap<Key, Entry>,
    /// Interned localities, shared by all records.
    localities: collections::BTreeSet<Arc<view::Locality>>,
    /// Digest of the records of all present hosts.
    root: u32,
    /// Number of entries of hosts that are dead or have left.
    gone: usize,
}

impl Key {
    /// The key of `id`; the same in every process.
    pub fn of(id: host::HostId) -> Self {
        let address = id.member_addr();
        let ip = match address.ip() {
            net::IpAddr::V4(ip) => ip.to_ipv6_mapped().to_bits(),
            net::IpAddr::V6(ip) => ip.to_bits(),
        };
        let low = mix(ip as u64 ^ u64::from(address.port()).rotate_left(48));
        Self { hash: (mix(low ^ (ip >> 64) as u64) >> 32) as u32, id }
    }
}

impl Record {
    /// Adds the record, which is that of `id`, to a datagram; `false` when it does not fit.
    pub fn pack(&self, id: host::HostId, packer: &mut wire::Packer) -> bool {
        packer.record(id, (self.incarnation, self.serial), &self.locality, self.upstream.as_ref())
    }
}

impl Entry {
    /// Whether the host is neither dead nor has left; a suspected host is still present.
    pub fn is_present(&self) -> bool {
        !matches!(self.claim, Some(wire::Claim::Dead | wire::Claim::Left))
    }
}

impl Table {
    /// The entry of `id`.
    pub fn get(&self, id: host::HostId) -> Option<&Entry> {
        self.entries.get(&Key::of(id))
    }

    /// All hosts in the order of their hashes, including those that are dead or have left.
    pub fn iter(&self) -> impl Iterator<Item = (host::HostId, &Entry)> {
        self.entries.iter().map(|(k, e)| (k.id, e))
    }

    /// The present hosts whose hash is at least `cursor`, in the order of their hashes.
    pub fn starting_at(&self, cursor: u32) -> impl Iterator<Item = (u32, host::HostId, &Entry)> {
        let range = (ops::Bound::Included(lowest(cursor)), ops::Bound::Unbounded);
        let entries = self.entries.range(range);
        entries.filter(|(_, e)| e.is_present()).map(|(k, e)| (k.hash, k.id, e))
    }

    /// The present hosts of a range.
    pub fn within(&self, prefix: wire::Prefix) -> impl Iterator<Item = (host::HostId, &Entry)> {
        let (low, high) = bounds(prefix);
        self.starting_at(low).take_while(move |(hash, ..)| *hash <= high).map(|(_, id, e)| (id, e))
    }

    /// Digest of the records of all present hosts.
    pub fn root(&self) -> [u8; 4] {
        self.root.to_le_bytes()
    }

    /// The digest of each part of a range, with the number of present hosts in the part.
    pub fn digests(&self, prefix: wire::Prefix) -> [([u8; 4], usize); wire::FANOUT] {
        let mut parts = [(0u32, 0usize); wire::FANOUT];
        let (low, high) = bounds(prefix);
        let shift = 28 - u32::from(prefix.bits);
        for (hash, id, entry) in self.starting_at(low).take_while(|(hash, ..)| *hash <= high) {
            let part = &mut parts[(hash >> shift) as usize % wire::FANOUT];
            part.0 ^= digest(Key { hash, id }, entry);
            part.1 += 1;
        }
        parts.map(|(digest, count)| (digest.to_le_bytes(), count))
    }

    /// The number of present hosts, this one included.
    pub fn present_count(&self) -> usize {
        self.entries.len() - self.gone
    }

    /// Merges a host's record.
    pub fn merge(&mut self, id: host::HostId, mut record: Record, now: clock::Instant) -> Change {
        record.locality = self.intern(record.locality);
        let key = Key::of(id);
        let Some(entry) = self.entries.get(&key) else {
            self.put(key, Entry { record, claim: None, since: now });
            return Change::Joined;
        };
        let (old, mut next) = (&entry.record, entry.clone());
        let change = if record.incarnation > old.incarnation {
            let change = Change::Renewed(next.claim);
            next = Entry { record, claim: None, since: now };
            change
        } else if record.incarnation == old.incarnation && record.serial > old.serial {
            next.record = record;
            Change::Updated
        } else {
            return Change::Unchanged;
        };
        self.put(key, next);
        change
    }

    /// Merges a claim; a claim about an unknown host changes nothing.
    pub fn claim(
        &mut self,
        id: host::HostId,
        incarnation: u64,
        claim: wire::Claim,
        now: clock::Instant,
    ) -> Change {
        let key = Key::of(id);
        let Some(entry) = self.entries.get(&key) else { return Change::Unchanged };
        let mut next = entry.clone();
        if incarnation > next.record.incarnation {
            next.record.incarnation = incarnation;
            next.record.serial = 0;
        } else if incarnation < next.record.incarnation || next.claim >= Some(claim) {
            return Change::Unchanged;
        }
        next.claim = Some(claim);
        next.since = now;
        self.put(key, next);
        Change::Claimed(claim)
    }

    /// Removes the hosts that were declared dead or left more than `age` ago.
    pub fn expire(&mut self, age: time::Duration, now: clock::Instant) {
        self.entries.retain(|_, e| e.is_present() || now.since(e.since) <= age);
        self.gone = self.entries.values().filter(|e| !e.is_present()).count();
    }

    fn put(&mut self, key: Key, entry: Entry) {
        if let Some(old) = self.entries.get(&key) {
            if old.is_present() {
                self.root ^= digest(key, old);
            } else {
                self.gone -= 1;
            }
        }
        if entry.is_present() {
            self.root ^= digest(key, &entry);
        } else {
            self.gone += 1;
        }
        self.entries.insert(key, entry);
    }

    fn intern(&mut self, locality: Arc<view::Locality>) -> Arc<view::Locality> {
        if let Some(known) = self.localities.get(&locality) {
            return Arc::clone(known);
        }
        self.localities.insert(Arc::clone(&locality));
        locality
    }
}

/// The lowest and the highest hash of a range.
fn bounds(prefix: wire::Prefix) -> (u32, u32) {
    let free = 32 - u32::from(prefix.bits);
    let low = u32::try_from(u64::from(prefix.index) << free).unwrap_or(u32::MAX);
    let span = u32::try_from((1u64 << free) - 1).unwrap_or(u32::MAX);
    (low, low | span)
}

/// The lowest key with `hash`.
fn lowest(hash: u32) -> Key {
    let first = net::SocketAddr::from((net::Ipv4Addr::UNSPECIFIED, 0));
    Key { hash, id: host::HostId::new(first) }
}

fn digest(key: Key, entry: &Entry) -> u32 {
    let record = &entry.record;
    let incarnation = mix(u64::from(key.hash) ^ mix(record.incarnation));
    (mix(incarnation ^ u64::from(record.serial)) >> 32) as u32
}

/// Finaliser of splitmix64: spreads every bit over the word.
fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
