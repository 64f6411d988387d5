//! The accounts that a host keeps for other nodes and for itself.

use std::collections;
use std::time;

use crate::clock;
use crate::host;
use crate::quota;
use crate::quota::roster;
use crate::quota::wire;
use crate::token_bucket;

/// Requests of a node that may arrive out of order.
const REORDER_WINDOW: u64 = 64;

/// The account of an organisation.
#[derive(Clone, Copy, Debug)]
struct Account {
    bucket: token_bucket::Bucket,
    /// From when on credits are lent.
    ready: clock::Instant,
}

/// The requests that were seen from one node, so that a repeated one is not counted twice.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    session: u32,
    /// The highest number seen.
    highest: u64,
    /// Bit n is set if the request numbered `highest - n` was seen.
    recent: u64,
}

impl Seen {
    /// Records a request; `false` if it was seen before or is too old to tell.
    fn record(&mut self, session: u32, number: u64) -> bool {
        if session != self.session {
            *self = Self { session, highest: number, recent: 1 };
            return true;
        }
        if number > self.highest {
            let ahead = number - self.highest;
            self.recent = if ahead < REORDER_WINDOW { self.recent << ahead | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = if behind < REORDER_WINDOW { 1 << behind } else { return false };
        let new = self.recent & bit == 0;
        self.recent |= bit;
        new
    }
}

/// The accounts that a host keeps.
///
/// Invariant: an account exists only while this host is its holder, and lends nothing before
/// [`quota::HANDOVER`] has passed since the last change of the hosts before its creation.
#[derive(Debug, Default)]
pub struct Holder {
    accounts: collections::HashMap<quota::OrganisationId, Account>,
    seen: collections::HashMap<host::HostId, Seen>,
}

impl Holder {
    /// Applies a change of `roster`: accounts that others hold now are dropped.
    pub fn update(&mut self, roster: &roster::Roster) {
        self.accounts.retain(|id, _| roster.is_holder(*id));
        self.seen.retain(|host, _| roster.has(*host));
    }

    /// Drops the accounts of organisations that are not in the configuration any more.
    pub fn retain(&mut self, exists: impl Fn(quota::OrganisationId) -> bool) {
        self.accounts.retain(|id, _| exists(*id));
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether this host keeps no account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Answers the request of the node on `from`. `limit` is that of the organisation in this
    /// host's configuration; `None` if there it has none. Returns `None` for a repeated request.
    pub fn ask(
        &mut self,
        from: host::HostId,
        ask: &wire::Ask,
        limit: Option<quota::Limit>,
        (roster, tolerance): (&roster::Roster, &quota::Tolerance),
        now: clock::Instant,
    ) -> Option<wire::Verdict> {
        if !self.seen.entry(from).or_default().record(ask.session, ask.number) {
            return None;
        }
        let Some(limit) = limit.filter(|_| roster.is_holder(ask.organisation)) else {
            return Some(wire::Verdict::NotReady);
        };
        let account = self
            .accounts
            .entry(ask.organisation)
            .or_insert_with(|| open(limit, roster, tolerance, now));
        if now < account.ready {
            return Some(wire::Verdict::NotReady);
        }
        let bucket = &mut account.bucket;
        bucket.set_limit(limit, roster.share(), now);
        bucket.put_back(ask.returned, now);
        let credits = bucket.take(ask.want, now);
        if credits > 0 {
            let lifetime_ms = millis(tolerance.lifetime(limit));
            return Some(wire::Verdict::Lent { credits, lifetime_ms });
        }
        Some(wire::Verdict::Denied { wait_ms: millis(bucket.book(ask.waiting, now)) })
    }
}

/// Opens an account. While the hosts did not change, no other host has lent credits of it, so that
/// the bucket has filled.
fn open(
    limit: quota::Limit,
    roster: &roster::Roster,
    tolerance: &quota::Tolerance,
    now: clock::Instant,
) -> Account {
    let ready = roster.changed() + quota::HANDOVER;
    let (share, calm) = (roster.share(), now.since(ready).as_secs_f64());
    let tokens = (tolerance.part(limit) + limit.rate * calm) * share;
    Account { bucket: token_bucket::Bucket::new(limit, share, tokens, now.max(ready)), ready }
}

fn millis(time: time::Duration) -> u16 {
    u16::try_from(time.as_millis()).unwrap_or(u16::MAX)
}
