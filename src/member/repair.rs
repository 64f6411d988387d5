//! Finding and mending what updates missed, by digests of ranges of the table.
//!
//! Every probe carries the digest of all records. When it differs for a while, the digests of
//! sixteen ranges are sent; a host that sees a difference answers with the digests of a range's
//! parts or, once a range is small, with its records.

use std::collections;

use rand::seq::SliceRandom as _;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::detect;
use crate::member::table;
use crate::member::wire;

/// Hosts in a range whose records are sent rather than its digests.
const MAX_BUCKET_HOSTS: usize = 12;

/// Longest prefix that is split further.
const MAX_SPLIT_BITS: u8 = 24;

/// Differing parts followed at once at the top, and below it.
const MAX_TOP_PARTS: usize = 4;
const MAX_LOWER_PARTS: usize = 2;

/// Probe periods the table must be unchanged before a difference is taken seriously.
const SETTLED_PROBES: u32 = 3;

/// Repair periods after which a difference is followed although the table still changes.
const OVERDUE_REPAIRS: u32 = 4;

/// When the last repair was begun from here.
#[derive(Clone, Copy, Debug, Default)]
pub struct Repair {
    last: clock::Instant,
}

impl member::Member {
    /// What this host runs and knows.
    pub(super) fn running_here(&self) -> wire::Running {
        let mut hash = [0; member::HASH_BYTES];
        hash.copy_from_slice(&self.running.digest.bytes()[..member::HASH_BYTES]);
        wire::Running { version: self.running.version, hash, root: self.table.root() }
    }

    /// Compares what `from` runs and knows with what this host does.
    pub(super) fn compare_running(&mut self, from: host::HostId, running: wire::Running) {
        let own = self.running_here();
        let wire::Running { version, hash, root } = running;
        if (version, hash) != (own.version, own.hash) {
            let heard = member::VersionMismatch { host: from, version, hash };
            self.out.push(member::Action::VersionMismatch(heard));
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

    /// Follows some of the parts of a range that differ here.
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

    /// Sends back what is known better here than in the range that `datagram` holds.
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
            self.pack_better(datagram, prefix, &mut packer);
        }
        if !packer.is_empty() {
            self.out.push(member::Action::Send { to: datagram.from, datagram: packer.finish() });
        }
    }

    fn pack_better(
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
        let better = |id: &host::HostId, e: &table::Entry| {
            let own = (e.record.incarnation, e.record.serial);
            theirs.get(id).is_none_or(|account| *account < own)
        };
        for (id, entry) in self.table.within(prefix).filter(|(id, e)| better(id, e)) {
            entry.record.pack(id, packer);
        }
    }
}
