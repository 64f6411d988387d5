//! Distribution of quarantine entries: crashes and answers are sent on by gossip, and digests of
//! the entries that follow from them are compared with each ping and ack, so that hosts which
//! missed an update, were cut off or have just started learn which requests to refuse.

use std::time;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::gossip;
use crate::member::updates;
use crate::member::wire;
use crate::quarantine;

/// Bits of a crash's number that count crashes; the bits above hold the incarnation of its host.
const COUNT_BITS: u32 = 16;

/// The quarantine table of this host.
#[derive(Debug)]
pub(super) struct Quarantine {
    host: host::HostId,
    /// Number of the next crash of the upstream beside this host.
    number: u64,
    table: quarantine::Table,
    /// Whether the table has changed since the last snapshot.
    changed: bool,
}

impl Quarantine {
    /// An empty table on `host`, whose process started with `incarnation`.
    pub fn new(host: host::HostId, incarnation: u64) -> Self {
        let number = incarnation << COUNT_BITS;
        Self { host, number, table: quarantine::Table::default(), changed: false }
    }

    /// The item for the crash `id` in a datagram of `now`; `None` when it is not known any more.
    pub fn crash(&self, id: quarantine::CrashId, now: clock::Instant) -> Option<wire::Item> {
        let crash = self.table.crash(id)?;
        let fingerprints = crash.fingerprints.to_vec();
        Some(wire::Item::Crash(wire::Crash { id, age_ms: age(crash.at, now), fingerprints }))
    }

    /// The item for the entry of `fingerprint` in a datagram of `now`; `None` without an entry.
    pub fn entry(
        &self,
        fingerprint: quarantine::Fingerprint,
        now: clock::Instant,
    ) -> Option<wire::Item> {
        self.table.entry(fingerprint).map(|entry| item(fingerprint, entry, now))
    }

    /// The item with the digest of all entries; `None` when there are no entries.
    pub fn digest_item(&self) -> Option<wire::Item> {
        let digest = self.table.digest();
        let any = digest != quarantine::Digest::default();
        any.then_some(wire::Item::Quarantines { digest, reply: true })
    }

    /// Adds the entries of quarantined requests to a datagram of `now`, as far as they fit.
    pub fn pack(&self, packer: &mut wire::Packer, now: clock::Instant) {
        for (fingerprint, entry) in self.table.quarantined() {
            if !packer.item(item(fingerprint, entry, now)) {
                return;
            }
        }
    }

    /// Removes expired crashes and entries.
    pub fn expire(&mut self, now: clock::Instant) {
        self.changed |= self.table.expire(now);
    }

    /// The record of a crash of the upstream beside this host while `fingerprints` ran. Of too many
    /// requests those with the most known crashes are kept.
    fn own_crash(
        &mut self,
        mut fingerprints: Vec<quarantine::Fingerprint>,
        now: clock::Instant,
    ) -> quarantine::Crash {
        let known = self.table.snapshot();
        fingerprints.sort_by_key(|f| (std::cmp::Reverse(known.crashes(*f)), *f));
        fingerprints.dedup();
        fingerprints.truncate(quarantine::MAX_FINGERPRINTS);
        let id = quarantine::CrashId { host: self.host, number: self.number };
        self.number += 1;
        quarantine::Crash { id, at: now, fingerprints: fingerprints.into() }
    }
}

impl member::Member {
    /// Whether the table has changed since the last [`member::Member::quarantine_snapshot`].
    pub fn quarantine_changed(&self) -> bool {
        self.quarantine.changed
    }

    /// The current quarantine entries.
    pub fn quarantine_snapshot(&mut self) -> quarantine::Snapshot {
        self.quarantine.changed = false;
        self.quarantine.table.snapshot()
    }

    /// Records what a call of this node found out, and queues it for gossip.
    pub(super) fn report(&mut self, report: quarantine::Report) {
        match report {
            quarantine::Report::Crashed(fingerprints) => {
                let crash = self.quarantine.own_crash(fingerprints, self.now);
                self.record_crash(crash);
            }
            quarantine::Report::Answered(fingerprint) => self.record_answer(fingerprint),
        }
    }

    fn record_answer(&mut self, fingerprint: quarantine::Fingerprint) {
        let crashes = self.quarantine.table.record_answer(fingerprint, self.now);
        self.quarantine.changed |= crashes > 0;
        // Below this threshold no host acts on the crashes, so gossip about the answer would only
        // cost traffic.
        if crashes >= quarantine::SUSPICION_THRESHOLD {
            self.queue_update(
                updates::Topic::Quarantine(fingerprint),
                updates::Priority::Urgent,
                0,
            );
        }
    }

    fn record_crash(&mut self, crash: quarantine::Crash) {
        let id = crash.id;
        if self.quarantine.table.record_crash(crash, self.now) {
            self.quarantine.changed = true;
            self.queue_update(updates::Topic::Crash(id), updates::Priority::Urgent, 0);
        }
    }

    /// Merges the crash of another host's upstream.
    pub(super) fn merge_crash(&mut self, crash: &wire::Crash) {
        let at = before(self.now, crash.age_ms);
        let fingerprints = crash.fingerprints.as_slice().into();
        self.record_crash(quarantine::Crash { id: crash.id, at, fingerprints });
    }

    /// Merges a quarantine entry of another host.
    pub(super) fn merge_entry(&mut self, entry: &wire::QuarantineEntry, source: gossip::Source) {
        let last = before(self.now, entry.age_ms);
        let merged = quarantine::Entry { crashes: entry.crashes, lifted: entry.lifted, last };
        if !self.quarantine.table.merge(entry.fingerprint, merged, self.now) {
            return;
        }
        self.quarantine.changed = true;
        // Crashes are sent on as updates of their own, from which every host derives its entries.
        if entry.lifted && source == gossip::Source::Gossip {
            self.queue_update(
                updates::Topic::Quarantine(entry.fingerprint),
                updates::Priority::Urgent,
                0,
            );
        }
    }

    /// Compares the digest of the entries of `from` with this host's, and sends this host's entries
    /// if they differ.
    pub(super) fn compare_quarantine(
        &mut self,
        from: host::HostId,
        digest: quarantine::Digest,
        reply: bool,
    ) {
        let own = self.quarantine.table.digest();
        if digest == own {
            return;
        }
        let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
        if reply {
            packer.item(wire::Item::Quarantines { digest: own, reply: false });
        }
        self.quarantine.pack(&mut packer, self.now);
        if !packer.is_empty() {
            self.out.push(member::Action::Send { to: from, datagram: packer.finish() });
        }
    }
}

/// The item for `entry` in a datagram of `now`.
fn item(
    fingerprint: quarantine::Fingerprint,
    entry: quarantine::Entry,
    now: clock::Instant,
) -> wire::Item {
    let quarantine::Entry { crashes, lifted, last } = entry;
    wire::Item::Quarantine(wire::QuarantineEntry {
        fingerprint,
        crashes,
        lifted,
        age_ms: age(last, now),
    })
}

/// Milliseconds from `at` until `now`.
fn age(at: clock::Instant, now: clock::Instant) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// The instant `age_ms` milliseconds before `now`, but not before [`clock::Instant::ZERO`].
fn before(now: clock::Instant, age_ms: u32) -> clock::Instant {
    let age = time::Duration::from_millis(u64::from(age_ms));
    clock::Instant::ZERO + now.since(clock::Instant::ZERO).saturating_sub(age)
}
