//! State that an entry node keeps for one upstream.

use std::time;

use crate::admit;
use crate::clock;
use crate::configs;
use crate::host;
use crate::notice;
use crate::pick;
use crate::pick::delay;
use crate::pick::outlier;
use crate::pick::overflow;
use crate::retry;
use crate::view;

mod cost;

pub(super) use self::cost::FULL;

/// Weight of a new measurement: one in this many.
const SMOOTHING: f32 = 8.0;

/// Allowance on the limit above which a service time counts as slow, so that small differences
/// between short calls do not count.
const SLOW_MARGIN_US: f32 = 500.0;

/// Settings by which loads and results are judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rules {
    pub(super) breaker: outlier::Limits,
    /// Half-life of the last reported load, in microseconds.
    pub(super) load_half_us: f32,
    /// Half-life of the mean reported load, in microseconds.
    pub(super) mean_half_us: f32,
    /// An upstream that is this many times slower than its peers is an outlier.
    pub(super) slow_factor: f32,
    /// Time within which failures at two hosts count as a simultaneous loss; zero if none do.
    pub(super) loss_window: time::Duration,
    /// Time-out of connection attempts to other nodes.
    pub(super) connect_timeout: time::Duration,
    /// Whether the delay of nodes counts.
    pub(super) node_delay: bool,
    /// Whether calls leave a zone only for emptier ones.
    pub(super) zone_overflow: bool,
}

impl Rules {
    pub(super) fn new(settings: &configs::call::Call) -> Self {
        let breaker = outlier::Limits {
            failures: settings.eject_after.max(1),
            base: time::Duration::from_millis(settings.eject_ms),
            max: time::Duration::from_millis(settings.eject_most_ms),
        };
        let load_half_us = settings.load_half_ms.max(1) as f32 * 1000.0;
        Self {
            breaker,
            load_half_us,
            mean_half_us: 2_000_000.0,
            slow_factor: f32::from(settings.slow_factor.max(2)),
            loss_window: time::Duration::from_millis(settings.loss_window_ms),
            connect_timeout: time::Duration::from_millis(
                configs::proxy::Proxy::default().connect_ms,
            ),
            node_delay: settings.node_delay,
            zone_overflow: settings.zone_overflow,
        }
    }
}

/// Aggregate of the upstreams of one list.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Aggregate {
    /// Lower median of the known service times, in microseconds; `None` if fewer than two are
    /// known.
    pub(super) service_us: Option<f32>,
    /// Whether few enough upstreams are ejected for one more to be ejected because of failures or
    /// slowness.
    pub(super) can_eject: bool,
    /// Delay above which that of a node counts, in microseconds; computed by `delay::base_us`.
    pub(super) base_delay_us: f32,
}

/// The load that came with the last answer.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Running and waiting calls of other entry nodes.
    others: u16,
    /// Running and waiting calls of all entry nodes.
    total: u16,
    /// Slots as the upstream's gate counts them.
    slots: u16,
    /// Smoothed mean of `others`.
    mean_others: f32,
    at: clock::Instant,
}

/// State that an entry node keeps for one upstream.
#[derive(Clone, Debug)]
pub struct Peer {
    host: host::HostId,
    host_incarnation: u64,
    upstream_incarnation: u32,
    /// Distinguishes the peer from earlier ones at the same index of the arena.
    generation: u32,
    /// Whether it is in the current view and mesh.
    pub(super) listed: bool,
    /// Availability zone of the host.
    pub(super) zone: overflow::ZoneKey,
    health: view::Health,
    phase: view::Phase,
    slots: u16,
    /// Calls that may wait at its node.
    queue: u16,
    /// When the warm-up began, and how long it takes, in microseconds; `None` if the upstream is
    /// not warming.
    warming: Option<(clock::Instant, f32)>,
    outstanding: u16,
    reported: Option<ReportedLoad>,
    /// Mean service time that its gate reported; 0 while unknown.
    service_us: u32,
    /// Run time as a multiple of the mean of all upstreams, and when it was last updated.
    relative_time: (f32, clock::Instant),
    /// Delay of its node; not measured for the upstream beside the entry node.
    pub(super) node_delay: delay::Delay,
    /// When its node last responded; `None` if it never did, or an attempt that started later has
    /// failed without a response.
    pub(super) responded_at: Option<clock::Instant>,
    /// Limit that it names, and when that was last heard.
    limit: Option<(admit::Rate, clock::Instant)>,
    /// Until when its limit is used up, and up to which rank of calls.
    used_up: Option<(clock::Instant, admit::Rank)>,
    /// Whether this incarnation has said that it is leaving.
    leaving: bool,
    breaker: outlier::Breaker,
}

impl Peer {
    pub(super) fn new(host: host::HostId, generation: u32) -> Self {
        Self {
            host,
            host_incarnation: 0,
            upstream_incarnation: 0,
            generation,
            listed: false,
            zone: overflow::ZoneKey::default(),
            health: view::Health::Alive,
            phase: view::Phase::Serving,
            slots: 0,
            queue: 0,
            warming: None,
            outstanding: 0,
            reported: None,
            service_us: 0,
            relative_time: (1.0, clock::Instant::ZERO),
            node_delay: delay::Delay::default(),
            responded_at: None,
            limit: None,
            used_up: None,
            leaving: false,
            breaker: outlier::Breaker::new(),
        }
    }

    /// Updates the state from the membership. A new incarnation of the host or of its upstream
    /// resets the measurements.
    pub(super) fn update(
        &mut self,
        host: &view::Host,
        upstream: &view::Upstream,
        max_slots: u16,
        queue: u16,
        warmup: time::Duration,
        now: clock::Instant,
    ) {
        if (self.host_incarnation, self.upstream_incarnation)
            != (host.incarnation, upstream.incarnation)
        {
            self.reported = None;
            self.service_us = 0;
            self.relative_time = (1.0, now);
            self.node_delay = delay::Delay::default();
            self.responded_at = None;
            self.limit = None;
            self.used_up = None;
            self.leaving = false;
            self.breaker = outlier::Breaker::new();
            self.warming = None;
        }
        self.host_incarnation = host.incarnation;
        self.upstream_incarnation = upstream.incarnation;
        self.listed = true;
        self.health = host.health;
        self.slots = upstream.slots.min(max_slots);
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

    /// Host of the upstream.
    pub const fn host(&self) -> host::HostId {
        self.host
    }

    /// Calls of this entry node that have not ended.
    pub const fn outstanding(&self) -> u16 {
        self.outstanding
    }

    /// Calls that it can run at once when it is warm.
    pub const fn slots(&self) -> u16 {
        self.slots
    }

    /// Mean service time that its gate reported, in microseconds; `None` while unknown.
    pub fn service_us(&self) -> Option<f32> {
        (self.service_us > 0).then_some(self.service_us as f32)
    }

    /// Running and waiting calls of all entry nodes by its last report, however old that is.
    pub fn reported_calls(&self) -> u16 {
        self.reported.map_or(0, |r| r.total)
    }

    /// When it has room for a call of `rank` again; `None` if its limit is not used up.
    pub(super) fn room_at(&self, rank: admit::Rank, now: clock::Instant) -> Option<clock::Instant> {
        let (until, highest) = self.used_up?;
        (rank <= highest && now < until).then_some(until)
    }

    /// Whether its limit is used up for a call of `rank`.
    pub(super) fn is_used_up(&self, rank: admit::Rank, now: clock::Instant) -> bool {
        self.room_at(rank, now).is_some()
    }

    /// Whether calls may be sent to it at all.
    pub(super) fn is_open(&self) -> bool {
        let leaves = self.leaving || self.phase == view::Phase::Draining;
        self.listed && !leaves && self.slots > 0
    }

    /// Whether the policies may choose it for a call of `rank`.
    pub(super) fn is_usable(&self, rank: admit::Rank, now: clock::Instant) -> bool {
        self.is_open()
            && self.health != view::Health::Unreachable
            && self.breaker.allows_call(now)
            && !self.is_used_up(rank, now)
    }

    /// Rank for the choice among upstreams that are not usable; the lowest is chosen.
    pub(super) fn fallback_rank(&self) -> (view::Health, clock::Instant) {
        (self.health, self.breaker.next_call_at())
    }

    pub(super) const fn generation(&self) -> u32 {
        self.generation
    }

    pub(super) fn started(&mut self, rules: &Rules, now: clock::Instant) {
        self.outstanding = self.outstanding.saturating_add(1);
        self.breaker.started(&rules.breaker, now);
    }

    /// Whether an attempt that ended at `now` shows that its host does not respond. A response to
    /// any call since the start of the attempt shows that the node is only late.
    pub(super) fn is_silent(
        &self,
        report: &pick::Report,
        rules: &Rules,
        now: clock::Instant,
    ) -> bool {
        let started = report.started_at(now);
        report.is_silent(rules.connect_timeout) && self.responded_at.is_none_or(|at| at < started)
    }

    /// Records the end of a call of `rank`.
    pub(super) fn ended(
        &mut self,
        rank: admit::Rank,
        report: &pick::Report,
        aggregate: &Aggregate,
        rules: &Rules,
        now: clock::Instant,
    ) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = report.load {
            self.record_load(load, now);
            self.record_notice(report.notice.as_ref(), now);
        }
        if report.outcome.is_limited() {
            self.used_up = Some((now + report.retry_after.unwrap_or_default(), rank));
        }
        if let Some(ratio) = report.relative_time {
            let known = self.relative_time(now);
            self.relative_time = (known + (ratio - known) / SMOOTHING, now);
        }
        self.responded_at = self.responded_at.max(report.responded_at);
        if let Some(measured) = report.node_delay.filter(|_| rules.node_delay) {
            self.node_delay.record(measured, now);
        }
        match verdict(report.outcome) {
            Verdict::Good if self.is_slow(aggregate, rules) => {
                self.breaker.eject(&rules.breaker, now)
            }
            Verdict::Good => self.breaker.success(),
            Verdict::Bad if aggregate.can_eject => self.breaker.failure(&rules.breaker, now),
            Verdict::Unavailable => self.breaker.eject(&rules.breaker, now),
            Verdict::Bad | Verdict::None => {}
        }
    }

    /// Whether its breaker is open.
    pub(super) fn is_ejected(&self) -> bool {
        self.breaker.is_open()
    }

    fn is_slow(&self, aggregate: &Aggregate, rules: &Rules) -> bool {
        let limit = aggregate.service_us.map(|median| median * rules.slow_factor + SLOW_MARGIN_US);
        let slow = limit.zip(self.service_us()).is_some_and(|(limit, own)| own > limit);
        slow && aggregate.can_eject
    }

    /// Records what its upstream says of itself. A notice of another incarnation than that of the
    /// membership says nothing of this one.
    fn record_notice(&mut self, relayed: Option<&notice::Relayed>, now: clock::Instant) {
        let notice = match relayed {
            Some(relayed) if relayed.incarnation != self.upstream_incarnation => return,
            Some(relayed) => relayed.notice,
            None => notice::Notice::default(),
        };
        self.limit = notice.limit.map(|rate| (rate, now));
        self.leaving |= notice.leaving;
    }

    fn record_load(&mut self, load: admit::Load, now: clock::Instant) {
        let total = load.running.saturating_add(load.waiting);
        let others = total.saturating_sub(self.outstanding);
        let latest = f32::from(others);
        let mean_others =
            self.reported.map_or(latest, |r| r.mean_others + (latest - r.mean_others) / SMOOTHING);
        self.reported =
            Some(ReportedLoad { others, total, mean_others, slots: load.slots, at: now });
        self.service_us = load.service_us;
    }
}

/// What a result shows about the upstream.
enum Verdict {
    /// The upstream serves.
    Good,
    /// A failure; enough consecutive ones eject the upstream.
    Bad,
    /// The upstream can't be reached or drains; it is ejected at once.
    Unavailable,
    /// Nothing about the upstream.
    None,
}

fn verdict(outcome: retry::Outcome) -> Verdict {
    let Some(reason) = outcome.reason() else {
        return Verdict::Good;
    };
    match reason {
        retry::Reason::Draining | retry::Reason::Unreachable => Verdict::Unavailable,
        retry::Reason::Cut
        | retry::Reason::Malformed
        | retry::Reason::NotReady
        | retry::Reason::NoUpstream
        | retry::Reason::Timeout => Verdict::Bad,
        retry::Reason::Cancelled
        | retry::Reason::Conflict
        | retry::Reason::Full
        | retry::Reason::Limited
        | retry::Reason::LogDown
        | retry::Reason::NoRoute
        | retry::Reason::OverLimit
        | retry::Reason::Overloaded
        | retry::Reason::Quarantined
        | retry::Reason::TooDeep
        | retry::Reason::TooLarge
        | retry::Reason::TooLate
        | retry::Reason::Unauthenticated
        | retry::Reason::UpstreamShed => Verdict::None,
    }
}
