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

mod account;

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

/// The credits of an entry node.
///
/// Invariant: each credit was lent to this node and has not expired, or stems from this host's
/// share of the rate while the holder was absent.
#[derive(Debug)]
pub struct Borrower {
    accounts: collections::HashMap<quota::OrganisationId, account::Account>,
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
        let account =
            self.accounts.entry(organisation).or_insert_with(|| account::Account::new(limit, now));
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
            Some(expires) => account.lent.push_front(account::Lent { credits: 1, expires }),
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
                account.lent.push_back(account::Lent { credits, expires: sent.at + lifetime });
                account.standing = account::Standing::Lending;
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
        let mut ask = |account: &mut account::Account, want: u16| {
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
            account::Standing::Denied { until, .. } if now < until => {
                Take::Refused { retry_after: account.next_turn(roster, now) }
            }
            account::Standing::Absent { ref mut probe } => {
                if *probe <= now {
                    *probe = now + account::PROBE_INTERVAL;
                    ask(account, 1);
                }
                account.use_own(roster, now)
            }
            account::Standing::Denied { .. } | account::Standing::Lending => {
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
