//! The gate that admits calls to one upstream.

use std::time;

use crate::admit;
use crate::admit::concurrency;
use crate::admit::limiter;
use crate::admit::queue;
use crate::admit::reservation;
use crate::admit::service_times;
use crate::admit::wait_ratio;
use crate::clock;
use crate::retry;

mod waits;

/// Shortest wait that a refusal asks for.
const MIN_WAIT: time::Duration = time::Duration::from_millis(1);

/// A call tolerates a delay if its target leaves more than this many times its expected wait and
/// run.
const TOLERANCE: u32 = 2;

/// A running call.
#[derive(Clone, Copy, Debug)]
struct Running {
    ticket: admit::Ticket,
    kind: admit::Kind,
    /// Whether it may take a reserved slot.
    takes_any: bool,
    /// Other calls that ran when it started.
    others: usize,
    since: clock::Instant,
}

/// The gate of one upstream, through which every call to it passes.
///
/// Invariants: at most as many calls run as there are slots or connections, except for calls that
/// ran before the limits were lowered; after each event, no call waits while a slot is free that it
/// may use; no call is admitted after a drain; no more calls wait than may start within the limit
/// that the upstream names.
#[derive(Debug)]
pub struct Gate {
    limits: admit::Limits,
    concurrency: concurrency::Limit,
    /// `None` while the upstream names no limit.
    limiter: Option<limiter::Limiter>,
    draining: bool,
    running: Vec<Running>,
    queue: queue::Queue,
    reservation: reservation::Reservation,
    times: service_times::ServiceTimes,
    ratio: wait_ratio::WaitRatio,
}

impl Gate {
    /// A gate without calls.
    pub fn new(limits: admit::Limits) -> Self {
        Self {
            limits,
            concurrency: concurrency::Limit::new(&limits),
            limiter: None,
            draining: false,
            running: Vec::with_capacity(limits.concurrency()),
            queue: queue::Queue::default(),
            reservation: reservation::Reservation::default(),
            times: service_times::ServiceTimes::default(),
            ratio: wait_ratio::WaitRatio::default(),
        }
    }

    /// Reserves slots for the calls whose weight `is_urgent` accepts; `None` reserves nothing.
    pub fn set_urgent(&mut self, is_urgent: Option<admit::IsUrgent>) {
        self.reservation.set_urgent(is_urgent);
    }

    /// Whether `call` may take any slot. Another call waits while only reserved slots are free; a
    /// reservation shrinks with time, so the gate needs ticks meanwhile.
    pub fn takes_any_slot(&self, call: &admit::Call) -> bool {
        self.reservation.takes_any_slot(call)
    }

    /// Handles `event` and appends the actions that it causes to `actions`.
    pub fn handle(
        &mut self,
        event: admit::Event,
        now: clock::Instant,
        actions: &mut Vec<admit::Action>,
    ) {
        if self.has_slot() {
            // The reservation may have shrunk since the last event.
            self.process_queue(now, actions);
        }
        match event {
            admit::Event::Arrive(call) => self.arrive(call, now, actions),
            admit::Event::Ended { ticket } => self.record_end(ticket, now),
            admit::Event::Cancelled { ticket } => self.cancel(ticket),
            admit::Event::Shed { ticket } => self.shed(ticket),
            admit::Event::Limits(limits) => self.set_limits(limits),
            admit::Event::Rate(rate) => self.set_rate(rate, now),
            admit::Event::Drain => self.drain(now, actions),
            admit::Event::Resume => self.draining = false,
            admit::Event::Restart => self.restart(),
            admit::Event::Tick => {}
        }
        self.process_queue(now, actions);
    }

    /// The load that is sent back with answers.
    pub fn load(&self) -> admit::Load {
        admit::Load {
            running: count(self.running.len()),
            waiting: count(self.queue.len()),
            slots: count(self.concurrency.get()),
            service_us: self.times.micros(),
        }
    }

    /// When the gate needs a [`admit::Event::Tick`] at the latest; `None` while no call waits.
    ///
    /// A waiter is refused before its deadline, so that its caller still receives the outcome "not
    /// run".
    pub fn next_tick(&self) -> Option<clock::Instant> {
        self.queue.iter().map(|w| self.latest_start(w)).min()
    }

    /// Whether the gate drains and no call runs.
    pub fn is_drained(&self) -> bool {
        self.draining && self.running.is_empty()
    }

    /// What is left of the limit that the upstream names; `None` if it names none.
    pub fn allowance(&self, now: clock::Instant) -> Option<admit::Allowance> {
        let limiter = self.limiter.as_ref()?;
        Some(admit::Allowance { rate: limiter.rate(), left: limiter.available(now) })
    }

    fn arrive(&mut self, call: admit::Call, now: clock::Instant, actions: &mut Vec<admit::Action>) {
        if let Some(limiter) = &mut self.limiter {
            limiter.arrived(call.rank(), now);
        }
        self.reservation.arrived(&call, now);
        match self.rejection(&call, now) {
            Some(reason) => self.refuse(call, reason, now, actions),
            None if self.may_start(&call, now) => self.run(call, now, actions),
            None => self.enqueue(call, now),
        }
    }

    fn enqueue(&mut self, call: admit::Call, now: clock::Instant) {
        let position = self.position(&call, now);
        let expected = self.expected_wait(position, &call, now);
        self.queue.insert(position, queue::Waiter { call, since: now, expected });
    }

    /// The action for `call` if the transfer of its body began now, or, with a `transfer` of no time,
    /// if the call came now; `None` if it would wait.
    ///
    /// A call that the transfer makes miss its deadline is refused, even if a slot is free. So is one
    /// that other bodies on the link make late: if it were admitted, its bytes would make others
    /// late, too; see the test `bodies_of_calls_that_would_be_late_are_not_read`. A nested call is
    /// refused only for its deadline.
    pub fn preview(
        &mut self,
        call: &admit::Call,
        transfer: &admit::Transfer,
        now: clock::Instant,
    ) -> Option<admit::Action> {
        let reason = self
            .rejection(&call.sooner(transfer.total()), now)
            .or_else(|| self.transfer_rejection(call, transfer, now));
        let Some(reason) = reason else {
            return self.may_start(call, now).then_some(admit::Action::Run { ticket: call.ticket });
        };
        match self.refusal(call, reason, now) {
            admit::Action::Refuse { ticket, reason, retry_after } => {
                // Beyond its deadline, the caller has no use for the delay.
                let remaining = call.deadline.since(now);
                let retry_after = retry_after.max(transfer.before.min(remaining));
                Some(admit::Action::Refuse { ticket, reason, retry_after })
            }
            run @ admit::Action::Run { .. } => Some(run),
        }
    }

    /// Why `call` is rejected for the transfer of its body; `None` if it is not.
    fn transfer_rejection(
        &self,
        call: &admit::Call,
        transfer: &admit::Transfer,
        now: clock::Instant,
    ) -> Option<retry::Reason> {
        if transfer.total().is_zero() {
            return None;
        }
        // The queue is assumed to be as long as now when the body is received.
        let later = call.sooner(transfer.total());
        let position = self.position(&later, now);
        let wait = if self.may_start(call, now) {
            time::Duration::ZERO
        } else {
            self.expected_wait(position, call, now)
        };
        let misses = |c: &admit::Call| self.times.misses(c.kind, c.deadline, wait, now);
        if misses(&later) && !misses(call) {
            return Some(retry::Reason::TooLate);
        }
        let delayed_by_others = !call.nested && !transfer.before.is_zero();
        let is_late = |c: &admit::Call| self.ends_late(wait, c, now);
        (delayed_by_others
            && is_late(&later)
            && !is_late(call)
            && !self.tolerates_delay(position, &later, now))
        .then_some(retry::Reason::Full)
    }

    /// The position of `call` in the queue if it came now.
    fn position(&self, call: &admit::Call, now: clock::Instant) -> usize {
        self.queue.position(call, |call| self.start_by(call, now))
    }

    /// The time by which `call` has to start to be answered before its target, or before its
    /// deadline if the target can no longer be met: a caller that retries late does not overtake
    /// calls that are in time.
    fn start_by(&self, call: &admit::Call, now: clock::Instant) -> clock::Instant {
        let mean = self.times.mean(call.kind);
        let end = if self.is_overdue(call, now) { call.deadline } else { call.target };
        let mean = u64::try_from(mean.as_micros()).unwrap_or(u64::MAX);
        clock::Instant::from_micros(end.as_micros().saturating_sub(mean))
    }

    /// Why `call` is rejected; `None` if it is admitted.
    fn rejection(&self, call: &admit::Call, now: clock::Instant) -> Option<retry::Reason> {
        let position = self.position(call, now);
        if self.draining {
            Some(retry::Reason::Draining)
        } else if self.concurrency.get() == 0 {
            Some(retry::Reason::NoUpstream)
        } else if call.deadline <= now {
            Some(retry::Reason::TooLate)
        } else if self.exceeds_rate(call, position, now) {
            Some(retry::Reason::Limited)
        } else if self.may_start(call, now) {
            None
        } else if self.misses_deadline(position, call, now) {
            Some(retry::Reason::TooLate)
        } else if !call.nested
            && self.queue.len() > 0
            && self.is_late(position, call, now)
            && !self.tolerates_delay(position, call, now)
        {
            Some(retry::Reason::Full)
        } else {
            None
        }
    }

    /// Whether the limit that the upstream names is used up by the time at which `call`, queued at
    /// `position`, would start.
    fn exceeds_rate(&self, call: &admit::Call, position: usize, now: clock::Instant) -> bool {
        let available = self.limiter.as_ref().map(|l| l.available_to(call, now));
        available.is_some_and(|available| available <= position)
    }

    /// Whether a call that is queued at `position` may well be answered after its target.
    ///
    /// While other calls wait, no slot stays free if this one is refused. If it were admitted,
    /// there would be two late calls instead of one in time and one late. At 1.4 times the load
    /// that one upstream can carry, 91% of the served calls are in time instead of 8%, and as many
    /// are served; see the test `calls_are_served_in_time_under_overload`.
    fn is_late(&self, position: usize, waiter: &admit::Call, now: clock::Instant) -> bool {
        self.ends_late(self.expected_wait(position, waiter, now), waiter, now)
    }

    /// Whether a call that is expected to wait for `wait` may well be answered after its target.
    fn ends_late(&self, wait: time::Duration, call: &admit::Call, now: clock::Instant) -> bool {
        now + self.ratio.correct(wait) + self.times.high_estimate(call.kind) >= call.target
    }

    /// Whether `call`, queued at `position`, has so much time that it waits instead of being
    /// refused, while slots are reserved for others.
    fn tolerates_delay(&self, position: usize, call: &admit::Call, now: clock::Instant) -> bool {
        let expected = self.expected_wait(position, call, now) + self.times.mean(call.kind);
        self.reserved(now).slots > 0
            && !self.takes_any_slot(call)
            && now + expected * TOLERANCE < call.target
    }

    /// Refuses waiters for which there is no room or no time, and gives free slots to the others.
    fn process_queue(&mut self, now: clock::Instant, actions: &mut Vec<admit::Action>) {
        while self.concurrency.get() == 0 {
            let Some(waiter) = self.queue.pop_front() else { break };
            self.refuse(waiter.call, retry::Reason::NoUpstream, now, actions);
        }
        while self.queue.len() > usize::from(self.limits.queue) {
            let Some(waiter) = self.queue.pop_back() else { break };
            self.refuse(waiter, retry::Reason::Full, now, actions);
        }
        let available = self.limiter.as_ref().map_or(usize::MAX, |l| l.available(now));
        while self.queue.len() > available {
            let Some(waiter) = self.queue.pop_back() else { break };
            self.refuse(waiter, retry::Reason::Limited, now, actions);
        }
        while let Some(waiter) = self.remove_next(now) {
            let queue::Waiter { call, since, expected } = waiter;
            if self.times.misses(call.kind, call.deadline, time::Duration::ZERO, now) {
                self.refuse(call, retry::Reason::TooLate, now, actions);
                continue;
            }
            if !call.nested && self.queue.len() > 0 && self.is_overdue(&call, now) {
                self.refuse(call, retry::Reason::Full, now, actions);
                continue;
            }
            if !call.nested {
                self.ratio.record(expected, now.since(since));
            }
            self.run(call, now, actions);
        }
        while let Some(waiter) = self.remove_too_late(now) {
            self.refuse(waiter, retry::Reason::TooLate, now, actions);
        }
    }

    /// Removes the first waiter for which a slot is free.
    fn remove_next(&mut self, now: clock::Instant) -> Option<queue::Waiter> {
        let free = self.free_slots();
        if free == 0 {
            None
        } else if free > self.kept_free(now) {
            self.queue.pop_front()
        } else {
            let reservation = &self.reservation;
            self.queue.remove_waiter(|call| reservation.takes_any_slot(call))
        }
    }

    /// Whether the answer to `call` is likely to miss its target even if the call starts now.
    ///
    /// More urgent calls overtake a waiter after it was admitted. If it has become late by then and
    /// others wait, it is refused: at 1.3 times the load of four slots 1442 of 1668 served calls
    /// that are less urgent are in time, instead of 1321 of 1692; see the test
    /// `less_urgent_calls_are_admitted_if_they_can_be_in_time`.
    fn is_overdue(&self, call: &admit::Call, now: clock::Instant) -> bool {
        now + self.times.mean(call.kind) >= call.target
    }

    /// Whether slots may be reserved at `now`: an urgent call came a short time ago.
    pub fn may_reserve(&self, now: clock::Instant) -> bool {
        self.reservation.is_active(now)
    }

    /// The slots that are reserved.
    pub fn reserved(&self, now: clock::Instant) -> admit::Reserved {
        self.reservation.reserved(self.concurrency.get(), now)
    }

    /// Whether a call like `call` waits although a slot is free, as that slot is reserved.
    pub fn is_held_back(&self, call: &admit::Call, now: clock::Instant) -> bool {
        self.free_slots() > 0 && !self.may_start(call, now)
    }

    /// Whether `call` would run or wait if it came now.
    pub fn admits(&self, call: &admit::Call, now: clock::Instant) -> bool {
        self.rejection(call, now).is_none()
    }

    /// Slots that are kept free for calls that may take any.
    fn kept_free(&self, now: clock::Instant) -> usize {
        let running = self.running.iter().filter(|r| r.takes_any).count();
        self.reservation.kept_free(self.concurrency.get(), running, now)
    }

    /// Whether a slot is free that `call` may use.
    fn may_start(&self, call: &admit::Call, now: clock::Instant) -> bool {
        let kept = if self.takes_any_slot(call) { 0 } else { self.kept_free(now) };
        self.free_slots() > kept
    }

    fn free_slots(&self) -> usize {
        if self.draining { 0 } else { self.concurrency.get().saturating_sub(self.running.len()) }
    }

    fn has_slot(&self) -> bool {
        self.free_slots() > 0
    }

    fn run(&mut self, waiter: admit::Call, now: clock::Instant, actions: &mut Vec<admit::Action>) {
        let (ticket, kind, others) = (waiter.ticket, waiter.kind, self.running.len());
        let takes_any = self.takes_any_slot(&waiter);
        self.running.push(Running { ticket, kind, takes_any, others, since: now });
        if let Some(limiter) = &mut self.limiter {
            limiter.start(&waiter, now);
        }
        actions.push(admit::Action::Run { ticket: waiter.ticket });
    }

    fn refuse(
        &mut self,
        waiter: admit::Call,
        reason: retry::Reason,
        now: clock::Instant,
        actions: &mut Vec<admit::Action>,
    ) {
        actions.push(self.refusal(&waiter, reason, now));
    }

    fn refusal(
        &mut self,
        call: &admit::Call,
        reason: retry::Reason,
        now: clock::Instant,
    ) -> admit::Action {
        let limiter = self.limiter.as_mut().filter(|_| reason == retry::Reason::Limited);
        let retry_after = match limiter {
            Some(limiter) => limiter.book(call, now).max(MIN_WAIT),
            None => self.retry_after(call, now),
        };
        admit::Action::Refuse { ticket: call.ticket, reason, retry_after }
    }

    /// Time after which the caller of `call` may retry: at least until those of the waiting calls
    /// have started that wait for the slots that it may use, and up to twice as long, depending on
    /// the ticket.
    pub fn retry_after(&self, call: &admit::Call, now: clock::Instant) -> time::Duration {
        stagger(self.expected_wait(self.queue.len(), call, now).max(MIN_WAIT), call.ticket)
    }

    fn record_end(&mut self, ticket: admit::Ticket, now: clock::Instant) {
        if let Some(run) = self.remove_running(ticket) {
            let took = now.since(run.since);
            self.times.record(run.kind, took);
            if run.takes_any {
                self.reservation.ended(took);
            }
            self.concurrency.ended(run.others);
        }
    }

    fn shed(&mut self, ticket: admit::Ticket) {
        if self.remove_running(ticket).is_some() {
            self.concurrency.shed(self.running.len());
        }
    }

    fn set_limits(&mut self, limits: admit::Limits) {
        self.limits = limits;
        self.concurrency.announce(&limits);
    }

    fn set_rate(&mut self, rate: Option<admit::Rate>, now: clock::Instant) {
        match (rate, &mut self.limiter) {
            (Some(rate), Some(limiter)) => limiter.set_rate(rate, now),
            (Some(rate), None) => self.limiter = Some(limiter::Limiter::new(rate, now)),
            (None, _) => self.limiter = None,
        }
    }

    fn restart(&mut self) {
        self.limiter = None;
        self.concurrency = concurrency::Limit::new(&self.limits);
        self.times = service_times::ServiceTimes::default();
        self.reservation.restart();
    }

    fn cancel(&mut self, ticket: admit::Ticket) {
        if self.remove_running(ticket).is_none() {
            self.queue.remove(ticket);
        }
    }

    fn remove_running(&mut self, ticket: admit::Ticket) -> Option<Running> {
        let index = self.running.iter().position(|r| r.ticket == ticket)?;
        Some(self.running.swap_remove(index))
    }

    fn drain(&mut self, now: clock::Instant, actions: &mut Vec<admit::Action>) {
        self.draining = true;
        while let Some(waiter) = self.queue.pop_front() {
            self.refuse(waiter.call, retry::Reason::Draining, now, actions);
        }
    }
}

fn count(len: usize) -> u16 {
    u16::try_from(len).unwrap_or(u16::MAX)
}

/// A time between one and two times `wait`, depending on the ticket. Calls that are refused
/// together must not be retried together, and none before the calls that wait now have started.
pub fn stagger(wait: time::Duration, ticket: admit::Ticket) -> time::Duration {
    /// Number of different times.
    const STEPS: u64 = 16;
    /// Distance between successive tickets, coprime to the number of steps.
    const STRIDE: u64 = 7;
    let step = u32::try_from(ticket.0.wrapping_mul(STRIDE) % STEPS).unwrap_or_default();
    wait + wait * step / u32::try_from(STEPS).unwrap_or(1)
}
