//! An attempt in flight, reported to the picker when it ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time;

use crate::admit;
use crate::clock;
use crate::context;
use crate::notice;
use crate::pick;
use crate::retry;
use crate::rollout;

#[cfg(test)]
mod tests;

/// What the entry node expects of an attempt at the upstream beside another node.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Mean run time of the call's kind; `None` if unknown.
    pub run: Option<time::Duration>,
    /// When the caller gives up.
    pub deadline: clock::Instant,
}

/// An attempt at a picked upstream. Dropped before its end, it is reported as cancelled, since its
/// caller has left.
pub struct Attempt {
    ctx: context::Context,
    picker: Rc<RefCell<pick::Picker>>,
    choice: pick::Choice,
    started: clock::Instant,
    load: Option<admit::Load>,
    notice: Option<notice::Relayed>,
    retry_after: Option<time::Duration>,
    relative_time: Option<f32>,
    expected: Option<Expected>,
    node_delay: Option<time::Duration>,
    responded_at: Option<clock::Instant>,
    /// Whether the caller broke off the body of the request.
    broken_off: bool,
    state: retry::Attempt,
    ended: bool,
}

impl Attempt {
    /// Starts an attempt and reports the start to the picker.
    pub fn start(
        ctx: context::Context,
        picker: Rc<RefCell<pick::Picker>>,
        choice: pick::Choice,
    ) -> Self {
        let started = ctx.now();
        picker.borrow_mut().started(choice, started);
        let state = retry::Attempt::new();
        Self {
            ctx,
            picker,
            choice,
            started,
            load: None,
            notice: None,
            retry_after: None,
            relative_time: None,
            expected: None,
            node_delay: None,
            responded_at: None,
            broken_off: false,
            state,
            ended: false,
        }
    }

    /// Sets the load, and what the upstream says of itself, that the answer carried.
    pub fn set_load(&mut self, load: Option<admit::Load>, notice: Option<notice::Relayed>) {
        if load.is_some() {
            self.record_response();
        }
        self.load = load;
        self.notice = notice;
    }

    /// Records that the head of the node's response has arrived. It may be recorded twice; the first
    /// time counts.
    pub fn record_response(&mut self) {
        self.responded_at.get_or_insert_with(|| self.ctx.now());
    }

    /// Sets the time after which the upstream's node has room for the call that it refused.
    pub fn set_retry_after(&mut self, retry_after: Option<time::Duration>) {
        self.retry_after = retry_after;
    }

    /// Sets the run time at the upstream, as a multiple of the mean over all upstreams.
    pub fn set_relative_time(&mut self, relative_time: f32) {
        self.relative_time = Some(relative_time);
    }

    /// Sets what is expected of the node beside the upstream. Without it, the delay of that node is
    /// not measured.
    pub fn set_expected(&mut self, expected: Expected) {
        self.expected = Some(expected);
    }

    /// Records the head of the node's response, with the time for which the node held the call.
    /// Times above that of the attempt itself count as that time.
    pub fn record_held(&mut self, held: Option<time::Duration>) {
        let elapsed = self.ctx.now().since(self.started);
        self.node_delay = held.map(|held| elapsed.saturating_sub(held));
    }

    /// Records that the caller broke off the body of the request. How the attempt ends then shows
    /// nothing of the node: neither a delay nor that its host is lost.
    pub fn record_broken_off(&mut self) {
        self.broken_off = true;
    }

    /// Whether it goes to the new version of a roll-out, which is still under trial.
    pub fn is_trial(&self) -> bool {
        self.choice.target.group == rollout::VersionGroup::New
    }

    /// Applies an event.
    pub fn handle(&mut self, event: retry::Event) {
        self.state.handle(event);
    }

    /// Ends the attempt with `event`.
    pub fn end(mut self, event: retry::Event) -> retry::Outcome {
        self.finish(event)
    }

    fn finish(&mut self, event: retry::Event) -> retry::Outcome {
        self.ended = true;
        self.state.handle(event);
        let unclear = retry::Outcome::Unknown(retry::Reason::Malformed);
        let outcome = self.state.outcome().unwrap_or(unclear);
        let now = self.ctx.now();
        let latency = now.since(self.started);
        let report = pick::Report {
            outcome,
            load: self.load,
            relative_time: self.relative_time,
            notice: self.notice,
            retry_after: self.retry_after,
            latency,
            node_delay: self.node_delay.or_else(|| self.lost_delay(outcome, latency, now)),
            responded_at: self.responded_at,
        };
        if self.broken_off {
            self.picker.borrow_mut().broken_off(self.choice, &report, now);
            return outcome;
        }
        let event = self.picker.borrow_mut().ended(self.choice, &report, now);
        if let Some(event) = event {
            log_event(&event);
        }
        outcome
    }

    /// The delay of a node that did not respond before the deadline, or whose response was lost:
    /// the time of the attempt beyond the mean run time. `None` if the attempt shows no delay.
    fn lost_delay(
        &self,
        outcome: retry::Outcome,
        latency: time::Duration,
        now: clock::Instant,
    ) -> Option<time::Duration> {
        let expected = self.expected.filter(|_| self.responded_at.is_none())?;
        let lost = match outcome.reason()? {
            retry::Reason::Cut | retry::Reason::Timeout | retry::Reason::TooLate => true,
            // A caller that gives up at its deadline may leave before this node's timer fires.
            retry::Reason::Cancelled => now >= expected.deadline,
            _ => false,
        };
        let delay = latency.saturating_sub(expected.run.filter(|_| lost)?);
        (!delay.is_zero()).then_some(delay)
    }
}

/// Logs what an attempt has shown of nodes and hosts.
fn log_event(event: &pick::Event) {
    let micros = |time: time::Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    match event {
        pick::Event::HostsLost(lost) => {
            let [first, second] = lost.hosts.map(|host| host.to_string());
            log::info!(
                first = first.as_str(),
                second = second.as_str(),
                apart_us = micros(lost.apart),
                upstreams = lost.upstreams,
                responded = lost.responded,
                skipped = lost.skipped;
                "several hosts were lost at once"
            );
        }
        pick::Event::SlowNode(slow) => {
            let host = slow.host.to_string();
            log::info!(
                host = host.as_str(),
                measured_us = micros(slow.measured),
                excess_us = micros(slow.excess),
                base_us = micros(slow.base),
                service_us = micros(slow.service.unwrap_or_default()),
                skipped = slow.skipped;
                "the node beside an upstream is slow"
            );
        }
    }
}

impl std::fmt::Debug for Attempt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Attempt").field("choice", &self.choice).finish_non_exhaustive()
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(retry::Event::Failed(retry::Reason::Cancelled));
        }
    }
}
