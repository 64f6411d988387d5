//! Schedule of probes: which host is probed next, and when a host has failed to answer.
//!
//! One host is probed in each period: by a ping and, when no ack comes in time, by a second ping
//! and ping requests to helpers. A host that did not answer in one period is probed again in the
//! next; it has failed only after two silent periods, so that lost datagrams raise few suspicions.

use std::collections;
use std::time;

use rand::seq::SliceRandom;

use crate::clock;
use crate::host;

/// The probe of this period.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: host::HostId,
    /// Lowest sequence number whose ack counts.
    first: u32,
    began: clock::Instant,
    /// When helpers are asked; `None` once they have been.
    ask: Option<clock::Instant>,
    /// Whether this is the second period of the probe.
    second: bool,
}

/// A ping sent on behalf of another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Host that requested the ping.
    pub asker: host::HostId,
    /// Sequence number of its request.
    pub sequence: u32,
    /// Host that was pinged.
    pub target: host::HostId,
}

/// A step of the schedule that is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ping the host again and ask helpers to ping it too.
    AskHelpers(host::HostId),
    /// The host did not answer for two periods.
    Failed {
        /// The host.
        target: host::HostId,
        /// When the first of the two periods began.
        began: clock::Instant,
    },
    /// Ping the host again, in its second period.
    Retry(host::HostId),
    /// Choose the next host to probe: a period begins without one.
    Next,
}

/// The schedule: rounds in random order, in each of which every peer is probed once.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    /// Hosts still to be probed in this round.
    round: Vec<host::HostId>,
    probe: Option<Probe>,
    /// When the next period begins.
    next: clock::Instant,
    /// Relayed pings by sequence number, newest first.
    relays: collections::VecDeque<(u32, Relay)>,
}

/// Relays remembered at once; older ones are dropped.
const MAX_RELAYS: usize = 64;

impl Prober {
    /// When the next step is due.
    pub fn wake(&self) -> clock::Instant {
        self.probe.and_then(|p| p.ask).map_or(self.next, |ask| ask.min(self.next))
    }

    /// The step that is due at `now`; `None` when there is none. Where it begins a period, that
    /// period lasts for `period`.
    pub fn step(&mut self, period: time::Duration, now: clock::Instant) -> Option<Step> {
        if now >= self.next {
            self.next = now + period;
            return Some(self.begin_period());
        }
        let probe = self.probe.as_mut()?;
        probe.ask.take_if(|ask| *ask <= now)?;
        Some(Step::AskHelpers(probe.target))
    }

    fn begin_period(&mut self) -> Step {
        match self.probe.take() {
            None => Step::Next,
            Some(Probe { target, began, second: true, .. }) => Step::Failed { target, began },
            Some(probe) => {
                self.probe = Some(Probe { second: true, ..probe });
                Step::Retry(probe.target)
            }
        }
    }

    /// The next host of the round that `wanted` accepts; when none is left, a new round of `peers`
    /// begins.
    pub fn choose(
        &mut self,
        peers: &[host::HostId],
        rng: &mut impl rand::Rng,
        wanted: impl Fn(host::HostId) -> bool,
    ) -> Option<host::HostId> {
        while let Some(id) = self.round.pop() {
            if wanted(id) {
                return Some(id);
            }
        }
        self.round.extend(peers.iter().copied().filter(|&id| wanted(id)));
        self.round.shuffle(rng);
        self.round.pop()
    }

    /// Records that `target` was pinged with `sequence` at `now`; helpers are to be asked at `ask`.
    pub fn record_ping(
        &mut self,
        target: host::HostId,
        sequence: u32,
        ask: clock::Instant,
        now: clock::Instant,
    ) {
        match &mut self.probe {
            Some(probe) if probe.target == target => probe.ask = Some(ask),
            probe => {
                let ask = Some(ask);
                *probe = Some(Probe { target, first: sequence, began: now, ask, second: false });
            }
        }
    }

    /// Records an ack of `target`, direct or through a helper, for the ping with `sequence`.
    pub fn record_answer(&mut self, target: host::HostId, sequence: u32) {
        self.probe.take_if(|p| p.target == target && sequence >= p.first);
    }

    /// Remembers a ping with `sequence` that was sent for another host.
    pub fn add_relay(&mut self, sequence: u32, relay: Relay) {
        self.relays.truncate(MAX_RELAYS - 1);
        self.relays.push_front((sequence, relay));
    }

    /// Removes and returns the relay whose ping `sequence` was answered by `target`.
    pub fn take_relay(&mut self, target: host::HostId, sequence: u32) -> Option<Relay> {
        let mut relays = self.relays.iter();
        let index = relays.position(|(s, r)| *s == sequence && r.target == target)?;
        self.relays.remove(index).map(|(_, relay)| relay)
    }

    /// Drops the probe under way, as after a pause of this process, and begins the next period at
    /// `next`.
    pub fn restart(&mut self, next: clock::Instant) {
        self.probe = None;
        self.next = next;
    }
}
