//! Anti-entropy: finds and repairs what gossip missed, by digests of ranges of the table.
//!
//! Every ping and ack carries the digest of all records. When it differs for a while, the digests
//! of sixteen ranges are sent; a host that sees a difference answers with the digests of a range's
//! parts or, once a range is small, with its records.

use std::collections;

use rand::seq::SliceRandom as _;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::detect;
use crate::member::table;
use crate::member::wire;

/// Largest number of hosts in a range whose records are sent in place of its digests.
const MAX_BUCKET_HOSTS: usize = 12;

/// Longest prefix of a range that is split further.
const MAX_SPLIT_BITS: u8 = 24;

/// Differing parts that are followed at once, at the root of the digest tree and below it.
const MAX_TOP_PARTS: usize = 4;
const MAX_LOWER_PARTS: usize = 2;

/// Probe periods for which the table must be unchanged before a difference is followed.
const SETTLED_PROBES: u32 = 3;

/// Repair periods after which a difference is followed although the table still changes.
const OVERDUE_REPAIRS: u32 = 4;

/// State of the repairs that this host begins.
#[derive(Clone, Copy, Debug, Default)]
pub struct Repair {
    /// When the last one began.
    last: clock::Instant,
}

impl member::Member {
    /// The configuration this host runs and the digest of its table.
    pub(super) fn running_here(&self) -> wire::Running {
        let mut hash = [0; member::HASH_BYTES];
        hash.copy_from_slice(&self.running.digest.bytes()[..member::HASH_BYTES]);
        wire::Running { version: self.running.version, hash, root: self.table.root() }
    }

    /// Compares the configuration and the table of `from` with those of this host.
    pub(super) fn compare_running(&mut self, from: host::HostId, running: wire::Running) {
        let own = self.running_here();
        let wire::Running { version, hash, root } = running;
        if (version, hash) != (own.version, own.hash) {
            let mismatch = member::VersionMismatch { host: from, version, hash };
            self.out.push(member::Action::VersionMismatch(mismatch));
        }
        if root != own.root && self.may_repair() {
            self.repair.last = self.now;
            self.send_digest(from, wire::Prefix::default());
        }
    }

    fn may_repair(&mut self) -> bool {
        let period = self.jittered(detect::millis(self.settings.repair_ms));
        let since = self.now.since(self.repair.last);
        let settle = detect::millis(self.settings.probe_ms) * SETTLED_PROBES;
        let settled = self.now.since(self.changed) >= settle;
        self.join.is_done() && since >= period && (settled || since >= period * OVERDUE_REPAIRS)
    }

    pub(super) fn send_digest(&mut self, to: host::HostId, prefix: wire::Prefix) {
        let children = self.table.digests(prefix).map(|(digest, _)| digest);
        self.send(to, wire::Body::Digest { prefix, children });
    }

    /// Compares digests that `from` sent, and follows some of the parts that differ here.
    pub(super) fn compare_digests(
        &mut self,
        from: host::HostId,
        prefix: wire::Prefix,
        children: &[[u8; 4]; wire::FANOUT],
    ) {
        if prefix.bits > MAX_SPLIT_BITS {
            return;
        }
        let own = self.table.digests(prefix);
        let pairs = (0u32..).zip(own).zip(children);
        let differing = pairs.filter(|((_, (digest, _)), theirs)| digest != *theirs);
        let mut parts: Vec<_> = differing.map(|((i, (_, count)), _)| (i, count)).collect();
        parts.shuffle(&mut self.rng);
        parts.truncate(if prefix.bits == 0 { MAX_TOP_PARTS } else { MAX_LOWER_PARTS });
        for (part, count) in parts {
            let index = prefix.index * wire::FANOUT as u32 + part;
            let below = wire::Prefix { bits: prefix.bits + 4, index };
            if count <= MAX_BUCKET_HOSTS || below.bits > MAX_SPLIT_BITS {
                self.send_bucket(from, below);
            } else {
                self.send_digest(from, below);
            }
        }
    }

    fn send_bucket(&mut self, to: host::HostId, prefix: wire::Prefix) {
        let body = wire::Body::Bucket { prefix, reply: true };
        let mut packer = wire::Packer::new(self.id, body);
        for (id, entry) in self.table.within(prefix) {
            entry.record.pack(id, &mut packer);
        }
        self.out.push(member::Action::Send { to, datagram: packer.finish() });
    }

    /// Answers a bucket with the claims about its `stale` hosts and, with `reply`, with the records
    /// of the range that are newer here.
    pub(super) fn answer_bucket(
        &mut self,
        datagram: &wire::Datagram,
        prefix: wire::Prefix,
        reply: bool,
        stale: &[host::HostId],
    ) {
        let body = wire::Body::Bucket { prefix, reply: false };
        let mut packer = wire::Packer::new(self.id, body);
        for &id in stale {
            if let Some((entry, claim)) = self.table.get(id).and_then(|e| Some((e, e.claim?))) {
                packer.claim(id, entry.record.incarnation, claim);
            }
        }
        if reply {
            self.pack_newer(datagram, prefix, &mut packer);
        }
        if !packer.is_empty() {
            self.out.push(member::Action::Send { to: datagram.from, datagram: packer.finish() });
        }
    }

    fn pack_newer(
        &self,
        datagram: &wire::Datagram,
        prefix: wire::Prefix,
        packer: &mut wire::Packer,
    ) {
        let records = datagram.items.iter().filter_map(|item| match item {
            wire::Item::Record(record) => Some((record.host, (record.incarnation, record.serial))),
            _ => None,
        });
        let theirs: collections::BTreeMap<_, _> = records.collect();
        let newer = |id: &host::HostId, e: &table::Entry| {
            let own = (e.record.incarnation, e.record.serial);
            theirs.get(id).is_none_or(|numbers| *numbers < own)
        };
        for (id, entry) in self.table.within(prefix).filter(|(id, e)| newer(id, e)) {
            entry.record.pack(id, packer);
        }
    }
}
