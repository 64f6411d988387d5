//! Gossip: merging the updates that arrive, and sending them on.

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

/// Hosts that receive one wave of urgent updates.
const WAVE_HOSTS: usize = 3;

/// Time between two waves.
const WAVE_GAP: time::Duration = time::Duration::from_millis(100);

/// Queued updates above which each is sent only [`BACKLOG_SENDS`] times. Hosts that then miss one
/// get it by repair, and a start of all hosts at once does not keep the queues full for minutes.
const MAX_BACKLOG: usize = 64;
const BACKLOG_SENDS: u32 = 3;

/// Waves of extra datagrams for urgent updates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Burst {
    /// Datagrams still to be sent.
    remaining: u32,
    /// When the next wave is due; `None` when there is none.
    next: Option<clock::Instant>,
}

/// How an update reached this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// By gossip, or through this host's own failure detection.
    Gossip,
    /// By a comparison of digests that showed it was missing here.
    Repair,
    /// In a page of the table while joining.
    Page,
}

impl Burst {
    /// When the next wave is due; `None` when there is none.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.next
    }
}

/// Priority of the update from the announcement `old` to `new`. It is urgent when calls must no
/// longer go to the upstream: it stopped taking calls, or its version was rejected.
pub fn priority(old: Option<&view::Upstream>, new: Option<&view::Upstream>) -> updates::Priority {
    let serves = |u: Option<&view::Upstream>| u.is_some_and(|u| u.phase != view::Phase::Draining);
    let rejected = |u: Option<&view::Upstream>| u.is_some_and(|u| u.trial.rejected);
    let urgent = (serves(old) && !serves(new)) || (rejected(new) && !rejected(old));
    if urgent { updates::Priority::Urgent } else { updates::Priority::Plain }
}

impl member::Member {
    /// Handles a datagram of this mesh.
    pub(super) fn receive(&mut self, datagram: &wire::Datagram) {
        if datagram.from == self.id {
            return;
        }
        self.record_contact(datagram.from);
        let source = match datagram.body {
            wire::Body::Bucket { .. } => Source::Repair,
            wire::Body::Page { .. } => Source::Page,
            _ => Source::Gossip,
        };
        let stale = self.merge_items(datagram, source);
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
            wire::Body::Page { next, joined } => self.receive_page(from, next, joined),
            wire::Body::Ping { sequence, running } => {
                let running_here = self.running_here();
                self.send(from, wire::Body::Ack { sequence, running: running_here });
                self.compare_running(from, running);
            }
            wire::Body::Pull { cursor } => self.send_page(from, cursor),
        }
    }

    /// Merges the items of a datagram. Returns the hosts whose record was refused because this host
    /// knows that they died or left in that incarnation.
    fn merge_items(&mut self, datagram: &wire::Datagram, source: Source) -> Vec<host::HostId> {
        let mut stale = Vec::new();
        for item in &datagram.items {
            match item {
                wire::Item::Claim { host, incarnation, claim } => {
                    self.merge_claim(*host, *incarnation, *claim, source);
                }
                wire::Item::Unreachable { zone } => self.check_reported_zone(&datagram.name(*zone)),
                wire::Item::Record(record) => {
                    if !self.merge_record(datagram, record, source) {
                        stale.push(record.host);
                    }
                }
                wire::Item::Crash(crash) => self.merge_crash(crash),
                wire::Item::Quarantine(entry) => self.merge_entry(entry, source),
                wire::Item::Quarantines { digest, reply } => {
                    self.compare_quarantine(datagram.from, *digest, *reply);
                }
                wire::Item::Leave { host, leave, age_ms } => {
                    self.merge_leave(*host, *leave, *age_ms);
                }
            }
        }
        stale
    }

    fn merge_claim(
        &mut self,
        id: host::HostId,
        incarnation: u64,
        claim: wire::Claim,
        source: Source,
    ) {
        if id == self.id {
            self.refute(incarnation, claim);
            return;
        }
        let zone = self.table.get(id).map(|e| e.record.locality.zone.clone());
        let zone_lost = zone.is_some_and(|z| self.zones.is_unreachable(&z));
        if zone_lost && claim == wire::Claim::Suspect {
            return;
        }
        let change = self.table.claim(id, incarnation, claim, self.now);
        self.apply_change(id, change, updates::Priority::Plain, source);
    }

    /// Merges a record; `false` when the host is known to have died or left in that incarnation.
    fn merge_record(
        &mut self,
        datagram: &wire::Datagram,
        found: &wire::Record,
        source: Source,
    ) -> bool {
        let theirs = (found.incarnation, found.serial);
        if found.host == self.id {
            if theirs > self.record_version() {
                self.raise_incarnation(found.incarnation);
            }
            return true;
        }
        let known = self.table.get(found.host);
        if known.is_some_and(|e| !e.is_present() && e.record.incarnation >= found.incarnation) {
            return false;
        }
        let record = read(datagram, found);
        let restarted = known.is_none_or(|e| e.record.incarnation < found.incarnation);
        let old = known.and_then(|e| e.record.upstream.clone());
        let priority = priority(old.as_deref(), record.upstream.as_deref());
        let change = self.table.merge(found.host, record, self.now);
        self.apply_change(found.host, change, priority, source);
        if restarted {
            self.send_leaves(found.host, found.host);
        }
        true
    }

    /// Refutes a claim of others about this host by a higher incarnation. If they declared it dead,
    /// its standing has to be confirmed as well.
    fn refute(&mut self, incarnation: u64, claim: wire::Claim) {
        if incarnation < self.record_version().0 {
            return;
        }
        log::warn!(claim:?, incarnation; "refutes a claim of others by a new incarnation");
        self.raise_incarnation(incarnation);
        if claim != wire::Claim::Suspect {
            self.change_standing(standing::Event::Declared { proof: self.sequence + 1 });
            self.confirm_standing();
        }
    }

    /// Updates the timers, the peers and the queue after a change of the table.
    pub(super) fn apply_change(
        &mut self,
        id: host::HostId,
        change: table::Change,
        priority: updates::Priority,
        source: Source,
    ) {
        if change == table::Change::Unchanged {
            return;
        }
        self.changed = self.now;
        self.dirty = true;
        match change {
            table::Change::Claimed(claim) => self.apply_claim(id, claim, source),
            table::Change::Renewed(Some(_)) => {
                self.apply_record(id, updates::Priority::Urgent, source)
            }
            _ => self.apply_record(id, priority, source),
        }
    }

    fn apply_record(&mut self, id: host::HostId, priority: updates::Priority, source: Source) {
        let present = self.table.get(id).is_some_and(table::Entry::is_present);
        if present && !self.peers.contains(&id) {
            self.peers.push(id);
        }
        if self.table.get(id).is_some_and(|e| e.claim.is_none()) {
            self.detect.clear(id);
            self.updates.remove(&updates::Topic::Claim(id));
        }
        match source {
            Source::Gossip => self.queue_update(updates::Topic::Record(id), priority, 0),
            Source::Repair => {
                let half = self.limits().plain / 2;
                self.queue_update(updates::Topic::Record(id), updates::Priority::Plain, half);
            }
            Source::Page => {}
        }
    }

    fn apply_claim(&mut self, id: host::HostId, claim: wire::Claim, source: Source) {
        let topic = updates::Topic::Claim(id);
        if claim == wire::Claim::Suspect {
            self.detect.suspect(id, self.now + self.suspicion_timeout());
            self.queue_update(topic, updates::Priority::Soon, 0);
            return;
        }
        self.detect.clear(id);
        self.peers.retain(|&p| p != id);
        self.updates.remove(&updates::Topic::Record(id));
        let priority = if source == Source::Gossip {
            updates::Priority::Urgent
        } else {
            updates::Priority::Plain
        };
        self.queue_update(topic, priority, 0);
    }

    /// Queues an update that was sent `sent` times already, and starts a burst if it is urgent.
    pub(super) fn queue_update(
        &mut self,
        topic: updates::Topic,
        priority: updates::Priority,
        sent: u32,
    ) {
        self.updates.add(topic, priority, sent);
        if priority == updates::Priority::Urgent {
            self.burst.remaining = self.fanout();
            self.burst.next = Some(self.burst.next.unwrap_or(self.now));
        }
    }

    /// Sends a wave of urgent updates if one is due.
    pub(super) fn run_burst(&mut self) {
        if self.burst.next.is_none_or(|next| next > self.now) {
            return;
        }
        for to in self.sample(WAVE_HOSTS.min(self.burst.remaining as usize), self.id) {
            let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
            self.pack(&mut packer, updates::Priority::Urgent);
            if !packer.is_empty() {
                self.out.push(member::Action::Send { to, datagram: packer.finish() });
            }
        }
        self.burst.remaining = self.burst.remaining.saturating_sub(WAVE_HOSTS as u32);
        let more = self.burst.remaining > 0 && self.updates.has_urgent();
        let gap = self.jittered(WAVE_GAP);
        self.burst.next = more.then(|| self.now + gap);
    }

    /// Sends `body` with as many updates as fit into the datagram.
    pub(super) fn send(&mut self, to: host::HostId, body: wire::Body) {
        let mut packer = wire::Packer::new(self.id, body);
        if let Some((entry, claim)) = self.table.get(to).and_then(|e| Some((e, e.claim?))) {
            // A host must learn at once of a claim about itself, so that it can refute it.
            packer.claim(to, entry.record.incarnation, claim);
        }
        let probe = matches!(packer.body(), wire::Body::Ack { .. } | wire::Body::Ping { .. });
        if probe && let Some(digest) = self.quarantine.digest_item() {
            packer.item(digest);
        }
        if probe {
            // Its process may have started anew and know nothing of what it acknowledged before.
            self.leaves.pack(to, &mut packer, self.now);
        }
        self.pack(&mut packer, updates::Priority::Plain);
        self.out.push(member::Action::Send { to, datagram: packer.finish() });
    }

    fn pack(&mut self, packer: &mut wire::Packer, priority: updates::Priority) {
        let limits = self.limits();
        let (table, zones, quarantine) = (&self.table, &self.zones, &self.quarantine);
        let now = self.now;
        self.updates.offer(priority, limits, |topic| {
            let fitted = match topic {
                updates::Topic::Claim(id) => put_claim(packer, table, *id),
                updates::Topic::Unreachable(zone) => {
                    zones.is_unreachable(zone).then(|| packer.unreachable(zone))
                }
                updates::Topic::Record(id) => put_record(packer, table, *id),
                updates::Topic::Crash(id) => {
                    quarantine.crash(*id, now).map(|item| packer.item(item))
                }
                updates::Topic::Quarantine(fingerprint) => {
                    quarantine.entry(*fingerprint, now).map(|item| packer.item(item))
                }
            };
            match fitted {
                Some(true) => updates::Fit::Packed,
                Some(false) => updates::Fit::Full,
                None => updates::Fit::Gone,
            }
        });
    }

    /// How often each update is sent from this host: more often in a larger mesh.
    pub(super) fn limits(&self) -> updates::Limits {
        let doublings = usize::BITS - self.table.present_count().leading_zeros();
        let max = if self.updates.count() > MAX_BACKLOG { BACKLOG_SENDS } else { u32::MAX };
        let plain = (u32::from(self.settings.retransmit) * doublings.max(1)).min(max);
        updates::Limits { urgent: plain + self.fanout(), plain }
    }

    /// Extra datagrams for an urgent update: enough to reach almost every host.
    pub(super) fn fanout(&self) -> u32 {
        let hosts = self.table.present_count() as f64;
        hosts.ln().ceil() as u32 + u32::from(self.settings.urgent)
    }

    /// Up to `count` random reachable peers, except `excluded`.
    pub(super) fn sample(&mut self, count: usize, excluded: host::HostId) -> Vec<host::HostId> {
        let mut chosen: Vec<host::HostId> = Vec::with_capacity(count);
        if self.peers.is_empty() {
            return chosen;
        }
        for _ in 0..count * 4 {
            let id = self.peers[self.rng.random_range(0..self.peers.len())];
            let wanted = id != excluded && !chosen.contains(&id) && self.is_reachable(id);
            if wanted && chosen.len() < count {
                chosen.push(id);
            }
        }
        chosen
    }

    /// `span` changed by up to a tenth at random, so that the timers of hosts don't synchronise.
    pub(super) fn jittered(&mut self, span: time::Duration) -> time::Duration {
        span.mul_f64(self.rng.random_range(0.9..1.1))
    }
}

/// Converts a record of `datagram` by resolving its indices into names.
fn read(datagram: &wire::Datagram, found: &wire::Record) -> table::Record {
    let region = datagram.name(found.region);
    let locality = view::Locality { region, zone: datagram.name(found.zone) };
    let upstream = found.upstream.as_ref().map(|u| view::Upstream {
        service: datagram.name(u.service),
        class: datagram.name(u.class),
        phase: u.phase,
        slots: u.slots,
        connections: u.connections,
        incarnation: u.incarnation,
        version: u.release.as_ref().map(|r| datagram.name(r.version)).unwrap_or_default(),
        trial: u
            .release
            .as_ref()
            .and_then(|r| r.trial.as_deref())
            .map(wire::Trial::received)
            .unwrap_or_default(),
    });
    table::Record {
        incarnation: found.incarnation,
        serial: found.serial,
        locality: locality.into(),
        upstream: upstream.map(Into::into),
    }
}

/// Packs the claim about `id`; `None` when there is none, `false` when it does not fit.
fn put_claim(packer: &mut wire::Packer, table: &table::Table, id: host::HostId) -> Option<bool> {
    let entry = table.get(id)?;
    Some(packer.claim(id, entry.record.incarnation, entry.claim?))
}

/// Packs the record of `id`; `None` when the host is gone, `false` when the record does not fit.
fn put_record(packer: &mut wire::Packer, table: &table::Table, id: host::HostId) -> Option<bool> {
    let entry = table.get(id).filter(|e| e.is_present())?;
    Some(entry.record.pack(id, packer))
}
