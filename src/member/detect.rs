//! Failure detection: which hosts, and which availability zones, don't answer.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;
use smol_str::SmolStr;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::gossip;
use crate::member::probe;
use crate::member::standing;
use crate::member::table;
use crate::member::updates;
use crate::member::wire;
use crate::member::zones;

/// Hosts of a silent zone that are probed at once.
const ZONE_SAMPLE: usize = 3;

/// Hosts pinged to confirm this host's own standing.
const CONFIRM_PINGS: usize = 3;

/// One in this many reconnect probes goes to a configured address even while other hosts answer.
const RECONNECTS_PER_JOIN_ADDRESS: u32 = 8;

/// Timers of detection.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    /// When each suspect is declared dead.
    suspects: collections::BTreeMap<host::HostId, clock::Instant>,
    next_reconnect: clock::Instant,
    /// Reconnect probes sent so far.
    reconnects: u32,
    next_cleanup: clock::Instant,
    /// When this host last asked others to confirm its standing.
    asked_at: Option<clock::Instant>,
    /// When this host acts alone because nobody has confirmed its standing.
    alone_at: Option<clock::Instant>,
}

impl Timers {
    /// Gives `id` until `deadline` to refute the suspicion; an earlier deadline stays.
    pub fn suspect(&mut self, id: host::HostId, deadline: clock::Instant) {
        self.suspects.entry(id).or_insert(deadline);
    }

    /// Ends the suspicion of `id`.
    pub fn clear(&mut self, id: host::HostId) {
        self.suspects.remove(&id);
    }

    /// When the next timer is due.
    pub fn wake(&self) -> clock::Instant {
        let timers = [self.next_reconnect, self.next_cleanup].into_iter().chain(self.alone_at);
        let due = timers.chain(self.suspects.values().copied()).min();
        due.unwrap_or(self.next_cleanup)
    }
}

impl member::Member {
    /// Starts all timers, each after a random part of its period.
    pub(super) fn start_timers(&mut self) {
        let part = self.rng.random_range(0.0..1.0);
        self.prober.restart(self.now + millis(self.settings.probe_ms).mul_f64(part));
        self.detect.next_reconnect = self.now + millis(self.settings.knock_ms).mul_f64(part);
        self.detect.next_cleanup = self.now + member::CLEANUP_INTERVAL.mul_f64(part);
        // Hosts that all start at once must not all ask for pages at once.
        self.join.delay(millis(self.settings.join_ms).mul_f64(part));
    }

    /// Carries out the probe steps that are due.
    pub(super) fn run_probes(&mut self) {
        let period = self.jittered(millis(self.settings.probe_ms));
        while let Some(step) = self.prober.step(period, self.now) {
            match step {
                probe::Step::AskHelpers(target) => {
                    let sequence = self.probe(target, false);
                    for helper in self.sample(usize::from(self.settings.helpers), target) {
                        self.send(helper, wire::Body::PingRequest { sequence, target });
                    }
                }
                probe::Step::Failed { target, began } => {
                    self.fail(target, began);
                    self.probe_next();
                }
                probe::Step::Next => self.probe_next(),
                probe::Step::Retry(target) => {
                    self.probe(target, true);
                }
            }
        }
    }

    fn probe_next(&mut self) {
        let (table, zones) = (&self.table, &self.zones);
        let wanted = |id| {
            let entry = table.get(id).filter(|e| e.is_present());
            entry.is_some_and(|e| !zones.is_unreachable(&e.record.locality.zone))
        };
        if let Some(target) = self.prober.choose(&self.peers, &mut self.rng, wanted) {
            self.probe(target, true);
        }
    }

    /// Pings the host under probe; with `ask`, helpers are asked when no ack comes in time.
    fn probe(&mut self, target: host::HostId, ask: bool) -> u32 {
        let sequence = self.ping(target);
        if ask {
            let deadline = self.now + millis(self.settings.answer_ms);
            self.prober.record_ping(target, sequence, deadline, self.now);
        }
        sequence
    }

    /// Pings `target`; returns the sequence number of the ping.
    pub(super) fn ping(&mut self, target: host::HostId) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        let running = self.running_here();
        self.send(target, wire::Body::Ping { sequence: self.sequence, running });
        self.sequence
    }

    /// Handles the ack of `from`, and passes it on if the ping was sent for another host.
    pub(super) fn acknowledged(&mut self, from: host::HostId, sequence: u32) {
        self.prober.record_answer(from, sequence);
        self.change_standing(standing::Event::Answered(sequence));
        if let Some(relay) = self.prober.take_relay(from, sequence) {
            let answered = wire::Body::IndirectAck { sequence: relay.sequence, target: from };
            self.send(relay.asker, answered);
        }
    }

    /// Handles the message of a helper that `target` answered its ping.
    pub(super) fn indirectly_acked(&mut self, target: host::HostId, sequence: u32) {
        self.prober.record_answer(target, sequence);
        self.record_contact(target);
    }

    /// Pings `target` on behalf of `asker`.
    pub(super) fn relay_ping(&mut self, asker: host::HostId, sequence: u32, target: host::HostId) {
        if target != self.id {
            let own = self.ping(target);
            self.prober.add_relay(own, probe::Relay { asker, sequence, target });
        }
    }

    /// Records contact by host `id`: its zone is reachable, and a check of the zone ends.
    pub(super) fn record_contact(&mut self, id: host::HostId) {
        let Some(zone) = self.zone(id) else { return };
        let contact = self.zones.record_contact(&zone, self.now);
        if contact.was_unreachable {
            log::info!(zone = zone.as_str(); "availability zone answers again");
            self.dirty = true;
            self.updates.remove(&updates::Topic::Unreachable(zone));
        }
        for id in contact.suspects {
            self.suspect(id);
        }
    }

    /// Handles the failed probe of `target`, which began at `began`: suspects the host, or first
    /// checks its zone if no other host of it has made contact since.
    fn fail(&mut self, target: host::HostId, began: clock::Instant) {
        let Some(zone) = self.zone(target) else { return };
        if self.zones.contacted_since(&zone, began) || !self.check_zone(&zone, Some(target)) {
            self.suspect(target);
        }
    }

    /// Probes some hosts of a silent zone; `false` when it has no host to probe other than
    /// `suspect`.
    fn check_zone(&mut self, zone: &SmolStr, suspect: Option<host::HostId>) -> bool {
        if self.zones.is_unreachable(zone) {
            return true;
        }
        let targets = self.sample_zone(zone, suspect);
        if targets.is_empty() {
            return false;
        }
        if self.zones.check(zone, suspect, self.now + self.round()) {
            targets.into_iter().for_each(|id| {
                self.ping(id);
            });
        }
        true
    }

    /// Checks `zone`, which another host reports as unreachable, unless a host of it made contact
    /// within the last two probe periods.
    pub(super) fn check_reported_zone(&mut self, zone: &SmolStr) {
        let period = millis(self.settings.probe_ms);
        let recent = clock::Instant::from_micros(
            self.now.as_micros().saturating_sub(2 * period.as_micros() as u64),
        );
        if !self.zones.contacted_since(zone, recent) {
            self.check_zone(zone, None);
        }
    }

    /// A few random hosts of `zone` that nobody suspects, except `excluded`.
    fn sample_zone(&mut self, zone: &SmolStr, excluded: Option<host::HostId>) -> Vec<host::HostId> {
        let table = &self.table;
        let present = self.peers.iter().copied().filter(|&id| Some(id) != excluded);
        let inside = |id: &host::HostId| {
            table.get(*id).is_some_and(|e| e.claim.is_none() && e.record.locality.zone == *zone)
        };
        let inside: Vec<_> = present.filter(inside).collect();
        inside.sample(&mut self.rng, ZONE_SAMPLE).copied().collect()
    }

    fn suspect(&mut self, id: host::HostId) {
        let Some(incarnation) = self.table.get(id).map(|e| e.record.incarnation) else { return };
        let change = self.table.claim(id, incarnation, wire::Claim::Suspect, self.now);
        self.apply_change(id, change, updates::Priority::Soon, gossip::Source::Gossip);
    }

    /// Runs the checks, suspicions, reconnect probes and clean-ups that are due.
    pub(super) fn run_detection(&mut self) {
        self.run_checks();
        self.run_suspicions();
        if self.detect.next_reconnect <= self.now {
            self.detect.next_reconnect = self.now + self.jittered(millis(self.settings.knock_ms));
            self.probe_lost();
        }
        if self.detect.next_cleanup <= self.now {
            self.detect.next_cleanup = self.now + self.jittered(member::CLEANUP_INTERVAL);
            self.clean_up();
        }
        if self.detect.alone_at.take_if(|at| *at <= self.now).is_some() {
            self.change_standing(standing::Event::Alone);
        }
    }

    fn run_checks(&mut self) {
        for (zone, verdict) in self.zones.expire(self.round(), self.now) {
            match verdict {
                zones::Verdict::Again => {
                    for id in self.sample_zone(&zone, None) {
                        self.ping(id);
                    }
                }
                zones::Verdict::Unreachable => {
                    log::warn!(zone = zone.as_str(); "availability zone can't be reached");
                    self.dirty = true;
                    self.queue_update(
                        updates::Topic::Unreachable(zone),
                        updates::Priority::Soon,
                        0,
                    );
                }
            }
        }
    }

    fn run_suspicions(&mut self) {
        let due = |at: &clock::Instant| *at <= self.now;
        let suspects = self.detect.suspects.iter().filter(|(_, at)| due(at));
        for id in suspects.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end_suspicion(id);
        }
    }

    /// Declares `id` dead. If no host of its zone has made contact since the suspicion, the zone is
    /// checked first and the suspicion starts again.
    fn end_suspicion(&mut self, id: host::HostId) {
        self.detect.clear(id);
        let Some(entry) = self.table.get(id) else { return };
        let (zone, incarnation) = (entry.record.locality.zone.clone(), entry.record.incarnation);
        if !self.zones.contacted_since(&zone, entry.since) && self.check_zone(&zone, Some(id)) {
            self.detect.suspect(id, self.now + self.suspicion_timeout());
            return;
        }
        log::warn!(host:% = id; "host declared dead");
        let change = self.table.claim(id, incarnation, wire::Claim::Dead, self.now);
        self.apply_change(id, change, updates::Priority::Urgent, gossip::Source::Gossip);
    }

    /// Sends a reconnect probe to a host outside the schedule of probes: a dead host, a host of an
    /// unreachable zone, or a configured host that is not known.
    fn probe_lost(&mut self) {
        self.detect.reconnects = self.detect.reconnects.wrapping_add(1);
        let lost = |id: host::HostId, e: &table::Entry| {
            let zone_lost = e.is_present() && self.zones.is_unreachable(&e.record.locality.zone);
            id != self.id && (zone_lost || e.claim == Some(wire::Claim::Dead))
        };
        let lost: Vec<_> = self.table.iter().filter(|(id, e)| lost(*id, e)).collect();
        let mut target = lost.choose(&mut self.rng).map(|(id, _)| *id);
        if self.peers.is_empty()
            || self.detect.reconnects.is_multiple_of(RECONNECTS_PER_JOIN_ADDRESS)
        {
            let unknown = self.join.addresses().filter(|&id| self.table.get(id).is_none());
            let unknown: Vec<_> = unknown.collect();
            target = unknown.choose(&mut self.rng).copied().or(target);
        }
        if let Some(target) = target {
            self.ping(target);
        }
    }

    /// Removes state that has expired.
    fn clean_up(&mut self) {
        let limit = time::Duration::from_secs(self.settings.dark_s);
        let old = self.zones.unreachable().filter(|(_, since)| self.now.since(*since) > limit);
        let zones: Vec<SmolStr> = old.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            self.expire_zone(&zone);
        }
        self.table.expire(time::Duration::from_secs(self.settings.forget_s), self.now);
        self.quarantine.expire(self.now);
        self.leaves.expire(self.now);
    }

    /// Marks the hosts of a zone that was unreachable for too long as dead, without gossip: every
    /// host does so by itself.
    fn expire_zone(&mut self, zone: &SmolStr) {
        let inside = |e: &table::Entry| e.is_present() && e.record.locality.zone == *zone;
        let hosts = self.table.iter().filter(|(id, e)| *id != self.id && inside(e));
        let hosts: Vec<_> = hosts.map(|(id, e)| (id, e.record.incarnation)).collect();
        for (id, incarnation) in hosts {
            self.table.claim(id, incarnation, wire::Claim::Dead, self.now);
            self.detect.clear(id);
            self.peers.retain(|&p| p != id);
            self.dirty = true;
        }
    }

    /// Pings a few hosts, which answer with any claim against this one. Does so at most once a
    /// probe period, so that a claim that can't be refuted does not cause a storm of pings.
    pub(super) fn confirm_standing(&mut self) {
        let period = millis(self.settings.probe_ms);
        if self.detect.asked_at.is_some_and(|at| self.now.since(at) < period) {
            return;
        }
        self.detect.asked_at = Some(self.now);
        self.detect.alone_at = Some(self.now + millis(self.settings.alone_ms));
        for id in self.sample(CONFIRM_PINGS, self.id) {
            self.ping(id);
        }
    }

    /// Extends the deadlines of suspects by the `gap` in which this process did not run, and drops
    /// the probe and the checks under way: it could not receive answers meanwhile.
    pub(super) fn compensate_pause(&mut self, gap: time::Duration) {
        log::warn!(gap_ms = gap.as_millis() as u64; "process was paused");
        self.prober.restart(self.now);
        self.zones.cancel_checks();
        self.detect.suspects.values_mut().for_each(|at| *at = *at + gap);
    }

    /// Time for which a suspect may refute; it grows with the logarithm of the number of hosts.
    pub(super) fn suspicion_timeout(&self) -> time::Duration {
        let magnitude = (self.table.present_count() as f64).log10().max(1.0);
        let period = millis(self.settings.probe_ms);
        (period * u32::from(self.settings.suspicion)).mul_f64(magnitude)
    }

    /// Whether `id` is known and its zone is not unreachable.
    pub(super) fn is_reachable(&self, id: host::HostId) -> bool {
        self.zone(id).is_some_and(|zone| !self.zones.is_unreachable(&zone))
    }

    fn zone(&self, id: host::HostId) -> Option<SmolStr> {
        self.table.get(id).map(|e| e.record.locality.zone.clone())
    }

    /// Duration of one round of probes of a zone.
    fn round(&self) -> time::Duration {
        millis(2 * self.settings.answer_ms)
    }
}

/// Converts a setting in milliseconds.
pub fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}
