//! Slots that are kept free for urgent calls.
//!
//! Load: long calls hold all slots of an upstream when a short urgent call arrives. With nine slots,
//! urgent calls of 86 ms and long ones of 490 ms, 5049 of 5181 urgent calls start within 30 ms
//! instead of 4583; at about twice that load, 8611 of 9931 instead of 2798, and 4846 of 11424 long
//! calls are served in time instead of 6254; see the test `urgent_calls_start_beside_long_ones`.
//!
//! The number of slots that calls occupy is their arrival rate times their run time. Its spread is
//! the square root of its mean, as for independent arrivals. Nested calls may take reserved slots
//! and are counted, too: measured by urgent calls alone, the reserved slots would be used up by
//! nested calls, and 0.95 in place of 0.97 would start within 30 ms.

use std::time;

use crate::admit;
use crate::clock;

/// Half-life of the measured arrival rate.
const HALF_LIFE: time::Duration = time::Duration::from_secs(1);

/// Time after the last arrival of an urgent call until which slots are reserved.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(1);

/// At most one slot in this many is reserved.
const SLOTS_PER_RESERVED: usize = 3;

/// Weight of a new run time in their mean: one in this many, as for the service times of a gate.
const SMOOTHING: u32 = 8;

/// The measured demand of the calls that may take any slot, and what it leaves to the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reservation {
    /// Tells urgent calls by their weight; `None` reserves nothing.
    is_urgent: Option<admit::IsUrgent>,
    /// When an urgent call last arrived; `None` if none has.
    last_urgent: Option<clock::Instant>,
    /// Arrivals, each weighted by its age according to [`HALF_LIFE`], as of `last`.
    arrivals: f64,
    /// When a call last arrived that may take any slot.
    last: clock::Instant,
    /// Mean run time of such calls; `None` until one has ended.
    run_time: Option<time::Duration>,
}

impl Reservation {
    /// Reserves slots for the calls whose weight `is_urgent` accepts, or none.
    pub(super) fn set_urgent(&mut self, is_urgent: Option<admit::IsUrgent>) {
        self.is_urgent = is_urgent;
    }

    /// Whether slots are reserved when urgent calls arrive.
    pub(super) const fn is_enabled(&self) -> bool {
        self.is_urgent.is_some()
    }

    /// Whether slots may be reserved at `now`.
    pub(super) fn is_active(&self, now: clock::Instant) -> bool {
        let recent = |last| now.since(last) < MAX_SILENCE;
        self.is_enabled() && self.last_urgent.is_some_and(recent)
    }

    /// Whether `call` is urgent.
    pub(super) fn is_urgent(&self, call: &admit::Call) -> bool {
        self.is_urgent.is_some_and(|is_urgent| is_urgent(call.weight))
    }

    /// Whether `call` may take any slot, also a reserved one: urgent and nested calls may, and each
    /// call while none is ever reserved. A running call waits for a nested one and holds a slot
    /// meanwhile.
    pub(super) fn takes_any_slot(&self, call: &admit::Call) -> bool {
        !self.is_enabled() || call.nested || self.is_urgent(call)
    }

    /// Records that `call` arrived.
    pub(super) fn arrived(&mut self, call: &admit::Call, now: clock::Instant) {
        if !self.is_enabled() {
            return;
        }
        if self.is_urgent(call) {
            self.last_urgent = Some(now);
        }
        if self.takes_any_slot(call) {
            self.arrivals = self.arrivals_at(now) + 1.0;
            self.last = now;
        }
    }

    /// Records that a call that may take any slot ended by itself after `took`.
    pub(super) fn ended(&mut self, took: time::Duration) {
        if !self.is_enabled() {
            return;
        }
        let mean = self.run_time.unwrap_or(took);
        self.run_time = Some((mean * (SMOOTHING - 1) + took) / SMOOTHING);
    }

    /// Forgets the run times of an upstream that has restarted.
    pub(super) fn restart(&mut self) {
        self.run_time = None;
    }

    /// What is reserved of `slots`.
    pub(super) fn reserved(&self, slots: usize, now: clock::Instant) -> admit::Reserved {
        if !self.is_enabled() {
            return admit::Reserved::default();
        }
        admit::Reserved {
            slots: whole_slots(self.demand(now), slots),
            per_second: self.per_second(now),
            run_time: self.run_time.unwrap_or_default(),
        }
    }

    /// Slots that are kept free while `running` calls run that may take any slot: another call
    /// starts only while more are free.
    pub(super) fn kept_free(&self, slots: usize, running: usize, now: clock::Instant) -> usize {
        whole_slots(self.demand(now) - running as f64, slots)
    }

    /// Slots that calls need that may take any: the mean number that they occupy and its spread; 0
    /// while no urgent call arrives.
    fn demand(&self, now: clock::Instant) -> f64 {
        if !self.is_active(now) {
            return 0.0;
        }
        let mean = self.per_second(now) * self.run_time.unwrap_or_default().as_secs_f64();
        mean + mean.sqrt()
    }

    /// Arrivals a second of the calls that may take any slot.
    fn per_second(&self, now: clock::Instant) -> f64 {
        self.arrivals_at(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    fn arrivals_at(&self, now: clock::Instant) -> f64 {
        let age = now.since(self.last);
        self.arrivals * (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// The number of whole slots that `demand` needs, at most the share of `slots` that is reserved.
fn whole_slots(demand: f64, slots: usize) -> usize {
    // The conversion saturates; a negative demand needs none.
    (demand.ceil() as usize).min(slots / SLOTS_PER_RESERVED)
}
