//! News of requests under which upstreams end: ends and answers are passed on as they come, and what
//! follows from them is compared with each ping and its answer, so that hosts which missed some, were
//! cut off or have just started learn what is refused.

use std::time;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::gossip;
use crate::member::rumors;
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
    pub fn end(&self, id: quarantine::EndId, now: clock::Instant) -> Option<wire::Item> {
        let end = self.table.end(id)?;
        let prints = end.prints.to_vec();
        Some(wire::Item::End(wire::End { id, age_ms: age(end.at, now), prints }))
    }

    /// What is held of `print`, to be told at `now`.
    pub fn ban(&self, print: quarantine::Print, now: clock::Instant) -> Option<wire::Item> {
        self.table.ban(print).map(|ban| tell(print, ban, now))
    }

    /// The digest of what is held of all requests; `None` when there is nothing to compare.
    pub fn bans(&self) -> Option<wire::Item> {
        let digest = self.table.digest();
        let held = digest != quarantine::Digest::default();
        held.then_some(wire::Item::Bans { digest, reply: true })
    }

    /// Adds what is held of requests to a datagram of `now`, as far as it fits.
    pub fn pack(&self, packer: &mut wire::Packer, now: clock::Instant) {
        for (print, ban) in self.table.proven() {
            if !packer.item(tell(print, ban, now)) {
                return;
            }
        }
    }

    /// Drops what says nothing any more.
    pub fn forget(&mut self, now: clock::Instant) {
        self.changed |= self.table.forget(now);
    }

    /// The end of the upstream beside this host, at which `prints` ran.
    fn own_end(
        &mut self,
        mut prints: Vec<quarantine::Print>,
        now: clock::Instant,
    ) -> quarantine::End {
        let known = self.table.known();
        prints.sort_by_key(|print| (std::cmp::Reverse(known.ends(*print)), *print));
        prints.dedup();
        prints.truncate(quarantine::PRINTS);
        let id = quarantine::EndId { host: self.host, number: self.number };
        self.number += 1;
        quarantine::End { id, at: now, prints: prints.into() }
    }
}

impl member::Member {
    /// Whether [`member::Member::known`] would give something else than last time.
    pub fn has_learned(&self) -> bool {
        self.quarantine.changed
    }

    /// What is known of requests under which upstreams end.
    pub fn known(&mut self) -> quarantine::Known {
        self.quarantine.changed = false;
        self.quarantine.table.known()
    }

    /// Takes in what the calls of this node found out, and tells the others.
    pub(super) fn report(&mut self, report: quarantine::Report) {
        match report {
            quarantine::Report::Ended(prints) => {
                let end = self.quarantine.own_end(prints, self.now);
                self.note_end(end);
            }
            quarantine::Report::Cleared(print) => self.note_answer(print),
        }
    }

    fn note_answer(&mut self, print: quarantine::Print) {
        let ends = self.quarantine.table.clear(print, self.now);
        self.quarantine.changed |= ends > 0;
        // One end proves nothing anywhere: its excuse would only be traffic.
        if ends >= quarantine::SUSPECT {
            self.spread(rumors::Topic::Ban(print), rumors::Rank::Urgent, 0);
        }
    }

    fn note_end(&mut self, end: quarantine::End) {
        let id = end.id;
        if self.quarantine.table.note(end, self.now) {
            self.quarantine.changed = true;
            self.spread(rumors::Topic::End(id), rumors::Rank::Urgent, 0);
        }
    }

    /// Takes in the end of another host's upstream.
    pub(super) fn absorb_end(&mut self, end: &wire::End) {
        let at = before(self.now, end.age_ms);
        let prints = end.prints.as_slice().into();
        self.note_end(quarantine::End { id: end.id, at, prints });
    }

    /// Takes in what another host holds of a request.
    pub(super) fn absorb_ban(&mut self, ban: &wire::Ban, way: gossip::Way) {
        let last = before(self.now, ban.age_ms);
        let held = quarantine::Ban { ends: ban.ends, cleared: ban.cleared, last };
        if !self.quarantine.table.merge(ban.print, held, self.now) {
            return;
        }
        self.quarantine.changed = true;
        // Ends are news of their own, and every host finds out itself what follows from them.
        if ban.cleared && way == gossip::Way::Rumor {
            self.spread(rumors::Topic::Ban(ban.print), rumors::Rank::Urgent, 0);
        }
    }

    /// `from` holds what `digest` stands for; tells it what is held here where that differs.
    pub(super) fn compare_bans(
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
            packer.item(wire::Item::Bans { digest: own, reply: false });
        }
        self.quarantine.pack(&mut packer, self.now);
        if !packer.is_empty() {
            self.out.push(member::Action::Send { to: from, datagram: packer.finish() });
        }
    }
}

fn tell(print: quarantine::Print, ban: quarantine::Ban, now: clock::Instant) -> wire::Item {
    let quarantine::Ban { ends, cleared, last } = ban;
    wire::Item::Ban(wire::Ban { print, ends, cleared, age_ms: age(last, now) })
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
