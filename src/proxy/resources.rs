//! The resources that a call holds until its answer has ended: its entry in the calls in flight,
//! its slot and connection at the upstream, its attempt and its usage count.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time;

use tokio::sync;

use crate::admit;
use crate::context;
use crate::notice;
use crate::pick;
use crate::proxy::attempt;
use crate::proxy::count;
use crate::proxy::pool;
use crate::proxy::running_calls;
use crate::proxy::slots;
use crate::retry;

/// Counts the calls in flight.
#[derive(Debug, Default)]
pub struct CallCounter {
    count: Cell<usize>,
    idle: sync::Notify,
}

/// A call in flight, counted until this is dropped.
#[derive(Debug)]
pub struct CountedCall(Rc<CallCounter>);

impl CallCounter {
    /// Counts a call until the returned value is dropped.
    pub fn enter(self: &Rc<Self>) -> CountedCall {
        self.count.set(self.count.get() + 1);
        CountedCall(Rc::clone(self))
    }

    /// Number of calls in flight.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no call is in flight.
    pub async fn wait_idle(&self) {
        while self.count.get() > 0 {
            self.idle.notified().await;
        }
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        let remaining = self.0.count.get().saturating_sub(1);
        self.0.count.set(remaining);
        if remaining == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// The resources of a call. If they are dropped before the answer has ended, the connection to the
/// upstream is closed and the slot is freed.
#[derive(Debug, Default)]
pub struct Resources {
    /// At the owner node: the connection to the upstream.
    pub lease: Option<pool::Lease>,
    /// At the owner node: the slot.
    pub slot: Option<slots::Slot>,
    /// At the owner node: the entry in the running calls.
    pub run: Option<running_calls::RunningCall>,
    /// At the entry node: the attempt.
    pub attempt: Option<attempt::Attempt>,
    /// At the entry node: the usage count.
    pub count: Option<count::Pending>,
    /// The entry in the calls in flight.
    pub in_flight: Option<CountedCall>,
}

impl Resources {
    /// Releases everything after the answer was read to its end.
    pub fn complete(&mut self) {
        if let Some(run) = self.run.take() {
            run.complete();
        }
        if let Some(mut lease) = self.lease.take() {
            lease.release();
        }
        if let Some(slot) = self.slot.take() {
            slot.end();
        }
        if let Some(attempt) = self.attempt.take() {
            attempt.end(retry::Event::End);
        }
        if let Some(count) = self.count.take() {
            count.served();
        }
        self.in_flight = None;
    }

    /// Starts an attempt at the upstream of `choice`.
    pub fn start_attempt(
        &mut self,
        ctx: context::Context,
        picker: &Rc<RefCell<pick::Picker>>,
        choice: pick::Choice,
    ) {
        let mut attempt = attempt::Attempt::start(ctx, Rc::clone(picker), choice);
        attempt.handle(retry::Event::Sending);
        self.attempt = Some(attempt);
    }

    /// Records the head of the upstream's answer.
    pub fn record_head(
        &mut self,
        status: http::StatusCode,
        load: Option<admit::Load>,
        notice: Option<notice::Relayed>,
    ) {
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.handle(retry::Event::Head);
            attempt.set_load(load, notice);
        }
        if let Some(count) = self.count.as_mut() {
            count.set_status(status);
        }
    }

    /// Ends an attempt that got no answer; another one may follow. Returns the attempt's outcome.
    pub fn fail_attempt(
        &mut self,
        outcome: retry::Outcome,
        retry_after: Option<time::Duration>,
    ) -> retry::Outcome {
        self.release_upstream();
        let Some(mut attempt) = self.attempt.take() else { return outcome };
        attempt.set_retry_after(retry_after);
        match outcome {
            retry::Outcome::Ran => outcome,
            retry::Outcome::NotRun(reason) => attempt.end(retry::Event::Refused(reason)),
            retry::Outcome::Unknown(reason) => attempt.end(retry::Event::PossiblyRan(reason)),
        }
    }

    /// Reports a call that failed for `reason`, if a crash of the upstream may be the cause.
    pub fn report_broken(&self, reason: retry::Reason) {
        if let Some(run) = self.run.as_ref().filter(|_| reason == retry::Reason::Cut) {
            run.break_off();
        }
    }

    /// Releases the running call, the connection and the slot.
    fn release_upstream(&mut self) {
        self.run = None;
        self.lease = None;
        self.slot = None;
    }

    /// Releases everything after the answer broke off for `reason`.
    pub fn abort(&mut self, reason: retry::Reason) {
        self.report_broken(reason);
        self.release_upstream();
        if let Some(attempt) = self.attempt.take() {
            attempt.end(retry::Event::Failed(reason));
        }
        if let Some(count) = self.count.take() {
            count.ended(retry::Outcome::Unknown(reason));
        }
        self.in_flight = None;
    }
}
