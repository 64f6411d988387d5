//! Log lines of decisions about single calls, with the inputs that decided them.

use std::cell::Cell;
use std::hash;
use std::hash::{Hash as _, Hasher as _};
use std::time;

use http::header;

use crate::admit;
use crate::clock;
use crate::host;
use crate::proxy::refuse;
use crate::quarantine;
use crate::retry;
use crate::version;

#[cfg(test)]
mod tests;

/// Most lines a second. Each costs some microseconds; 200 of them are a thousandth of a core.
const LINES: u32 = 200;

/// One call in this many that are served is logged, at every node that it passes.
const SAMPLE: u64 = 64;

const SECOND: time::Duration = time::Duration::from_secs(1);

/// Bounds the lines of one node. What is left out is counted and said with the next line.
#[derive(Debug, Default)]
pub struct Trace {
    /// Start of the second that is counted.
    since: Cell<clock::Instant>,
    lines: Cell<u32>,
    skipped: Cell<u64>,
}

/// A call that ended without an answer of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ended<'a> {
    /// Its name.
    pub id: &'a header::HeaderValue,
    /// What the caller is told.
    pub refusal: &'a refuse::Refusal,
    /// Version that the node ran when the call came.
    pub version: version::Version,
    /// Time since the call came.
    pub took: time::Duration,
}

/// An attempt that brought no answer.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Name of the call.
    pub id: &'a header::HeaderValue,
    /// Its route.
    pub route: &'a str,
    /// Service it went to.
    pub service: &'a str,
    /// Where it was sent, if anywhere.
    pub host: Option<host::HostId>,
    /// Its number, from 1.
    pub number: u8,
    /// How it ended.
    pub outcome: retry::Outcome,
    /// Whether another attempt follows.
    pub again: bool,
    /// Whether a running call waits for it.
    pub inner: bool,
    /// Time left for the call.
    pub left: time::Duration,
}

/// A call that the upstream's own node did not let in.
#[derive(Clone, Copy, Debug)]
pub struct Turned<'a> {
    /// Name of the call, if it has one.
    pub id: Option<&'a header::HeaderValue>,
    /// Service that it needs.
    pub service: &'a str,
    /// Its kind.
    pub kind: &'a str,
    /// Whether a running call waits for it.
    pub inner: bool,
    /// Why.
    pub reason: retry::Reason,
    /// What the gate held.
    pub load: admit::Load,
    /// Time left until its answer loses part of its worth.
    pub target: time::Duration,
    /// Time left for the call.
    pub left: time::Duration,
    /// When it is told to come back.
    pub after: time::Duration,
}

/// A call that its upstream answered, at its entry.
#[derive(Clone, Copy, Debug)]
pub struct Served<'a> {
    /// Its name.
    pub id: &'a header::HeaderValue,
    /// What the upstream answered.
    pub status: http::StatusCode,
    /// Version that the node ran when the call came.
    pub version: version::Version,
    /// Time since the call came.
    pub took: time::Duration,
}

/// A call that ran, at its upstream's own node.
#[derive(Clone, Copy, Debug)]
pub struct Ran<'a> {
    /// Its name.
    pub id: &'a header::HeaderValue,
    /// Its kind.
    pub kind: &'a str,
    /// Time for which it waited for a slot.
    pub waited: time::Duration,
    /// Time from then on until its answer was read.
    pub ran: time::Duration,
    /// What the gate held when it had ended.
    pub load: admit::Load,
    /// Time left for the call.
    pub left: time::Duration,
}

/// Whether the call `id` is logged although it was served. Every node decides the same, so that its
/// whole path is there.
pub fn samples(id: &header::HeaderValue) -> bool {
    let mut hasher = hash::DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish().is_multiple_of(SAMPLE)
}

impl Trace {
    /// Lines left out since the last one, if one more may be written now.
    fn admit(&self, now: clock::Instant) -> Option<u64> {
        if now.since(self.since.get()) >= SECOND {
            self.since.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= LINES {
            self.skipped.set(self.skipped.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.skipped.take())
    }

    /// The end of a call at its entry.
    pub fn ended(&self, ended: &Ended<'_>, now: clock::Instant) {
        let Some(skipped) = self.admit(now) else { return };
        let refusal = ended.refusal;
        log::info!(
            id = text(ended.id),
            outcome = refuse::name(refusal.outcome),
            reason = reason(refusal.outcome),
            status = refusal.status.as_u16(),
            retry_after_ms = millis(refusal.retry_after.unwrap_or_default()),
            version = ended.version.number(),
            took_ms = millis(ended.took),
            skipped;
            "a call ended without an answer of its upstream"
        );
    }

    /// The answer of an upstream, at the call's entry, if the call is one of the sample.
    pub fn served(&self, served: &Served<'_>, now: clock::Instant) {
        if !samples(served.id) {
            return;
        }
        let Some(skipped) = self.admit(now) else { return };
        log::info!(
            id = text(served.id),
            status = served.status.as_u16(),
            version = served.version.number(),
            took_ms = millis(served.took),
            sample = SAMPLE,
            skipped;
            "an upstream answered a call"
        );
    }

    /// A run at the upstream, if the call is one of the sample.
    pub fn ran(&self, ran: &Ran<'_>, now: clock::Instant) {
        if !samples(ran.id) {
            return;
        }
        let Some(skipped) = self.admit(now) else { return };
        log::info!(
            id = text(ran.id),
            kind = ran.kind,
            waited_ms = millis(ran.waited),
            ran_ms = millis(ran.ran),
            running = ran.load.running,
            waiting = ran.load.waiting,
            slots = ran.load.slots,
            service_us = ran.load.service_us,
            left_ms = millis(ran.left),
            sample = SAMPLE,
            skipped;
            "the upstream ran a call"
        );
    }

    /// An attempt without an answer, at the call's entry.
    pub fn attempt(&self, attempt: &Attempt<'_>, now: clock::Instant) {
        let Some(skipped) = self.admit(now) else { return };
        let host = attempt.host.map(|host| host.to_string()).unwrap_or_default();
        log::info!(
            id = text(attempt.id),
            route = attempt.route,
            service = attempt.service,
            host = host.as_str(),
            attempt = attempt.number,
            outcome = refuse::name(attempt.outcome),
            reason = reason(attempt.outcome),
            again = attempt.again,
            inner = attempt.inner,
            left_ms = millis(attempt.left),
            skipped;
            "an attempt brought no answer"
        );
    }

    /// The end of the upstream beside this node, while requests with the fingerprints `prints` ran
    /// there. Upstreams end too seldom for a bound on the lines.
    pub fn upstream_ended(&self, instance: &str, life: u32, prints: &[quarantine::Fingerprint]) {
        let names: Vec<_> =
            prints.iter().take(quarantine::MAX_FINGERPRINTS).map(ToString::to_string).collect();
        let names = names.join(" ");
        log::warn!(
            instance,
            life,
            running = prints.len(),
            prints = names.as_str();
            "the upstream ended while it ran calls"
        );
    }

    /// A refusal at the upstream's own node.
    pub fn turned(&self, turned: &Turned<'_>, now: clock::Instant) {
        let Some(skipped) = self.admit(now) else { return };
        log::info!(
            id = turned.id.map(text).unwrap_or_default(),
            service = turned.service,
            kind = turned.kind,
            inner = turned.inner,
            reason = turned.reason.as_str(),
            running = turned.load.running,
            waiting = turned.load.waiting,
            slots = turned.load.slots,
            service_us = turned.load.service_us,
            target_ms = millis(turned.target),
            left_ms = millis(turned.left),
            retry_after_ms = millis(turned.after),
            skipped;
            "the upstream's node did not let a call in"
        );
    }
}

fn text(id: &header::HeaderValue) -> &str {
    id.to_str().unwrap_or("not text")
}

fn reason(outcome: retry::Outcome) -> &'static str {
    outcome.reason().map_or("", retry::Reason::as_str)
}

fn millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
