//! How news arrive and are passed on.

use std::time;

use rand::RngExt as _;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::standing;
use crate::member::table;
use crate::member::updates;
use crate::member::wire;
use crate::view;

/// Hosts that get one wave of urgent news.
const WAVE: usize = 3;

/// Time between two waves.
const WAVE_GAP: time::Duration = time::Duration::from_millis(100);

/// Pieces of news above which each is sent few times only: the hosts that then miss one get it by
/// repair, and a start of all hosts at once does not keep the queues full for minutes.
const BACKLOG: usize = 64;
const BACKLOG_SENDS: u32 = 3;

/// Extra datagrams for urgent news.
#[derive(Clone, Copy, Debug, Default)]
pub struct Burst {
    left: u32,
    next: Option<clock::Instant>,
}

/// By which way news came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Passed on by a host that has them new.
    Gossip,
    /// Found missing by a comparison of digests.
    Repair,
    /// Taken over while joining.
    Page,
}

impl Burst {
    /// When the next wave is due.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.next
    }
}

/// How pressing a change from one announcement to the next is.
pub fn priority(old: Option<&view::Upstream>, new: Option<&view::Upstream>) -> updates::Priority {
    let takes = |u: Option<&view::Upstream>| u.is_some_and(|u| u.phase != view::Phase::Draining);
    let bad = |u: Option<&view::Upstream>| u.is_some_and(|u| u.trial.rejected);
    let urgent = (takes(old) && !takes(new)) || (bad(new) && !bad(old));
    if urgent { updates::Priority::Urgent } else { updates::Priority::Plain }
}

impl member::Member {
    /// Handles a datagram of this mesh.
    pub(super) fn receive(&mut self, datagram: &wire::Datagram) {
        if datagram.from == self.id {
            return;
        }
        self.record_contact(datagram.from);
        let way = match datagram.body {
            wire::Body::Bucket { .. } => Source::Repair,
            wire::Body::Page { .. } => Source::Page,
            _ => Source::Gossip,
        };
        let stale = self.merge_items(datagram, way);
        self.dispatch(datagram, stale);
    }

    fn dispatch(&mut self, datagram: &wire::Datagram, stale: Vec<host::HostId>) {
        let from = datagram.from;
        match datagram.body {
            wire::Body::Ack { sequence, running } => {
                self.acknowledged(from, sequence);
                self.compare_running(from, running);
            }
            wire::Body::IndirectAck { sequence, target } => self.indirectly_acked(target, sequence),
            wire::Body::PingRequest { sequence, target } => self.relay_ping(from, sequence, target),
            wire::Body::Bucket { prefix, reply } => {
                self.answer_bucket(datagram, prefix, reply, &stale);
            }
            wire::Body::Busy { instead } => self.page_refused(from, instead),
            wire::Body::Digest { prefix, children } => {
                self.compare_digests(from, prefix, &children)
            }
            wire::Body::Gossip => {}
            wire::Body::Page { next, settled } => self.receive_page(from, next, settled),
            wire::Body::Ping { sequence, running } => {
                let running_here = self.running_here();
                self.send(from, wire::Body::Ack { sequence, running: running_here });
                self.compare_running(from, running);
            }
            wire::Body::Pull { cursor } => self.send_page(from, cursor),
        }
    }

    /// Merges the items of a datagram; gives the hosts whose record was older than a death
    /// known here.
    fn merge_items(&mut self, datagram: &wire::Datagram, way: Source) -> Vec<host::HostId> {
        let mut stale = Vec::new();
        for item in &datagram.items {
            match item {
                wire::Item::Claim { host, incarnation, claim } => {
                    self.merge_claim(*host, *incarnation, *claim, way);
                }
                wire::Item::Unreachable { zone } => self.check_reported_zone(&datagram.name(*zone)),
                wire::Item::Record(record) => {
                    if !self.merge_record(datagram, record, way) {
                        stale.push(record.host);
                    }
                }
                wire::Item::Crash(end) => self.merge_crash(end),
                wire::Item::Quarantine(ban) => self.merge_entry(ban, way),
                wire::Item::Quarantines { digest, reply } => {
                    self.compare_quarantine(datagram.from, *digest, *reply);
                }
            }
        }
        stale
    }

    fn merge_claim(&mut self, id: host::HostId, incarnation: u64, claim: wire::Claim, way: Source) {
        if id == self.id {
            self.refute(incarnation, claim);
            return;
        }
        let zone = self.table.get(id).map(|e| e.record.locality.zone.clone());
        let dark = zone.is_some_and(|z| self.zones.is_unreachable(&z));
        if dark && claim == wire::Claim::Suspect {
            return;
        }
        let change = self.table.claim(id, incarnation, claim, self.now);
        self.apply_change(id, change, updates::Priority::Plain, way);
    }

    /// Merges a record; `false` when the host is known to be gone in that incarnation.
    fn merge_record(
        &mut self,
        datagram: &wire::Datagram,
        found: &wire::Record,
        way: Source,
    ) -> bool {
        let account = (found.incarnation, found.serial);
        if found.host == self.id {
            if account > self.own_version() {
                self.raise_incarnation(found.incarnation);
            }
            return true;
        }
        let known = self.table.get(found.host);
        if known.is_some_and(|e| !e.is_present() && e.record.incarnation >= found.incarnation) {
            return false;
        }
        let record = read(datagram, found);
        let old = known.and_then(|e| e.record.upstream.clone());
        let rank = priority(old.as_deref(), record.upstream.as_deref());
        let change = self.table.merge(found.host, record, self.now);
        self.apply_change(found.host, change, rank, way);
        true
    }

    /// Others hold a claim against this host.
    fn refute(&mut self, incarnation: u64, claim: wire::Claim) {
        if incarnation < self.own_version().0 {
            return;
        }
        log::warn!(claim:?, incarnation; "claimed by others, taking a new incarnation");
        self.raise_incarnation(incarnation);
        if claim != wire::Claim::Suspect {
            self.change_standing(standing::Event::Declared { proof: self.sequence + 1 });
            self.confirm_standing();
        }
    }

    /// Does what a change of the table asks for.
    pub(super) fn apply_change(
        &mut self,
        id: host::HostId,
        change: table::Change,
        rank: updates::Priority,
        way: Source,
    ) {
        if change == table::Change::Unchanged {
            return;
        }
        self.changed = self.now;
        self.dirty = true;
        match change {
            table::Change::Claimed(claim) => self.apply_claim(id, claim, way),
            table::Change::Renewed(Some(_)) => {
                self.apply_record(id, updates::Priority::Urgent, way)
            }
            _ => self.apply_record(id, rank, way),
        }
    }

    fn apply_record(&mut self, id: host::HostId, rank: updates::Priority, way: Source) {
        let present = self.table.get(id).is_some_and(table::Entry::is_present);
        if present && !self.peers.contains(&id) {
            self.peers.push(id);
        }
        if self.table.get(id).is_some_and(|e| e.claim.is_none()) {
            self.detect.clear(id);
            self.updates.remove(&updates::Topic::Claim(id));
        }
        match way {
            Source::Gossip => self.queue_update(updates::Topic::Record(id), rank, 0),
            Source::Repair => {
                let half = self.limits().plain / 2;
                self.queue_update(updates::Topic::Record(id), updates::Priority::Plain, half);
            }
            Source::Page => {}
        }
    }

    fn apply_claim(&mut self, id: host::HostId, claim: wire::Claim, way: Source) {
        let topic = updates::Topic::Claim(id);
        if claim == wire::Claim::Suspect {
            self.detect.suspect(id, self.now + self.suspicion_timeout());
            self.queue_update(topic, updates::Priority::Soon, 0);
            return;
        }
        self.detect.clear(id);
        self.peers.retain(|&p| p != id);
        self.updates.remove(&updates::Topic::Record(id));
        let rank = if way == Source::Gossip {
            updates::Priority::Urgent
        } else {
            updates::Priority::Plain
        };
        self.queue_update(topic, rank, 0);
    }

    /// Queues news that were sent `sent` times already.
    pub(super) fn queue_update(
        &mut self,
        topic: updates::Topic,
        rank: updates::Priority,
        sent: u32,
    ) {
        self.updates.add(topic, rank, sent);
        if rank == updates::Priority::Urgent {
            self.burst.left = self.fanout();
            self.burst.next = Some(self.burst.next.unwrap_or(self.now));
        }
    }

    /// Sends the wave of urgent news that is due.
    pub(super) fn run_burst(&mut self) {
        if self.burst.next.is_none_or(|next| next > self.now) {
            return;
        }
        for to in self.sample(WAVE.min(self.burst.left as usize), self.id) {
            let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
            self.pack(&mut packer, updates::Priority::Urgent);
            if !packer.is_empty() {
                self.out.push(member::Action::Send { to, datagram: packer.finish() });
            }
        }
        self.burst.left = self.burst.left.saturating_sub(WAVE as u32);
        let more = self.burst.left > 0 && self.updates.has_urgent();
        let gap = self.jittered(WAVE_GAP);
        self.burst.next = more.then(|| self.now + gap);
    }

    /// Sends `body` with as much news as fits.
    pub(super) fn send(&mut self, to: host::HostId, body: wire::Body) {
        let mut packer = wire::Packer::new(self.id, body);
        if let Some((entry, claim)) = self.table.get(to).and_then(|e| Some((e, e.claim?))) {
            // A host must learn at once what is held against it.
            packer.claim(to, entry.record.incarnation, claim);
        }
        let probe = matches!(packer.body(), wire::Body::Ack { .. } | wire::Body::Ping { .. });
        if probe && let Some(bans) = self.quarantine.digest_item() {
            packer.item(bans);
        }
        self.pack(&mut packer, updates::Priority::Plain);
        self.out.push(member::Action::Send { to, datagram: packer.finish() });
    }

    fn pack(&mut self, packer: &mut wire::Packer, rank: updates::Priority) {
        let limits = self.limits();
        let (table, zones, ends) = (&self.table, &self.zones, &self.quarantine);
        let now = self.now;
        self.updates.offer(rank, limits, |topic| {
            let fitted = match topic {
                updates::Topic::Claim(id) => put_claim(packer, table, *id),
                updates::Topic::Unreachable(zone) => {
                    zones.is_unreachable(zone).then(|| packer.dark(zone))
                }
                updates::Topic::Record(id) => put_record(packer, table, *id),
                updates::Topic::Crash(id) => ends.crash(*id, now).map(|end| packer.item(end)),
                updates::Topic::Quarantine(print) => {
                    ends.entry(*print, now).map(|ban| packer.item(ban))
                }
            };
            match fitted {
                Some(true) => updates::Fit::Packed,
                Some(false) => updates::Fit::Full,
                None => updates::Fit::Gone,
            }
        });
    }

    /// Times each piece of news is sent from here.
    pub(super) fn limits(&self) -> updates::Limits {
        let doublings = usize::BITS - self.table.present().leading_zeros();
        let most = if self.updates.count() > BACKLOG { BACKLOG_SENDS } else { u32::MAX };
        let plain = (u32::from(self.settings.retransmit) * doublings.max(1)).min(most);
        updates::Limits { urgent: plain + self.fanout(), plain }
    }

    /// Extra datagrams for urgent news: enough that hardly any host is missed.
    pub(super) fn fanout(&self) -> u32 {
        let hosts = self.table.present() as f64;
        hosts.ln().ceil() as u32 + u32::from(self.settings.urgent)
    }

    /// Up to `count` random peers that can be reached, without `but`.
    pub(super) fn sample(&mut self, count: usize, but: host::HostId) -> Vec<host::HostId> {
        let mut chosen: Vec<host::HostId> = Vec::with_capacity(count);
        if self.peers.is_empty() {
            return chosen;
        }
        for _ in 0..count * 4 {
            let id = self.peers[self.rng.random_range(0..self.peers.len())];
            let wanted = id != but && !chosen.contains(&id) && self.is_reachable(id);
            if wanted && chosen.len() < count {
                chosen.push(id);
            }
        }
        chosen
    }

    /// `span` shortened or lengthened by up to a tenth, so that no two hosts keep step.
    pub(super) fn jittered(&mut self, span: time::Duration) -> time::Duration {
        span.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

/// The record that `found` stands for in its datagram.
fn read(datagram: &wire::Datagram, found: &wire::Record) -> table::Record {
    let region = datagram.name(found.region);
    let place = view::Locality { region, zone: datagram.name(found.zone) };
    let upstream = found.upstream.map(|u| view::Upstream {
        service: datagram.name(u.service),
        class: datagram.name(u.class),
        phase: u.phase,
        slots: u.slots,
        connections: u.connections,
        incarnation: u.incarnation,
        version: u.release.map(|r| datagram.name(r.version)).unwrap_or_default(),
        trial: u.release.and_then(|r| r.trial).unwrap_or_default(),
    });
    table::Record {
        incarnation: found.incarnation,
        serial: found.serial,
        locality: place.into(),
        upstream: upstream.map(Into::into),
    }
}

/// Packs what is claimed of `id`; `None` when nothing is.
fn put_claim(packer: &mut wire::Packer, table: &table::Table, id: host::HostId) -> Option<bool> {
    let entry = table.get(id)?;
    Some(packer.claim(id, entry.record.incarnation, entry.claim?))
}

/// Packs the record of `id`; `None` when the host is gone.
fn put_record(packer: &mut wire::Packer, table: &table::Table, id: host::HostId) -> Option<bool> {
    let entry = table.get(id).filter(|e| e.is_present())?;
    Some(entry.record.pack(id, packer))
}
