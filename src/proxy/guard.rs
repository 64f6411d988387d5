//! What a call holds until its answer has ended: its place among the calls in flight, its slot
//! and connection at the upstream, its attempt and its count.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync;

use crate::admit;
use crate::context;
use crate::pick;
use crate::proxy::count;
use crate::proxy::pool;
use crate::proxy::runs;
use crate::proxy::slots;
use crate::proxy::trip;
use crate::retry;

/// Counts the calls in flight.
#[derive(Debug, Default)]
pub struct Flights {
    count: Cell<usize>,
    idle: sync::Notify,
}

/// One call in flight.
#[derive(Debug)]
pub struct Flight(Rc<Flights>);

impl Flights {
    /// Counts one more call until the returned value is dropped.
    pub fn enter(self: &Rc<Self>) -> Flight {
        self.count.set(self.count.get() + 1);
        Flight(Rc::clone(self))
    }

    /// How many calls are in flight.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no call is in flight.
    pub async fn idle(&self) {
        while self.count.get() > 0 {
            self.idle.notified().await;
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let left = self.0.count.get().saturating_sub(1);
        self.0.count.set(left);
        if left == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// What a call holds. Dropped early, the upstream's connection is closed and the slot is free.
#[derive(Debug, Default)]
pub struct Hold {
    /// At the upstream's node: the connection.
    pub lease: Option<pool::Lease>,
    /// At the upstream's node: the slot.
    pub slot: Option<slots::Slot>,
    /// At the upstream's node: the call's place among those that run.
    pub run: Option<runs::Running>,
    /// At the entry: the attempt.
    pub trip: Option<trip::Trip>,
    /// At the entry: the count.
    pub count: Option<count::Pending>,
    /// The place among the calls in flight.
    pub flight: Option<Flight>,
}

impl Hold {
    /// The answer came to its end.
    pub fn whole(&mut self) {
        if let Some(run) = self.run.take() {
            run.whole();
        }
        if let Some(mut lease) = self.lease.take() {
            lease.finish();
        }
        if let Some(slot) = self.slot.take() {
            slot.end();
        }
        if let Some(trip) = self.trip.take() {
            trip.end(retry::Event::End);
        }
        if let Some(count) = self.count.take() {
            count.served();
        }
        self.flight = None;
    }

    /// An attempt at the upstream of `choice` begins.
    pub fn start(
        &mut self,
        ctx: context::Context,
        picker: &Rc<RefCell<pick::Picker>>,
        choice: pick::Choice,
    ) {
        let mut trip = trip::Trip::start(ctx, Rc::clone(picker), choice);
        trip.note(retry::Event::Sending);
        self.trip = Some(trip);
    }

    /// The head of the upstream's answer came.
    pub fn head(&mut self, status: http::StatusCode, load: Option<admit::Load>) {
        if let Some(trip) = self.trip.as_mut() {
            trip.note(retry::Event::Head);
            trip.load(load);
        }
        if let Some(count) = self.count.as_mut() {
            count.status(status);
        }
    }

    /// The attempt ended without an answer; the call may get another one.
    pub fn failed(&mut self, outcome: retry::Outcome) -> retry::Outcome {
        self.free();
        let Some(trip) = self.trip.take() else { return outcome };
        match outcome {
            retry::Outcome::Ran => outcome,
            retry::Outcome::NotRun(reason) => trip.end(retry::Event::Refused(reason)),
            retry::Outcome::Unknown(reason) => trip.end(retry::Event::PossiblyRan(reason)),
        }
    }

    /// The call failed for `reason`; says so where that may be the end of the upstream.
    pub fn cut(&self, reason: retry::Reason) {
        if let Some(run) = self.run.as_ref().filter(|_| reason == retry::Reason::Cut) {
            run.cut();
        }
    }

    /// Gives back what the call held of the upstream.
    fn free(&mut self) {
        self.run = None;
        self.lease = None;
        self.slot = None;
    }

    /// The answer was cut short.
    pub fn broken(&mut self, reason: retry::Reason) {
        self.cut(reason);
        self.free();
        if let Some(trip) = self.trip.take() {
            trip.end(retry::Event::Failed(reason));
        }
        if let Some(count) = self.count.take() {
            count.ended(retry::Outcome::Unknown(reason));
        }
        self.flight = None;
    }
}
