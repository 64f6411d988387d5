//! The credits of an entry node.

use std::collections;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::clock;
use crate::host;
use crate::quota;
use crate::quota::roster;
use crate::quota::wire;

/// Bounds of the time for which a request to a holder waits for its answer before another one is
/// sent.
const ASK_TIMEOUTS: [time::Duration; 2] =
    [time::Duration::from_millis(20), time::Duration::from_millis(300)];

/// That time as a multiple of the mean time that answers take.
const TIMEOUT_FACTOR: u32 = 4;

/// The mean before the first answer: that of a holder in the same region.
const FIRST_ANSWER_TIME: time::Duration = time::Duration::from_millis(10);

/// Weight of one answer in the mean, as the divisor.
const ANSWER_WEIGHT: u32 = 8;

/// Requests to a holder without an answer after which calls no longer wait for it. Where a third of
/// the datagrams is lost, one request in eighteen ends this way.
const MAX_ASKS: u32 = 5;

/// Requests whose late answers are still used.
const MAX_SENT: usize = 5;

/// Time between two requests to a holder that does not answer or is not ready.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Time over which the demand is averaged.
const DEMAND_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Share of the demand during a credit's lifetime for which credits are borrowed ahead. The rest
/// leaves room for variation, so that few credits expire.
const AHEAD: f64 = 0.5;

/// Bounds of the time for which a holder that denied credits is not asked again.
const DENIALS: [time::Duration; 2] =
    [time::Duration::from_millis(20), time::Duration::from_millis(500)];

/// The right to make one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Credit {
    /// Until when it may be used; `None` if it was not lent by a holder.
    expires: Option<clock::Instant>,
}

impl Credit {
    /// A credit that this node allows itself.
    pub const OWN: Credit = Credit { expires: None };
}

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Take {
    /// The call may be made.
    Allowed(Credit),
    /// The call has to wait for the holder's answer: [`Borrower::again`] decides when one has come,
    /// and at this time at the latest.
    Wait {
        /// When to decide at the latest.
        until: clock::Instant,
    },
    /// This process is not a member of the mesh, so that it doesn't know its share.
    Unready,
    /// The limit is reached.
    Refused {
        /// Time after which there will be a credit.
        retry_after: time::Duration,
    },
}

/// A request to a holder that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outgoing {
    /// The holder.
    pub to: host::HostId,
    /// The request.
    pub ask: wire::Ask,
}

/// Credits of one request that were not used yet.
#[derive(Clone, Copy, Debug)]
struct Lent {
    credits: u16,
    expires: clock::Instant,
}

/// A request whose answer may still come.
#[derive(Clone, Copy, Debug)]
struct Sent {
    number: u64,
    at: clock::Instant,
}

/// What the holder said last.
#[derive(Clone, Copy, Debug)]
enum Standing {
    /// It lends credits, or was not asked yet.
    Lending,
    /// It has none until `until`; the next refused call is told to come at `next`.
    Denied { until: clock::Instant, next: clock::Instant },
    /// It does not answer or is not ready; it is asked again at `probe`.
    Absent { probe: clock::Instant },
}

/// The credits of one organisation.
#[derive(Debug)]
struct Account {
    limit: quota::Limit,
    lent: collections::VecDeque<Lent>,
    /// Credits that expired and have not been returned yet.
    expired: u16,
    /// Calls per second, as a moving average, at `at`.
    demand: f64,
    at: clock::Instant,
    /// Calls that wait for an answer.
    waiting: u16,
    /// The requests that may still be answered, oldest first, at most [`MAX_SENT`].
    sent: Vec<Sent>,
    /// Until when the latest request is waited for; `None` if no answer is waited for.
    due: Option<clock::Instant>,
    /// Requests in a row that were not answered in time.
    unanswered: u32,
    standing: Standing,
    /// Credits that the node allows itself while the holder is absent.
    own: f64,
    own_at: clock::Instant,
}

/// The credits of an entry node.
///
/// Invariant: each credit was lent to this node and has not expired, or stems from this host's
/// share of the rate while the holder was absent.
#[derive(Debug)]
pub struct Borrower {
    accounts: collections::HashMap<quota::OrganisationId, Account>,
    tolerance: quota::Tolerance,
    session: u32,
    number: u64,
    /// Mean time that answers take.
    answer_time: time::Duration,
    rng: rngs::SmallRng,
}

impl Borrower {
    /// A node without credits. `seed` makes it differ from the other nodes and from earlier
    /// processes of its own.
    pub fn new(tolerance: quota::Tolerance, seed: u64) -> Self {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let session = rng.random();
        Self {
            accounts: collections::HashMap::new(),
            tolerance,
            session,
            number: 0,
            answer_time: FIRST_ANSWER_TIME,
            rng,
        }
    }

    /// Drops the accounts of organisations that are not in the configuration any more.
    pub fn retain(&mut self, exists: impl Fn(quota::OrganisationId) -> bool) {
        self.accounts.retain(|id, account| account.waiting > 0 || exists(*id));
    }

    /// Applies a change of the holders: requests to former ones are not waited for.
    pub fn update(&mut self) {
        for account in self.accounts.values_mut() {
            account.due = None;
            account.unanswered = 0;
        }
    }

    /// Decides on a new call of `organisation`. A request to the holder may be added to `out`.
    pub fn take(
        &mut self,
        organisation: quota::OrganisationId,
        limit: quota::Limit,
        roster: &roster::Roster,
        now: clock::Instant,
        out: &mut Vec<Outgoing>,
    ) -> Take {
        let account = self.accounts.entry(organisation).or_insert_with(|| Account::new(limit, now));
        account.limit = limit;
        account.record_demand(now);
        self.decide(organisation, roster, now, out)
    }

    /// Decides again on a call that had to wait.
    pub fn again(
        &mut self,
        organisation: quota::OrganisationId,
        roster: &roster::Roster,
        now: clock::Instant,
        out: &mut Vec<Outgoing>,
    ) -> Take {
        self.leave(organisation);
        self.decide(organisation, roster, now, out)
    }

    /// Records that a call which had to wait is not made.
    pub fn leave(&mut self, organisation: quota::OrganisationId) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Takes back the credit of a call that certainly did not run.
    pub fn give_back(&mut self, organisation: quota::OrganisationId, credit: Credit) {
        let Some(account) = self.accounts.get_mut(&organisation) else { return };
        match credit.expires {
            Some(expires) => account.lent.push_front(Lent { credits: 1, expires }),
            None => account.own += 1.0,
        }
    }

    /// Applies the answer of a holder; `true` if calls that wait can be decided again.
    pub fn reply(&mut self, reply: &wire::Reply, now: clock::Instant) -> bool {
        let Some(account) = self.accounts.get_mut(&reply.organisation) else { return false };
        if reply.session != self.session {
            return false;
        }
        let Some(index) = account.sent.iter().position(|sent| sent.number == reply.number) else {
            return false;
        };
        let sent = account.sent.remove(index);
        let mean = self.answer_time * (ANSWER_WEIGHT - 1) + now.since(sent.at);
        self.answer_time = mean / ANSWER_WEIGHT;
        account.due = None;
        account.unanswered = 0;
        match reply.verdict {
            wire::Verdict::Lent { credits, lifetime_ms } => {
                let lifetime = time::Duration::from_millis(u64::from(lifetime_ms));
                account.lent.push_back(Lent { credits, expires: sent.at + lifetime });
                account.standing = Standing::Lending;
            }
            wire::Verdict::Denied { wait_ms } => {
                let wait = time::Duration::from_millis(u64::from(wait_ms));
                account.deny(wait, now);
            }
            wire::Verdict::NotReady => account.miss_holder(&mut self.rng, now),
        }
        true
    }

    fn decide(
        &mut self,
        organisation: quota::OrganisationId,
        roster: &roster::Roster,
        now: clock::Instant,
        out: &mut Vec<Outgoing>,
    ) -> Take {
        let account = self.accounts.get_mut(&organisation).filter(|_| roster.is_member());
        let Some(account) = account else { return Take::Unready };
        account.expire(now);
        if account.miss_answer(now) >= MAX_ASKS {
            account.miss_holder(&mut self.rng, now);
        }
        let lifetime = self.tolerance.lifetime(account.limit);
        let [min, max] = ASK_TIMEOUTS;
        let due = now + (self.answer_time * TIMEOUT_FACTOR).clamp(min, max);
        let mut ask = |account: &mut Account, want: u16| {
            self.number += 1;
            account.record_ask(self.number, now, due);
            let ask = wire::Ask {
                session: self.session,
                number: self.number,
                organisation,
                want,
                waiting: account.waiting,
                returned: std::mem::take(&mut account.expired),
            };
            out.push(Outgoing { to: roster.holder(organisation), ask });
        };
        if let Some(credit) = account.use_credit() {
            let missing = account.missing(lifetime, now);
            if missing > 0 && account.may_ask(now) {
                ask(account, missing);
            }
            return Take::Allowed(credit);
        }
        match account.standing {
            Standing::Denied { until, .. } if now < until => {
                Take::Refused { retry_after: account.next_turn(roster, now) }
            }
            Standing::Absent { ref mut probe } => {
                if *probe <= now {
                    *probe = now + PROBE_INTERVAL;
                    ask(account, 1);
                }
                account.use_own(roster, now)
            }
            Standing::Denied { .. } | Standing::Lending => {
                account.waiting = account.waiting.saturating_add(1);
                if account.may_ask(now) {
                    let want = account.waiting.saturating_add(account.missing(lifetime, now));
                    ask(account, want);
                }
                Take::Wait { until: account.due.unwrap_or(now) }
            }
        }
    }
}

impl Account {
    fn new(limit: quota::Limit, now: clock::Instant) -> Self {
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
    fn demand_at(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.demand * (-age).exp()
    }

    fn record_demand(&mut self, now: clock::Instant) {
        self.demand = self.demand_at(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Drops the credits that have expired.
    fn expire(&mut self, now: clock::Instant) {
        let expired = &mut self.expired;
        self.lent.retain(|lent| {
            let valid = now < lent.expires;
            if !valid {
                *expired = expired.saturating_add(lent.credits);
            }
            valid
        });
    }

    fn use_credit(&mut self) -> Option<Credit> {
        let lent = self.lent.front_mut()?;
        let credit = Credit { expires: Some(lent.expires) };
        lent.credits = lent.credits.saturating_sub(1);
        if lent.credits == 0 {
            self.lent.pop_front();
        }
        Some(credit)
    }

    /// Credits to borrow ahead: none before half of those that the demand calls for are used, so
    /// that each request brings several.
    fn missing(&self, lifetime: time::Duration, now: clock::Instant) -> u16 {
        // The casts truncate, and saturate.
        let target = (self.demand_at(now) * lifetime.as_secs_f64() * AHEAD) as u16;
        let stock = self.lent.iter().fold(0u16, |sum, lent| sum.saturating_add(lent.credits));
        if stock > target / 2 { 0 } else { target - stock }
    }

    /// Whether the holder may be asked: no answer is waited for, and it has not denied credits a
    /// short time ago.
    fn may_ask(&self, now: clock::Instant) -> bool {
        let denied = matches!(self.standing, Standing::Denied { until, .. } if now < until);
        !denied && self.due.is_none()
    }

    /// Records that the request `number` is sent, whose answer is waited for until `due`.
    fn record_ask(&mut self, number: u64, now: clock::Instant, due: clock::Instant) {
        if self.sent.len() == MAX_SENT {
            self.sent.remove(0);
        }
        self.sent.push(Sent { number, at: now });
        self.due = Some(due);
    }

    /// Counts the latest request as unanswered if its time has passed; returns how many in a row
    /// were not answered.
    fn miss_answer(&mut self, now: clock::Instant) -> u32 {
        if self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.unanswered += 1;
        }
        self.unanswered
    }

    /// Records that the holder has no credit for `wait`.
    fn deny(&mut self, wait: time::Duration, now: clock::Instant) {
        let [min, max] = DENIALS;
        let until = now + wait.clamp(min, max);
        self.standing = Standing::Denied { until, next: now + wait.max(min) };
    }

    /// When the next refused call may come back: one after the other, as fast as this host's share
    /// of the rate.
    fn next_turn(&mut self, roster: &roster::Roster, now: clock::Instant) -> time::Duration {
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
    fn miss_holder(&mut self, rng: &mut rngs::SmallRng, now: clock::Instant) {
        if !matches!(self.standing, Standing::Absent { .. }) {
            self.own = rng.random_range(0.0..1.0);
            self.own_at = now;
        }
        self.unanswered = 0;
        self.standing = Standing::Absent { probe: now + PROBE_INTERVAL };
    }

    /// Allows a call out of this host's share of the rate.
    fn use_own(&mut self, roster: &roster::Roster, now: clock::Instant) -> Take {
        let rate = self.limit.rate * roster.host_share();
        let gained = rate * now.since(self.own_at).as_secs_f64();
        let most = (self.limit.burst * roster.host_share()).max(1.0);
        self.own = (self.own + gained).min(most);
        self.own_at = now;
        if self.own >= 1.0 {
            self.own -= 1.0;
            return Take::Allowed(Credit::OWN);
        }
        let wait = time::Duration::from_secs_f64(((1.0 - self.own) / rate).min(1.0));
        Take::Refused { retry_after: wait.max(PROBE_INTERVAL) }
    }
}
