//! The credits of one organisation at an entry node, and what its holder said last.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::rngs;

use crate::clock;
use crate::quota;
use crate::quota::borrower;
use crate::quota::roster;

/// Requests whose late answers are still used.
const MAX_SENT: usize = 5;

/// Time between two requests to a holder that does not answer or is not ready.
pub(super) const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time over which the demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Share of the demand during a credit's lifetime for which credits are borrowed ahead. The rest
/// leaves room for variation, so that few credits expire.
const AHEAD: f64 = 0.5;

/// Bounds of the time for which a holder that denied credits is not asked again.
const DENIALS: [time::Duration; 2] =
    [time::Duration::from_millis(20), time::Duration::from_millis(500)];

/// Credits of one request that were not used yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lent {
    pub(super) credits: u16,
    pub(super) expires: clock::Instant,
}

/// A request whose answer may still come.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    pub(super) number: u64,
    pub(super) at: clock::Instant,
}

/// What the holder said last.
#[derive(Clone, Copy, Debug)]
pub(super) enum Standing {
    /// It lends credits, or was not asked yet.
    Lending,
    /// It has none until `until`; the next refused call is told to come at `next`.
    Denied { until: clock::Instant, next: clock::Instant },
    /// It does not answer or is not ready; it is asked again at `probe`.
    Absent { probe: clock::Instant },
}

/// The credits of one organisation.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: quota::Limit,
    pub(super) lent: collections::VecDeque<Lent>,
    /// Credits that expired and have not been returned yet.
    pub(super) expired: u16,
    /// Calls per second, as a moving average, at `at`.
    pub(super) demand: f64,
    pub(super) at: clock::Instant,
    /// Calls that wait for an answer.
    pub(super) waiting: u16,
    /// The requests that may still be answered, oldest first, at most [`MAX_SENT`].
    pub(super) sent: Vec<Sent>,
    /// Until when the latest request is waited for; `None` if no answer is waited for.
    pub(super) due: Option<clock::Instant>,
    /// Requests in a row that were not answered in time.
    pub(super) unanswered: u32,
    pub(super) standing: Standing,
    /// Credits that the node allows itself while the holder is absent.
    pub(super) own: f64,
    pub(super) own_at: clock::Instant,
}

impl Account {
    pub(super) fn new(limit: quota::Limit, now: clock::Instant) -> Self {
        Self {
            limit,
            lent: collections::VecDeque::new(),
            expired: 0,
            demand: 0.0,
            at: now,
            waiting: 0,
            sent: Vec::new(),
            due: None,
            unanswered: 0,
            standing: Standing::Lending,
            own: 0.0,
            own_at: now,
        }
    }

    /// The demand at `now`, in calls per second.
    pub(super) fn demand_at(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand * (-age).exp()
    }

    pub(super) fn record_demand(&mut self, now: clock::Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Drops the credits that have expired.
    pub(super) fn expire(&mut self, now: clock::Instant) {
        let expired = &mut self.expired;
        self.lent.retain(|lent| {
            let valid = now < lent.expires;
            if !valid {
                *expired = expired.saturating_add(lent.credits);
            }
            valid
        });
    }

    pub(super) fn use_credit(&mut self) -> Option<borrower::Credit> {
        let lent = self.lent.front_mut()?;
        let credit = borrower::Credit { expires: Some(lent.expires) };
        lent.credits = lent.credits.saturating_sub(1);
        if lent.credits == 0 {
            self.lent.pop_front();
        }
        Some(credit)
    }

    /// Credits to borrow ahead: none before half of those that the demand calls for are used, so
    /// that each request brings several.
    pub(super) fn missing(&self, lifetime: time::Duration, now: clock::Instant) -> u16 {
        // The casts truncate, and saturate.
        let target = (self.demand_at(now) * lifetime.as_secs_f64() * AHEAD) as u16;
        let stock = self.lent.iter().fold(0u16, |sum, lent| sum.saturating_add(lent.credits));
        if stock > target / 2 { 0 } else { target - stock }
    }

    /// Whether the holder may be asked: no answer is waited for, and it has not denied credits a
    /// short time ago.
    pub(super) fn may_ask(&self, now: clock::Instant) -> bool {
        let denied = matches!(self.standing, Standing::Denied { until, .. } if now < until);
        !denied && self.due.is_none()
    }

    /// Records that the request `number` is sent, whose answer is waited for until `due`.
    pub(super) fn record_ask(&mut self, number: u64, now: clock::Instant, due: clock::Instant) {
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push(Sent { number, at: now });
        self.due = Some(due);
    }

    /// Counts the latest request as unanswered if its time has passed; returns how many in a row
    /// were not answered.
    pub(super) fn miss_answer(&mut self, now: clock::Instant) -> u32 {
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.unanswered += 1;
        }
        self.unanswered
    }

    /// Records that the holder has no credit for `wait`.
    pub(super) fn deny(&mut self, wait: time::Duration, now: clock::Instant) {
        let [min, max] = DENIALS;
        let until = now + wait.clamp(min, max);
        self.standing = Standing::Denied { until, next: now + wait.max(min) };
    }

    /// When the next refused call may come back: one after the other, as fast as this host's share
    /// of the rate.
    pub(super) fn next_turn(
        &mut self,
        roster: &roster::Roster,
        now: clock::Instant,
    ) -> time::Duration {
        let Standing::Denied { next, .. } = &mut self.standing else {
            return PROBE_INTERVAL;
        };
        let turn = (*next).max(now);
        let interval = 1.0 / (self.limit.rate * roster.host_share());
        *next = turn + time::Duration::from_secs_f64(interval.min(1.0));
        turn.since(now)
    }

    /// Records that there is no holder to ask. Nodes start with different parts of a credit, so that
    /// all of them together get the credits of a span evenly spread over it.
    pub(super) fn miss_holder(&mut self, rng: &mut rngs::SmallRng, now: clock::Instant) {
        if !matches!(self.standing, Standing::Absent { .. }) {
            self.own = rng.random_range(0.0..1.0);
            self.own_at = now;
        }
        self.unanswered = 0;
        self.standing = Standing::Absent { probe: now + PROBE_INTERVAL };
    }

    /// Allows a call out of this host's share of the rate.
    pub(super) fn use_own(
        &mut self,
        roster: &roster::Roster,
        now: clock::Instant,
    ) -> borrower::Take {
        let rate = self.limit.rate * roster.host_share();
        let gained = rate * now.since(self.own_at).as_secs_f64();
        let most = (self.limit.burst * roster.host_share()).max(1.0);
        self.own = (self.own + gained).min(most);
        self.own_at = now;
        if self.own >= 1.0 {
            self.own -= 1.0;
            return borrower::Take::Allowed(borrower::Credit::OWN);
        }
        let wait = time::Duration::from_secs_f64(((1.0 - self.own) / rate).min(1.0));
        borrower::Take::Refused { retry_after: wait.max(PROBE_INTERVAL) }
    }
}
