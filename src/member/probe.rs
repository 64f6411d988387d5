//! Whom to probe next, and when a host has failed to answer.
//!
//! One host is probed in each period: a ping, and when no answer comes in time a second ping and
//! questions to helpers. A host that did not answer in a period is probed again in the next one;
//! only after two silent periods it has failed, so that lost datagrams raise few suspicions.

use std::collections;
use std::time;

use rand::seq::SliceRandom;

use crate::clock;
use crate::host;

/// The probe of this period.
#[derive(Clone, Copy, Debug)]
struct Probe {
    target: host::HostId,
    /// First sequence number whose answer counts.
    first: u32,
    began: clock::Instant,
    /// When helpers are asked; `None` once they were.
    ask: Option<clock::Instant>,
    /// Whether this is the second period.
    second: bool,
}

/// A ping made for another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    /// Host that asked.
    pub asker: host::HostId,
    /// Number of its question.
    pub sequence: u32,
    /// Host pinged for it.
    pub target: host::HostId,
}

/// What is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ping the host again and ask helpers to ping it.
    Ask(host::HostId),
    /// The host was silent for two periods.
    Failed {
        /// The host.
        target: host::HostId,
        /// When the first of the two periods began.
        began: clock::Instant,
    },
    /// The host is to be pinged once more, in a second period.
    Retry(host::HostId),
    /// A new period begins without a host under probe.
    Next,
}

/// Probes of one host after the other, each once in a random round.
#[derive(Clone, Debug, Default)]
pub struct Prober {
    round: Vec<host::HostId>,
    probe: Option<Probe>,
    next: clock::Instant,
    relays: collections::VecDeque<(u32, Relay)>,
}

/// Most relays remembered at once; older ones are dropped.
const MAX_RELAYS: usize = 64;

impl Prober {
    /// When something is due next.
    pub fn wake(&self) -> clock::Instant {
        self.probe.and_then(|p| p.ask).map_or(self.next, |ask| ask.min(self.next))
    }

    /// What is due at `now`, if anything. The next period then begins after `period`.
    pub fn step(&mut self, period: time::Duration, now: clock::Instant) -> Option<Step> {
        if now >= self.next {
            self.next = now + period;
            return Some(self.turn());
        }
        let probe = self.probe.as_mut()?;
        probe.ask.take_if(|ask| *ask <= now)?;
        Some(Step::Ask(probe.target))
    }

    fn turn(&mut self) -> Step {
        match self.probe.take() {
            None => Step::Next,
            Some(Probe { target, began, second: true, .. }) => Step::Failed { target, began },
            Some(probe) => {
                self.probe = Some(Probe { second: true, ..probe });
                Step::Retry(probe.target)
            }
        }
    }

    /// The next host of the round that `wanted` accepts; a new round is made of `peers`.
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

    /// Notes that `target` was pinged with `sequence` at `now`; helpers are asked at `ask`.
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

    /// Notes an answer of `target` to the ping or question `sequence`.
    pub fn record_answer(&mut self, target: host::HostId, sequence: u32) {
        self.probe.take_if(|p| p.target == target && sequence >= p.first);
    }

    /// Remembers a ping with `sequence` made for another host.
    pub fn add_relay(&mut self, sequence: u32, relay: Relay) {
        self.relays.truncate(MAX_RELAYS - 1);
        self.relays.push_front((sequence, relay));
    }

    /// The relay whose ping `sequence` was answered by `target`.
    pub fn take_relay(&mut self, target: host::HostId, sequence: u32) -> Option<Relay> {
        let mut relays = self.relays.iter();
        let index = relays.position(|(s, r)| *s == sequence && r.target == target)?;
        self.relays.remove(index).map(|(_, relay)| relay)
    }

    /// Drops the probe under way, since this process was paused, and begins a period at `now`.
    pub fn forgive(&mut self, now: clock::Instant) {
        self.probe = None;
        self.next = now;
    }
}
