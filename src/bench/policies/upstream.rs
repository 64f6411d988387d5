//! A modelled upstream and the admission gate of its owner node.

use rand::RngExt;
use rand::rngs;

use crate::admit;
use crate::bench::policies::case;
use crate::bench::policies::setup;
use crate::clock;
use crate::notice;

/// Standard deviation of the logarithm of the call times.
const SIGMA: f64 = 0.5;

/// A modelled upstream.
pub(super) struct Upstream {
    pub(super) gate: admit::Gate,
    /// Tickets of the calls that run.
    running: Vec<admit::Ticket>,
    /// Maximum number of concurrent calls; fewer than it announces if it is lying.
    pub(super) slots: u16,
    pub(super) dead: bool,
    /// What it says of itself.
    pub(super) notice: Option<notice::Relayed>,
    /// When the calls started that began after it named a limit.
    pub(super) limited_starts: Vec<clock::Instant>,
    /// Time for which a tick of the gate is scheduled.
    pub(super) wake: Option<clock::Instant>,
    slow: f64,
    cold: bool,
}

impl Upstream {
    pub(super) fn new(index: usize, fault: case::Fault) -> Self {
        let limits = admit::Limits {
            slots: setup::SLOTS,
            connections: u16::MAX,
            queue: setup::QUEUE_CAPACITY,
        };
        let hit = index == 0;
        let lying = hit && fault == case::Fault::Lying;
        Self {
            gate: admit::Gate::new(limits),
            running: Vec::new(),
            slots: if lying { setup::LYING_SLOTS } else { setup::SLOTS },
            dead: fault == case::Fault::Outage || (hit && fault == case::Fault::Dead),
            notice: None,
            limited_starts: Vec::new(),
            wake: None,
            slow: if hit && fault == case::Fault::Slow { setup::SLOW_FACTOR } else { 1.0 },
            cold: hit && fault == case::Fault::Cold,
        }
    }

    /// Names its limit.
    pub(super) fn name_limit(&mut self) -> admit::Event {
        let limit = Some(admit::Rate::from_millis(setup::LIMIT_MILLIS));
        let notice = notice::Notice { limit, leaving: false };
        self.notice = Some(notice::Relayed { incarnation: 0, identity: None, notice });
        admit::Event::Rate(limit)
    }

    /// Mean time of a call at `now`, in microseconds.
    pub(super) fn mean(&self, now: clock::Instant) -> f64 {
        let warm = now.as_micros() as f64 / setup::WARMUP.as_micros() as f64;
        let cold = if self.cold {
            setup::COLD_FACTOR - (setup::COLD_FACTOR - 1.0) * warm.min(1.0)
        } else {
            1.0
        };
        setup::MEAN_SERVICE_US * self.slow * cold
    }

    /// Starts a call. Returns its time in microseconds, or `None` if the upstream sheds it.
    pub(super) fn start(
        &mut self,
        ticket: admit::Ticket,
        now: clock::Instant,
        rng: &mut rngs::SmallRng,
    ) -> Option<u64> {
        if self.running.len() >= usize::from(self.slots) {
            return None;
        }
        self.running.push(ticket);
        if self.notice.is_some() {
            self.limited_starts.push(now);
        }
        Some((self.mean(now) * log_normal(rng)) as u64)
    }

    /// Ends a call; returns `false` if it was not running.
    pub(super) fn end(&mut self, ticket: admit::Ticket) -> bool {
        let before = self.running.len();
        self.running.retain(|t| *t != ticket);
        self.running.len() < before
    }
}

/// A log-normal number with mean 1.
fn log_normal(rng: &mut rngs::SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (SIGMA * normal - SIGMA * SIGMA / 2.0).exp()
}

/// An exponential number with mean 1.
pub(super) fn exponential(rng: &mut rngs::SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
