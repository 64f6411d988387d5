//! News of requests under which upstreams end: ends and answers are passed on as they come, and what
//! follows from them is compared with each ping and its answer, so that hosts which missed some, were
//! cut off or have just started learn what is refused.

use std::time;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::gossip;
use crate::member::updates;
use crate::member::wire;
use crate::quarantine;

/// Bits of an end's number below the incarnation of its host.
const COUNT_BITS: u32 = 16;

/// What this host knows of such requests, and what it tells.
#[derive(Debug)]
pub(super) struct Quarantine {
    host: host::HostId,
    /// Number of the next end of the upstream beside this host.
    number: u64,
    table: quarantine::Table,
    /// Whether the table has changed since it was last published.
    changed: bool,
}

impl Quarantine {
    /// Knows nothing yet, on `host` in a life that began with `incarnation`.
    pub fn new(host: host::HostId, incarnation: u64) -> Self {
        let number = incarnation << COUNT_BITS;
        Self { host, number, table: quarantine::Table::default(), changed: false }
    }

    /// The end called `id`, to be told at `now`.
    pub fn crash(&self, id: quarantine::CrashId, now: clock::Instant) -> Option<wire::Item> {
        let end = self.table.crash(id)?;
        let prints = end.fingerprints.to_vec();
        Some(wire::Item::Crash(wire::Crash { id, age_ms: age(end.at, now), fingerprints: prints }))
    }

    /// What is held of `print`, to be told at `now`.
    pub fn entry(&self, print: quarantine::Fingerprint, now: clock::Instant) -> Option<wire::Item> {
        self.table.entry(print).map(|ban| tell(print, ban, now))
    }

    /// The digest of what is held of all requests; `None` when there is nothing to compare.
    pub fn digest_item(&self) -> Option<wire::Item> {
        let digest = self.table.digest();
        let held = digest != quarantine::Digest::default();
        held.then_some(wire::Item::Quarantines { digest, reply: true })
    }

    /// Adds what is held of requests to a datagram of `now`, as far as it fits.
    pub fn pack(&self, packer: &mut wire::Packer, now: clock::Instant) {
        for (print, ban) in self.table.quarantined() {
            if !packer.item(tell(print, ban, now)) {
                return;
            }
        }
    }

    /// Drops what says nothing any more.
    pub fn forget(&mut self, now: clock::Instant) {
        self.changed |= self.table.expire(now);
    }

    /// The end of the upstream beside this host, at which `prints` ran.
    fn own_crash(
        &mut self,
        mut prints: Vec<quarantine::Fingerprint>,
        now: clock::Instant,
    ) -> quarantine::Crash {
        let known = self.table.snapshot();
        prints.sort_by_key(|print| (std::cmp::Reverse(known.crashes(*print)), *print));
        prints.dedup();
        prints.truncate(quarantine::MAX_FINGERPRINTS);
        let id = quarantine::CrashId { host: self.host, number: self.number };
        self.number += 1;
        quarantine::Crash { id, at: now, fingerprints: prints.into() }
    }
}

impl member::Member {
    /// Whether [`member::Member::quarantine_snapshot`] would give something else than last time.
    pub fn quarantine_changed(&self) -> bool {
        self.quarantine.changed
    }

    /// What is known of requests under which upstreams end.
    pub fn quarantine_snapshot(&mut self) -> quarantine::Snapshot {
        self.quarantine.changed = false;
        self.quarantine.table.snapshot()
    }

    /// Takes in what the calls of this node found out, and tells the others.
    pub(super) fn report(&mut self, report: quarantine::Report) {
        match report {
            quarantine::Report::Crashed(prints) => {
                let end = self.quarantine.own_crash(prints, self.now);
                self.record_crash(end);
            }
            quarantine::Report::Answered(print) => self.record_answer(print),
        }
    }

    fn record_answer(&mut self, print: quarantine::Fingerprint) {
        let ends = self.quarantine.table.record_answer(print, self.now);
        self.quarantine.changed |= ends > 0;
        // One end proves nothing anywhere: its excuse would only be traffic.
        if ends >= quarantine::SUSPICION_THRESHOLD {
            self.queue_update(updates::Topic::Quarantine(print), updates::Priority::Urgent, 0);
        }
    }

    fn record_crash(&mut self, end: quarantine::Crash) {
        let id = end.id;
        if self.quarantine.table.record_crash(end, self.now) {
            self.quarantine.changed = true;
            self.queue_update(updates::Topic::Crash(id), updates::Priority::Urgent, 0);
        }
    }

    /// Takes in the end of another host's upstream.
    pub(super) fn merge_crash(&mut self, end: &wire::Crash) {
        let at = before(self.now, end.age_ms);
        let prints = end.fingerprints.as_slice().into();
        self.record_crash(quarantine::Crash { id: end.id, at, fingerprints: prints });
    }

    /// Takes in what another host holds of a request.
    pub(super) fn merge_entry(&mut self, ban: &wire::QuarantineEntry, way: gossip::Source) {
        let last = before(self.now, ban.age_ms);
        let held = quarantine::Entry { crashes: ban.crashes, lifted: ban.lifted, last };
        if !self.quarantine.table.merge(ban.fingerprint, held, self.now) {
            return;
        }
        self.quarantine.changed = true;
        // Ends are news of their own, and every host finds out itself what follows from them.
        if ban.lifted && way == gossip::Source::Gossip {
            self.queue_update(
                updates::Topic::Quarantine(ban.fingerprint),
                updates::Priority::Urgent,
                0,
            );
        }
    }

    /// `from` holds what `digest` stands for; tells it what is held here where that differs.
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

fn tell(print: quarantine::Fingerprint, ban: quarantine::Entry, now: clock::Instant) -> wire::Item {
    let quarantine::Entry { crashes, lifted, last } = ban;
    wire::Item::Quarantine(wire::QuarantineEntry {
        fingerprint: print,
        crashes,
        lifted,
        age_ms: age(last, now),
    })
}

/// Milliseconds from `at` until `now`.
fn age(at: clock::Instant, now: clock::Instant) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

/// The instant `age_ms` milliseconds before `now`; the origin where there was none.
fn before(now: clock::Instant, age_ms: u32) -> clock::Instant {
    let age = time::Duration::from_millis(u64::from(age_ms));
    clock::Instant::ZERO + now.since(clock::Instant::ZERO).saturating_sub(age)
}
