//! What a picker learns from the attempts that it chose upstreams for.

use std::time;

use crate::clock;
use crate::pick;
use crate::pick::loss;
use crate::pick::peer;
use crate::pick::picker;
use crate::retry;

impl<P: pick::Policy> picker::Picker<P> {
    /// Records that an attempt at `choice` has started.
    pub fn started(&mut self, choice: pick::Choice, now: clock::Instant) {
        if let Some(peer) = self.table.peer_mut(choice.key) {
            peer.started(&self.rules, now);
        }
    }

    /// Records that an attempt at `choice` has ended; called once for each [`picker::Picker::started`].
    /// Returns what it has shown of nodes and hosts, at most once a second; a slow node that was found
    /// together with a loss of hosts is returned at the next end.
    pub fn ended(
        &mut self,
        choice: pick::Choice,
        report: &pick::Report,
        now: clock::Instant,
    ) -> Option<pick::Event> {
        let lost = self.record_loss(choice, report, now);
        let slow = self.record_end(choice, report, now);
        let (first, second) = match self.held_slow.take() {
            Some(held) => (Some(held), slow),
            None => (slow, None),
        };
        let Some(lost) = lost else {
            self.held_slow = second;
            return first.map(pick::Event::SlowNode);
        };
        let skipped = second.map_or(0, |slow| slow.skipped + 1);
        self.held_slow =
            first.map(|slow| pick::SlowNode { skipped: slow.skipped + skipped, ..slow });
        Some(pick::Event::HostsLost(lost))
    }

    /// Records, instead of [`picker::Picker::ended`], that an attempt at `choice` has ended as its caller
    /// broke off the body of the request: that there was no response shows nothing of the host.
    pub fn broken_off(&mut self, choice: pick::Choice, report: &pick::Report, now: clock::Instant) {
        let report = pick::Report { node_delay: None, ..*report };
        self.record_end(choice, &report, now);
    }

    /// Records an attempt that shows that its host does not respond. Returns the simultaneous loss
    /// of hosts that it has shown.
    fn record_loss(
        &mut self,
        choice: pick::Choice,
        report: &pick::Report,
        now: clock::Instant,
    ) -> Option<pick::HostsLost> {
        let window = self.rules.loss_window;
        let peer = self.table.peer_mut(choice.key)?;
        if window.is_zero() || !peer.is_silent(report, &self.rules, now) {
            return None;
        }
        let responded_at = peer.responded_at.take();
        let since = report.silent_since(self.rules.connect_timeout, now);
        let failure = loss::Failure { key: choice.key, since, at: now };
        let list = self.table.list_mut(choice.target)?;
        let earlier = list.loss.record(failure, responded_at, window)?;
        self.counts.losses.inc();
        let skipped = self.loss_pace.admit(now)?;
        let first = self.table.peer(earlier.key).map_or(choice.host, pick::Peer::host);
        let list = self.table.list(choice.target)?;
        let responding = loss::Candidates::Responded(list.loss.since(window, now)?);
        let peers = list.all().iter().map(|&index| &self.table.peers[index as usize]);
        Some(pick::HostsLost {
            hosts: [first, choice.host],
            apart: now.since(earlier.at),
            upstreams: list.all().len(),
            responded: peers.filter(|peer| responding.include(peer.responded_at)).count(),
            skipped,
        })
    }

    /// Records an attempt in the state of its upstream. Returns the node that it has shown to have
    /// become slow.
    fn record_end(
        &mut self,
        choice: pick::Choice,
        report: &pick::Report,
        now: clock::Instant,
    ) -> Option<pick::SlowNode> {
        let good = report.outcome == retry::Outcome::Ran;
        let aggregate = self.table.aggregate(choice.target, good, now);
        let base_us = aggregate.base_delay_us;
        let peer = self.table.peer_mut(choice.key)?;
        let (ejected, cost) = (peer.is_ejected(), peer.delay_cost(base_us, now));
        peer.ended(choice.rank, report, &aggregate, &self.rules, now);
        let became_slow = cost <= peer::FULL && peer.delay_cost(base_us, now) > peer::FULL;
        let (zone, load) = (peer.zone, peer.load_cost(base_us, &self.rules, now));
        if peer.is_ejected() != ejected {
            self.table.record_ejection_change();
        }
        if self.rules.zone_overflow && !choice.same_zone && report.load.is_some() {
            self.table.record_overflow(choice.target, zone, load);
        }
        let measured = report.node_delay.filter(|_| became_slow)?;
        self.slow_node(choice, measured, base_us, now)
    }

    /// The slow node at `choice`, counted; `None` if another one was reported within a second.
    fn slow_node(
        &mut self,
        choice: pick::Choice,
        measured: time::Duration,
        base_us: f32,
        now: clock::Instant,
    ) -> Option<pick::SlowNode> {
        self.counts.slow_nodes.inc();
        let skipped = self.slow_pace.admit(now)?;
        let micros = |us: f32| time::Duration::from_micros(us as u64);
        let peer = self.table.peer(choice.key)?;
        let excess = micros(peer.node_delay.excess_us(base_us, now));
        let (base, service) = (micros(base_us), peer.service_us().map(micros));
        Some(pick::SlowNode { host: choice.host, measured, excess, base, service, skipped })
    }

    /// The state of the upstream of `choice`; `None` if it is no longer kept.
    pub fn peer(&mut self, choice: pick::Choice) -> Option<&pick::Peer> {
        self.table.peer_mut(choice.key).map(|peer| &*peer)
    }
}
