//! What an entry knows of one upstream.

use std::time;

use crate::admit;
use crate::clock;
use crate::configs;
use crate::host;
use crate::pick;
use crate::pick::outlier;
use crate::retry;
use crate::view;

/// Share of its full size that an upstream gets when it starts.
const COLD_SHARE: f32 = 0.1;

/// Weight of a new latency measurement: one in this many.
const SMOOTHING: f32 = 8.0;

/// Answers needed before an upstream's latency is compared with others'.
const ENOUGH: u8 = 8;

/// Limits by which results are judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) breaker: outlier::Limits,
    /// Half-life of a reported load, in microseconds.
    pub(super) half: f32,
    /// Times slower than its peers that makes an outlier.
    pub(super) slow: f32,
}

impl Rules {
    pub(super) fn new(settings: &configs::call::Call) -> Self {
        let breaker = outlier::Limits {
            after: settings.eject_after.max(1),
            base: time::Duration::from_millis(settings.eject_ms),
            most: time::Duration::from_millis(settings.eject_most_ms),
        };
        let half = settings.load_half_ms.max(1) as f32 * 1000.0;
        Self { breaker, half, slow: f32::from(settings.slow_factor.max(2)) }
    }
}

/// The load that the last answer told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Calls of other entries, running and waiting.
    others: u16,
    /// Running and waiting calls of every entry.
    total: u16,
    at: clock::Instant,
}

/// What an entry knows of one upstream.
#[derive(Clone, Debug)]
pub struct Peer {
    host: host::HostId,
    incarnation: u64,
    generation: u32,
    /// In the current view and mesh.
    pub(super) listed: bool,
    health: view::Health,
    phase: view::Phase,
    slots: u16,
    /// When warming began and how long it takes, in microseconds.
    warming: Option<(clock::Instant, f32)>,
    outstanding: u16,
    told: Option<Told>,
    /// Smoothed time of whole answers, in microseconds.
    latency: f32,
    answers: u8,
    breaker: outlier::Breaker,
}

impl Peer {
    pub(super) fn new(host: host::HostId, generation: u32) -> Self {
        Self {
            host,
            incarnation: 0,
            generation,
            listed: false,
            health: view::Health::Alive,
            phase: view::Phase::Serving,
            slots: 0,
            warming: None,
            outstanding: 0,
            told: None,
            latency: 0.0,
            answers: 0,
            breaker: outlier::Breaker::new(),
        }
    }

    /// Takes in what the membership says; a new life of the host starts afresh.
    pub(super) fn update(
        &mut self,
        host: &view::Host,
        upstream: &view::Upstream,
        most: u16,
        warmup: time::Duration,
        now: clock::Instant,
    ) {
        if self.incarnation != host.incarnation {
            self.told = None;
            self.answers = 0;
            self.breaker = outlier::Breaker::new();
            self.warming = None;
        }
        self.incarnation = host.incarnation;
        self.listed = true;
        self.health = host.health;
        self.slots = upstream.slots.min(most);
        self.phase = upstream.phase;
        self.warming = match upstream.phase {
            view::Phase::Warming => {
                let since = self.warming.map_or(now, |(since, _)| since);
                Some((since, warmup.as_micros() as f32))
            }
            view::Phase::Serving | view::Phase::Draining => None,
        };
    }

    /// Its host.
    pub const fn host(&self) -> host::HostId {
        self.host
    }

    /// Calls of this entry that have not ended.
    pub const fn outstanding(&self) -> u16 {
        self.outstanding
    }

    /// Calls it runs at once when warm.
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Smoothed time of its answers; `None` before enough of them came.
    pub fn latency(&self) -> Option<f32> {
        (self.answers >= ENOUGH).then_some(self.latency)
    }

    /// Running and waiting calls that its last answer told, of every entry, however old.
    pub fn told(&self) -> u16 {
        self.told.map_or(0, |t| t.total)
    }

    /// Calls believed to be at it: own ones, and those of others as far as they are remembered.
    pub(super) fn calls(&self, rules: &Rules, now: clock::Instant) -> f32 {
        let others = self.told.map_or(0.0, |told| {
            let age = now.since(told.at).as_micros() as f32;
            f32::from(told.others) * (-age / rules.half).exp2()
        });
        f32::from(self.outstanding) + others
    }

    /// Slots it is worth now: fewer while it warms.
    pub(super) fn worth(&self, now: clock::Instant) -> f32 {
        let slots = f32::from(self.slots.max(1));
        let Some((since, warmup)) = self.warming else {
            return slots;
        };
        let age = now.since(since).as_micros() as f32;
        slots * (age / warmup.max(1.0)).clamp(COLD_SHARE, 1.0)
    }

    /// Share of its slots that would be taken with one more call; above 1 the call would wait.
    pub(super) fn fullness(&self, rules: &Rules, now: clock::Instant) -> f32 {
        (self.calls(rules, now) + 1.0) / self.worth(now)
    }

    /// Whether calls may go to it at all.
    pub(super) fn is_open(&self) -> bool {
        self.listed && self.phase != view::Phase::Draining && self.slots > 0
    }

    /// Whether calls go to it in the ordinary way.
    pub(super) fn is_usable(&self, now: clock::Instant) -> bool {
        self.is_open() && self.health != view::Health::Unreachable && self.breaker.passes(now)
    }

    /// How little there is to expect from it, for a choice among unusable ones.
    pub(super) fn despair(&self) -> (view::Health, clock::Instant) {
        (self.health, self.breaker.opens())
    }

    pub(super) const fn generation(&self) -> u32 {
        self.generation
    }

    pub(super) fn started(&mut self, rules: &Rules, now: clock::Instant) {
        self.outstanding = self.outstanding.saturating_add(1);
        self.breaker.started(&rules.breaker, now);
    }

    /// Takes in the end of a call. `peers` is the usual latency of its peers.
    pub(super) fn ended(
        &mut self,
        report: &pick::Report,
        peers: Option<f32>,
        rules: &Rules,
        now: clock::Instant,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = report.load {
            self.tell(load, now);
        }
        match report.outcome {
            retry::Outcome::Ran => self.answered(report.latency, peers, rules, now),
            retry::Outcome::NotRun(reason) | retry::Outcome::Unknown(reason) => {
                self.failed(reason, rules, now);
            }
        }
    }

    fn tell(&mut self, load: admit::Load, now: clock::Instant) {
        let total = load.running.saturating_add(load.waiting);
        let others = total.saturating_sub(self.outstanding);
        self.told = Some(Told { others, total, at: now });
    }

    fn answered(
        &mut self,
        latency: time::Duration,
        peers: Option<f32>,
        rules: &Rules,
        now: clock::Instant,
    ) {
        let took = latency.as_micros() as f32;
        self.answers = self.answers.saturating_add(1);
        let weight = f32::from(self.answers).min(SMOOTHING);
        self.latency += (took - self.latency) / weight;
        let slow = peers.is_some_and(|usual| self.latency > usual * rules.slow);
        if slow && self.answers >= ENOUGH {
            self.breaker.eject(&rules.breaker, now);
        } else {
            self.breaker.success();
        }
    }

    fn failed(&mut self, reason: retry::Reason, rules: &Rules, now: clock::Instant) {
        match reason {
            retry::Reason::Draining | retry::Reason::Unreachable => {
                self.breaker.eject(&rules.breaker, now);
            }
            retry::Reason::Cut
            | retry::Reason::Malformed
            | retry::Reason::NotReady
            | retry::Reason::Timeout
            | retry::Reason::UpstreamShed => self.breaker.failure(&rules.breaker, now),
            _ => {}
        }
    }
}
