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

/// Share of an upstream's slots and queue from which on a further call is likely to be refused. What
/// is known of a queue is some milliseconds old, in which one in ten of its places fills.
const BRIM: f32 = 0.9;

/// Share of its full size that an upstream gets when it starts.
const COLD_SHARE: f32 = 0.1;

/// Weight of a new measurement: one in this many.
const SMOOTHING: f32 = 8.0;

/// Fullness from which on a call is expected to wait.
pub(super) const WAITS: f32 = 1.0;

/// Share of an upstream's wait that a call sees which goes before new work: such calls are a quarter to
/// a third of the work where services call one another, and wait for each other alone.
const INNER_WAIT: f32 = 0.25;

/// Half-life of what was seen of an upstream's pace, in microseconds: some seconds, the time for which
/// an upstream is slow after a start or a fault.
const PACE_HALF: f32 = 4_000_000.0;

/// Service times closer than this, in microseconds, are not told apart.
const SLACK: f32 = 500.0;

/// Limits by which results are judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) breaker: outlier::Limits,
    /// Half-life of a reported load, in microseconds.
    pub(super) half: f32,
    pub(super) usual_half: f32,
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
        Self {
            breaker,
            half,
            usual_half: 2_000_000.0,
            slow: f32::from(settings.slow_factor.max(2)),
        }
    }
}

/// What the other upstreams of the same list say.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Crowd {
    /// Lower median of the known service times, in microseconds; `None` below two.
    pub(super) service: Option<f32>,
    /// Whether enough others are left for one more to be ejected on suspicion.
    pub(super) spare: bool,
}

/// The load that the last answer told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Calls of other entries, running and waiting.
    others: u16,
    /// Running and waiting calls of every entry.
    total: u16,
    /// Slots as the gate counts them.
    slots: u16,
    /// Smoothed `others`.
    usual: f32,
    at: clock::Instant,
}

/// What an entry knows of one upstream.
#[derive(Clone, Debug)]
pub struct Peer {
    host: host::HostId,
    incarnation: u64,
    /// Life of the upstream.
    life: u32,
    generation: u32,
    /// In the current view and mesh.
    pub(super) listed: bool,
    health: view::Health,
    phase: view::Phase,
    slots: u16,
    /// Calls that may wait at its node.
    queue: u16,
    /// When warming began and how long it takes, in microseconds.
    warming: Option<(clock::Instant, f32)>,
    outstanding: u16,
    told: Option<Told>,
    /// Mean service time that its gate measured, in microseconds; 0 while unknown.
    service_us: u32,
    /// Its time for a call as a multiple of that of all upstreams, and when that was seen last.
    relative_time: (f32, clock::Instant),
    breaker: outlier::Breaker,
}

impl Peer {
    pub(super) fn new(host: host::HostId, generation: u32) -> Self {
        Self {
            host,
            incarnation: 0,
            life: 0,
            generation,
            listed: false,
            health: view::Health::Alive,
            phase: view::Phase::Serving,
            slots: 0,
            queue: 0,
            warming: None,
            outstanding: 0,
            told: None,
            service_us: 0,
            relative_time: (1.0, clock::Instant::ZERO),
            breaker: outlier::Breaker::new(),
        }
    }

    /// Takes in what the membership says; a new life of the host or of its upstream starts afresh.
    pub(super) fn update(
        &mut self,
        host: &view::Host,
        upstream: &view::Upstream,
        most: u16,
        queue: u16,
        warmup: time::Duration,
        now: clock::Instant,
    ) {
        if (self.incarnation, self.life) != (host.incarnation, upstream.incarnation) {
            self.told = None;
            self.service_us = 0;
            self.relative_time = (1.0, now);
            self.breaker = outlier::Breaker::new();
            self.warming = None;
        }
        self.incarnation = host.incarnation;
        self.life = upstream.incarnation;
        self.listed = true;
        self.health = host.health;
        self.slots = upstream.slots.min(most);
        self.queue = queue;
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

    /// Mean service time that its gate measured, in microseconds; `None` while unknown.
    pub fn service_us(&self) -> Option<f32> {
        (self.service_us > 0).then_some(self.service_us as f32)
    }

    /// Running and waiting calls that its last answer told, of every entry, however old.
    pub fn reported_calls(&self) -> u16 {
        self.told.map_or(0, |t| t.total)
    }

    /// Calls believed to be at it: own ones, and those of others as far as they are remembered.
    pub(super) fn calls(&self, rules: &Rules, now: clock::Instant) -> f32 {
        let others = self.told.map_or(0.0, |told| {
            let age = now.since(told.at).as_micros() as f32;
            let usual = told.usual * (-age / rules.usual_half).exp2();
            usual + (f32::from(told.others) - usual) * (-age / rules.half).exp2()
        });
        f32::from(self.outstanding) + others
    }

    /// Slots it is worth now: fewer while it warms, and as many as its gate counted.
    fn worth(&self, now: clock::Instant) -> f32 {
        let counted = self.told.map_or(self.slots, |t| t.slots.min(self.slots));
        let slots = f32::from(counted.max(1));
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

    /// Its time for a call as a multiple of that of all upstreams; what was seen is forgotten, so that
    /// one that was slow for a while is tried again.
    fn relative_time(&self, now: clock::Instant) -> f32 {
        let (pace, at) = self.relative_time;
        let age = now.since(at).as_micros() as f32;
        1.0 + (pace - 1.0) * (-age / PACE_HALF).exp2()
    }

    /// What one more call would cost there, in the usual service times of its kind: its share of the
    /// slots, and from then on its wait, both as long as this upstream takes for a call.
    ///
    /// Upstreams of one service differ by a factor of two and more. By the share of slots taken alone,
    /// what running calls wait for stood at the slow one: with the pace 0.755 of the credit was earned
    /// over five days of load and faults in place of 0.739, and 87% of the calls were served in place
    /// of 85% (three seeds each, simulated hosts).
    pub(super) fn cost(&self, inner: bool, rules: &Rules, now: clock::Instant) -> f32 {
        let fullness = self.fullness(rules, now);
        let turns = (fullness - WAITS).max(0.0) * if inner { INNER_WAIT } else { 1.0 };
        self.relative_time(now) * (fullness.min(WAITS) + turns)
    }

    /// Whether one more call would find the queue at its node full, or next to it.
    pub(super) fn brims(&self, rules: &Rules, now: clock::Instant) -> bool {
        let slots = self.told.map_or(self.slots, |t| t.slots.min(self.slots));
        let room = f32::from(slots) + f32::from(self.queue);
        self.calls(rules, now) + 1.0 > room * BRIM
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

    /// Takes in the end of a call.
    pub(super) fn ended(
        &mut self,
        report: &pick::Report,
        crowd: &Crowd,
        rules: &Rules,
        now: clock::Instant,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = report.load {
            self.tell(load, now);
        }
        if let Some(pace) = report.relative_time {
            let known = self.relative_time(now);
            self.relative_time = (known + (pace - known) / SMOOTHING, now);
        }
        match verdict(report.outcome) {
            Verdict::Good if self.is_slow(crowd, rules) => self.breaker.eject(&rules.breaker, now),
            Verdict::Good => self.breaker.success(),
            Verdict::Bad if crowd.spare => self.breaker.failure(&rules.breaker, now),
            Verdict::Gone => self.breaker.eject(&rules.breaker, now),
            Verdict::Bad | Verdict::None => {}
        }
    }

    /// Whether it is ejected.
    pub(super) fn is_ejected(&self) -> bool {
        self.breaker.is_open()
    }

    fn is_slow(&self, crowd: &Crowd, rules: &Rules) -> bool {
        let limit = crowd.service.map(|usual| usual * rules.slow + SLACK);
        let slow = limit.zip(self.service_us()).is_some_and(|(limit, own)| own > limit);
        slow && crowd.spare
    }

    fn tell(&mut self, load: admit::Load, now: clock::Instant) {
        let total = load.running.saturating_add(load.waiting);
        let others = total.saturating_sub(self.outstanding);
        let fresh = f32::from(others);
        let usual = self.told.map_or(fresh, |t| t.usual + (fresh - t.usual) / SMOOTHING);
        self.told = Some(Told { others, total, usual, slots: load.slots, at: now });
        self.service_us = load.service_us;
    }
}

/// What a result says of the upstream.
enum Verdict {
    /// It serves.
    Good,
    /// Something went wrong; enough of these in a row eject it.
    Bad,
    /// It can't be reached or is leaving.
    Gone,
    /// Nothing.
    None,
}

fn verdict(outcome: retry::Outcome) -> Verdict {
    let Some(reason) = outcome.reason() else {
        return Verdict::Good;
    };
    match reason {
        retry::Reason::Draining | retry::Reason::Unreachable => Verdict::Gone,
        retry::Reason::Cut
        | retry::Reason::Malformed
        | retry::Reason::NotReady
        | retry::Reason::NoUpstream
        | retry::Reason::Timeout => Verdict::Bad,
        retry::Reason::Cancelled
        | retry::Reason::Conflict
        | retry::Reason::Full
        | retry::Reason::LogDown
        | retry::Reason::NoRoute
        | retry::Reason::Quarantined
        | retry::Reason::TooDeep
        | retry::Reason::TooLarge
        | retry::Reason::TooLate
        | retry::Reason::UpstreamShed => Verdict::None,
    }
}
