//! Log lines on single calls, with the inputs of the decisions on them.

use std::cell::Cell;
use std::hash;
use std::hash::{Hash as _, Hasher as _};
use std::net;
use std::time;

use http::header;

use crate::admit;
use crate::clock;
use crate::host;
use crate::mesh;
use crate::node;
use crate::notice;
use crate::proxy::answer;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::quarantine;
use crate::retry;
use crate::version;

#[cfg(test)]
mod tests;

/// Maximum number of lines a second. Each takes a few microseconds; 200 of them use 0.1 % of a
/// core.
const MAX_LINES_PER_SECOND: u32 = 200;

/// One in this many served calls is logged, at every node that it passes.
const SAMPLE_ONE_IN: u64 = 64;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Writes the log lines, up to a maximum number a second. The next line states how many were left
/// out.
#[derive(Debug, Default)]
pub struct Trace {
    /// Start of the current second.
    since: Cell<clock::Instant>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

/// A call that ended without an answer of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// What the caller gets.
    pub refusal: &'a refuse::Refusal,
    /// Configuration version in force when the call arrived.
    pub version: version::Version,
    /// Time since the call arrived.
    pub took: time::Duration,
}

/// A failed attempt, at the entry node.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// Route of the call.
    pub route: &'a str,
    /// Service of the call.
    pub service: &'a str,
    /// The host that was picked; `None` if there was none.
    pub host: Option<host::HostId>,
    /// Number of the attempt, from 1.
    pub number: u8,
    /// Outcome of the attempt.
    pub outcome: retry::Outcome,
    /// Who vouches that it was not run; `None` if it may have run.
    pub by: Option<proof::By>,
    /// Whether another attempt follows.
    pub again: bool,
    /// Whether that one replaces this one, which reached no upstream.
    pub diverted: bool,
    /// Retries left in the budget of the service.
    pub budget: u32,
    /// The other nested calls of the same running call; `None` if they were ignored.
    pub others: Option<retry::Others>,
    /// Whether the call is nested.
    pub nested: bool,
    /// Time remaining until the deadline.
    pub remaining: time::Duration,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Destination {
    /// To another node, with the address of its host.
    Node(host::HostId),
    /// To the local upstream, with its address.
    Upstream(net::SocketAddr),
}

impl Destination {
    /// The name used in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Node(_) => "node",
            Self::Upstream(_) => "upstream",
        }
    }
}

/// A request that is sent again on another connection, as nothing of it was sent.
#[derive(Clone, Copy, Debug)]
pub struct Resent<'a> {
    /// Request id, if there is one.
    pub id: Option<&'a header::HeaderValue>,
    /// Where the request is sent.
    pub to: Destination,
    /// Number of the connection on which it is sent now; the first one is 1.
    pub connection: u8,
}

/// A limit that an upstream names.
#[derive(Clone, Copy, Debug)]
pub struct LimitInForce {
    /// The limit, and what is left of it.
    pub allowance: admit::Allowance,
    /// Time since an answer of the upstream, or another node, last named it.
    pub age: time::Duration,
}

/// A call that the owner node did not admit.
#[derive(Clone, Copy, Debug)]
pub struct Refused<'a> {
    /// Request id, if there is one.
    pub id: Option<&'a header::HeaderValue>,
    /// Service of the call.
    pub service: &'a str,
    /// Kind of the call.
    pub kind: &'a str,
    /// Whether the call is nested.
    pub nested: bool,
    /// Why it was not admitted.
    pub reason: retry::Reason,
    /// Load of the upstream.
    pub load: admit::Load,
    /// Slots that are reserved for urgent calls.
    pub reserved: usize,
    /// The limit that the upstream names; `None` if it names none.
    pub limit: Option<LimitInForce>,
    /// Time remaining to meet the target latency.
    pub target: time::Duration,
    /// Time remaining until the deadline.
    pub remaining: time::Duration,
    /// Delay after which the call may be retried.
    pub retry_after: time::Duration,
}

/// A call whose organisation had reached its limit, at the entry node.
#[derive(Clone, Copy, Debug)]
pub struct Limited<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// The organisation.
    pub organisation: &'a mesh::Organisation,
    /// Delay after which it will have a credit.
    pub retry_after: time::Duration,
}

/// A nested call that its entry node did not send, as its running call is lost.
#[derive(Clone, Copy, Debug)]
pub struct NotSent<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// Kind of the call.
    pub kind: &'a str,
    /// What the running call has lost, and what is known of such losses.
    pub loss: &'a retry::FatalLoss,
}

/// A notice of the local upstream that has changed or can't be read.
#[derive(Clone, Copy, Debug)]
pub struct Noticed<'a> {
    /// The upstream.
    pub local: &'a node::LocalUpstream,
    /// What it says now.
    pub notice: notice::Notice,
    /// Whether it names a limit that is no number.
    pub malformed: bool,
    /// Request id of the call whose answer had the notice.
    pub id: Option<&'a header::HeaderValue>,
}

/// An answer of the local upstream that was not believed.
#[derive(Clone, Debug)]
pub struct Disbelieved<'a> {
    /// Request id of the call that waited for its answer, if it has one.
    pub id: Option<&'a header::HeaderValue>,
    /// The upstream.
    pub local: &'a node::LocalUpstream,
    /// The answer, and why it was not believed.
    pub rejected: answer::Rejected,
}

/// A call that its upstream answered, at the entry node.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// Status of the upstream's answer.
    pub status: http::StatusCode,
    /// Configuration version in force when the call arrived.
    pub version: version::Version,
    /// Time since the call arrived.
    pub took: time::Duration,
}

/// A call that ran, at the owner node.
#[derive(Clone, Copy, Debug)]
pub struct Ran<'a> {
    /// Request id.
    pub id: &'a header::HeaderValue,
    /// Kind of the call.
    pub kind: &'a str,
    /// Name of the organisation that made it, if it is known.
    pub organisation: Option<&'a header::HeaderValue>,
    /// Time for which the call waited for a slot.
    pub waited: time::Duration,
    /// Time from then on until its answer was read.
    pub ran: time::Duration,
    /// Load of the upstream after the call.
    pub load: admit::Load,
    /// Slots that are reserved for urgent calls then.
    pub reserved: usize,
    /// Time remaining until the deadline.
    pub remaining: time::Duration,
}

/// Whether the call `id` is in the sample of served calls that are logged. All nodes decide alike,
/// so that the whole path of a call is logged.
pub fn is_sampled(id: &header::HeaderValue) -> bool {
    let mut hasher = hash::DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE_ONE_IN)
}

impl Trace {
    /// Reserves a line and returns the number of lines left out since the last one; `None` if no
    /// line may be written now.
    fn reserve_line(&self, now: clock::Instant) -> Option<u64> {
        if now.since(self.since.get()) >= SECOND {
            self.since.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_LINES_PER_SECOND {
            self.skipped.set(self.skipped.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.skipped.take())
    }

    /// Logs a call that ended without an answer of its upstream, at the entry node.
    pub fn ended(&self, ended: &Ended<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let refusal = ended.refusal;
        log::info!(
            id = text(ended.id),
            outcome = refuse::name(refusal.outcome()),
            by = by(refusal.by()),
            reason = reason(refusal.outcome()),
            status = refusal.status().as_u16(),
            retry_after_ms = millis(refusal.retry_after().unwrap_or_default()),
            version = ended.version.number(),
            took_ms = millis(ended.took),
            skipped;
            "a call ended without an answer of its upstream"
        );
    }

    /// Logs a call whose organisation had reached its limit.
    pub fn limited(&self, limited: &Limited<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let limit = limited.organisation.limit;
        log::info!(
            id = text(limited.id),
            organisation = limited.organisation.name.as_str(),
            rate_per_s = limit.map_or(0.0, |limit| limit.rate),
            burst = limit.map_or(0.0, |limit| limit.burst),
            retry_after_ms = millis(limited.retry_after),
            skipped;
            "the organisation has reached its limit"
        );
    }

    /// Logs a request that is sent again on another connection.
    pub fn resent(&self, resent: &Resent<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let Resent { id, to, connection } = *resent;
        let address = match to {
            Destination::Node(host) => host.to_string(),
            Destination::Upstream(address) => address.to_string(),
        };
        log::info!(
            id = id.map(text).unwrap_or_default(),
            to = to.as_str(),
            address = address.as_str(),
            connection,
            skipped;
            "a request is sent again on another connection as nothing of it was sent"
        );
    }

    /// Logs a nested call that is not sent.
    pub fn not_sent(&self, not_sent: &NotSent<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let NotSent { id, kind, loss } = *not_sent;
        log::info!(
            id = text(id),
            kind,
            lost_kind = loss.kind.as_str(),
            lost = loss.losses,
            runs = loss.runs,
            survived = loss.survived,
            skipped;
            "a nested call is not sent as its running call has lost another one"
        );
    }

    /// Logs a notice of the local upstream, at its node.
    pub fn noticed(&self, noticed: &Noticed<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let Noticed { local, notice, malformed, id } = noticed;
        log::info!(
            id = id.map(text).unwrap_or_default(),
            instance = local.instance.as_str(),
            life = local.upstream.incarnation,
            limited = notice.limit.is_some(),
            limit_per_s = notice.limit.map_or(0.0, admit::Rate::per_second),
            leaving = notice.leaving,
            malformed = *malformed,
            skipped;
            "the upstream said something else of itself"
        );
    }

    /// Logs an answer of the local upstream that was not believed.
    pub fn disbelieved(&self, disbelieved: &Disbelieved<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let Disbelieved { id, local, rejected } = disbelieved;
        log::warn!(
            id = id.map(text).unwrap_or_default(),
            echo = rejected.echo.as_ref().map(text).unwrap_or_default(),
            status = rejected.status.map_or(0, |status| status.as_u16()),
            why:% = rejected.mismatch,
            instance = local.instance.as_str(),
            life = local.upstream.incarnation,
            skipped;
            "an answer of the upstream was not believed"
        );
    }

    /// Logs a call that its upstream answered, at the entry node, if it is in the sample.
    pub fn served(&self, served: &Served<'_>, now: clock::Instant) {
        if !is_sampled(served.id) {
            return;
        }
        let Some(skipped) = self.reserve_line(now) else { return };
        log::info!(
            id = text(served.id),
            status = served.status.as_u16(),
            version = served.version.number(),
            took_ms = millis(served.took),
            sample = SAMPLE_ONE_IN,
            skipped;
            "an upstream answered a call"
        );
    }

    /// Logs a call that ran, at the owner node, if it is in the sample.
    pub fn ran(&self, ran: &Ran<'_>, now: clock::Instant) {
        if !is_sampled(ran.id) {
            return;
        }
        let Some(skipped) = self.reserve_line(now) else { return };
        log::info!(
            id = text(ran.id),
            kind = ran.kind,
            organisation = ran.organisation.map(text).unwrap_or_default(),
            waited_ms = millis(ran.waited),
            ran_ms = millis(ran.ran),
            running = ran.load.running,
            waiting = ran.load.waiting,
            slots = ran.load.slots,
            reserved = ran.reserved,
            service_us = ran.load.service_us,
            left_ms = millis(ran.remaining),
            sample = SAMPLE_ONE_IN,
            skipped;
            "the upstream ran a call"
        );
    }

    /// Logs a failed attempt, at the entry node.
    pub fn attempt(&self, attempt: &Attempt<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        let host = attempt.host.map(|host| host.to_string()).unwrap_or_default();
        log::info!(
            id = text(attempt.id),
            route = attempt.route,
            service = attempt.service,
            host = host.as_str(),
            attempt = attempt.number,
            outcome = refuse::name(attempt.outcome),
            by = by(attempt.by),
            reason = reason(attempt.outcome),
            again = attempt.again,
            diverted = attempt.diverted,
            budget = attempt.budget,
            siblings = attempt.others.is_some(),
            siblings_running = attempt.others.map_or(0, |others| others.running),
            siblings_waiting = attempt.others.map_or(0, |others| others.waiting),
            sibling_lost = attempt.others.is_some_and(|others| others.lost),
            inner = attempt.nested,
            left_ms = millis(attempt.remaining),
            skipped;
            "an attempt brought no answer"
        );
    }

    /// Logs a crash of the local upstream while requests with these fingerprints ran there. Crashes
    /// are too rare to need a limit on the lines.
    pub fn upstream_crashed(
        &self,
        instance: &str,
        incarnation: u32,
        fingerprints: &[quarantine::Fingerprint],
    ) {
        let names: Vec<_> = fingerprints
            .iter()
            .take(quarantine::MAX_FINGERPRINTS)
            .map(ToString::to_string)
            .collect();
        let names = names.join(" ");
        log::warn!(
            instance,
            life = incarnation,
            running = fingerprints.len(),
            prints = names.as_str();
            "the upstream crashed while it ran calls"
        );
    }

    /// Logs a call that the owner node did not admit.
    pub fn refused(&self, refused: &Refused<'_>, now: clock::Instant) {
        let Some(skipped) = self.reserve_line(now) else { return };
        log::info!(
            id = refused.id.map(text).unwrap_or_default(),
            service = refused.service,
            kind = refused.kind,
            inner = refused.nested,
            reason = refused.reason.as_str(),
            running = refused.load.running,
            waiting = refused.load.waiting,
            slots = refused.load.slots,
            reserved = refused.reserved,
            service_us = refused.load.service_us,
            limit_per_s = refused.limit.map_or(0.0, |limit| limit.allowance.rate.per_second()),
            limit_left = refused.limit.map_or(0, |limit| limit.allowance.left),
            limit_age_ms = refused.limit.map_or(0, |limit| millis(limit.age)),
            target_ms = millis(refused.target),
            left_ms = millis(refused.remaining),
            retry_after_ms = millis(refused.retry_after),
            skipped;
            "the upstream's node did not let a call in"
        );
    }
}

fn text(id: &header::HeaderValue) -> &str {
    id.to_str().unwrap_or("not text")
}

fn by(by: Option<proof::By>) -> &'static str {
    by.map_or("", proof::By::as_str)
}

fn reason(outcome: retry::Outcome) -> &'static str {
    outcome.reason().map_or("", retry::Reason::as_str)
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
