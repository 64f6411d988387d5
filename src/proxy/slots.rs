//! Admission to the local upstream: an asynchronous interface to [`admit::Gate`].

use std::cell::{Cell, RefCell};
use std::collections;
use std::rc::Rc;
use std::time;

use prometheus_client::metrics::{counter, gauge};
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::task;

use crate::admit;
use crate::clock;
use crate::context;
use crate::proxy::queue_weight;
use crate::retry;

#[cfg(test)]
mod tests;

/// Granularity of the runtime's timers, added to a wait so that the gate's deadline has passed when
/// it ends.
const TIMER_GRANULARITY: time::Duration = time::Duration::from_millis(1);

/// How often a waiting call checks whether the slots that are free are still reserved, and the
/// reserved slots are reported. Without an event at the gate, the reservation ends a second after the
/// last urgent call.
const RESERVATION_CHECK: time::Duration = time::Duration::from_millis(100);

/// Minimum time between two log lines on reserved slots.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The decision of the gate on a call.
type Verdict = Result<(), Refused>;

/// The gate did not admit the call; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why the call was not admitted.
    pub reason: retry::Reason,
    /// Delay after which there may be room for the call.
    pub retry_after: time::Duration,
}

/// A call's request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the call's kind.
    pub kind: &'a str,
    /// Weight of the call in the queue.
    pub weight: u32,
    /// Whether the call is nested, so that a running call waits for it.
    pub nested: bool,
    /// Whether its caller was refused before and returns.
    pub returning: bool,
    /// Time by which the call must be answered to meet its target latency.
    pub target: clock::Instant,
    /// When the gate must have decided.
    pub deadline: clock::Instant,
}

/// Counts of the slots that are reserved for urgent calls, and of the room for bodies.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Slots that are reserved.
    pub reserved: gauge::Gauge,
    /// Calls that waited although a slot was free, as it was reserved.
    pub held_back: counter::Counter,
    /// Calls refused before their body was read, as the link would have made them late.
    pub body_refused: counter::Counter,
}

/// Assigns the numbers by which the gate identifies kinds.
#[derive(Debug, Default)]
struct Kinds {
    names: Vec<SmolStr>,
    /// The number for the next new kind.
    next: usize,
}

impl Kinds {
    /// Maximum number of kinds told apart. A service has a few. Beyond this, a new kind replaces
    /// the oldest one, which bounds the memory of a node over many configurations.
    const MAX_KINDS: usize = 64;

    fn number(&mut self, name: &str) -> admit::Kind {
        let known = self.names.iter().position(|k| k == name);
        let index = known.unwrap_or_else(|| self.add(name));
        admit::Kind(u16::try_from(index).unwrap_or(u16::MAX))
    }

    fn add(&mut self, name: &str) -> usize {
        let index = self.next;
        self.next = (index + 1) % Self::MAX_KINDS;
        match self.names.get_mut(index) {
            Some(old) => *old = SmolStr::new(name),
            None => self.names.push(SmolStr::new(name)),
        }
        index
    }
}

/// The gate and the calls that wait for a slot.
#[derive(Debug)]
pub struct Slots {
    ctx: context::Context,
    gate: RefCell<admit::Gate>,
    waiters: RefCell<collections::HashMap<admit::Ticket, oneshot::Sender<Verdict>>>,
    next: Cell<u64>,
    kinds: RefCell<Kinds>,
    counts: Counts,
    /// When a log line last said whether slots are reserved; whether they are, according to it; and
    /// how many calls had been held back by then.
    logged: Cell<(clock::Instant, bool, u64)>,
    /// Whether a task reports the reserved slots between the events of the gate.
    reporting: Cell<bool>,
    /// Kept between events to save an allocation for each one.
    actions: RefCell<Vec<admit::Action>>,
}

/// A slot held by a running call. If this is dropped without [`Slot::end`] or [`Slot::shed`], the
/// call counts as cancelled.
#[derive(Debug)]
pub struct Slot {
    slots: Rc<Slots>,
    ticket: admit::Ticket,
    ended: bool,
}

impl Slots {
    /// A gate that admits nothing yet.
    pub fn new(ctx: context::Context) -> Self {
        let limits = admit::Limits { slots: 0, connections: 0, queue: 0 };
        Self {
            ctx,
            gate: RefCell::new(admit::Gate::new(limits)),
            waiters: RefCell::default(),
            next: Cell::new(0),
            kinds: RefCell::default(),
            counts: Counts::default(),
            logged: Cell::default(),
            reporting: Cell::new(false),
            actions: RefCell::default(),
        }
    }

    /// These slots, counting in `counts`.
    pub fn with_counts(self, counts: Counts) -> Self {
        Self { counts, ..self }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The gate's refusal.
    pub async fn enter(self: &Rc<Self>, request: &Request<'_>) -> Result<Slot, Refused> {
        let call = self.call(request);
        let (ticket, deadline) = (call.ticket, call.deadline);
        let (sender, mut receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        // From here on, the call leaves the queue if this future is dropped.
        let slot = Slot { slots: Rc::clone(self), ticket, ended: false };
        self.handle(admit::Event::Arrive(call));
        self.report_between_events();
        if let Ok(verdict) = receiver.try_recv() {
            return verdict.map(|()| slot);
        }
        if self.gate.borrow().is_held_back(&call, self.ctx.now()) {
            self.counts.held_back.inc();
        }
        let checks = !self.gate.borrow().takes_any_slot(&call);
        let verdict = loop {
            let remaining = deadline.since(self.ctx.now()) + TIMER_GRANULARITY;
            let wait = if checks { remaining.min(RESERVATION_CHECK) } else { remaining };
            if let Ok(verdict) = tokio::time::timeout(wait, &mut receiver).await {
                break verdict;
            }
            self.handle(admit::Event::Tick);
            if wait == remaining {
                break receiver.await;
            }
        };
        match verdict {
            Ok(verdict) => verdict.map(|()| slot),
            Err(_) => {
                Err(Refused { reason: retry::Reason::TooLate, retry_after: time::Duration::ZERO })
            }
        }
    }

    /// Whether [`Self::enter`] would admit or queue a call the transfer of whose body began now.
    ///
    /// # Errors
    ///
    /// The gate's refusal.
    pub fn preview(
        &self,
        request: &Request<'_>,
        transfer: &admit::Transfer,
    ) -> Result<(), Refused> {
        let call = self.call(request);
        let now = self.ctx.now();
        let action = self.gate.borrow_mut().preview(&call, transfer, now);
        match action {
            Some(admit::Action::Refuse { reason, retry_after, .. }) => {
                if !transfer.total().is_zero() && self.gate.borrow().admits(&call, now) {
                    self.counts.body_refused.inc();
                }
                Err(Refused { reason, retry_after })
            }
            Some(admit::Action::Run { .. }) | None => Ok(()),
        }
    }

    /// Reserves slots for urgent calls, or none.
    pub fn reserve_urgent(&self, enabled: bool) {
        let is_urgent = enabled.then_some(queue_weight::is_urgent as admit::IsUrgent);
        self.gate.borrow_mut().set_urgent(is_urgent);
    }

    /// The slots that are reserved.
    pub fn reserved(&self) -> admit::Reserved {
        self.gate.borrow().reserved(self.ctx.now())
    }

    /// Applies a change of the limits.
    pub fn set_limits(&self, limits: admit::Limits) {
        self.handle(admit::Event::Limits(limits));
    }

    /// Applies a change of the limit that the upstream names.
    pub fn set_rate(&self, rate: Option<admit::Rate>) {
        self.handle(admit::Event::Rate(rate));
    }

    /// What is left of the limit that the upstream names; `None` if it names none.
    pub fn allowance(&self) -> Option<admit::Allowance> {
        self.gate.borrow().allowance(self.ctx.now())
    }

    /// Refuses all further calls.
    pub fn drain(&self) {
        self.handle(admit::Event::Drain);
    }

    /// Admits calls again after [`Self::drain`].
    pub fn resume(&self) {
        self.handle(admit::Event::Resume);
    }

    /// Resets what was learned of the upstream, which has restarted.
    pub fn restart(&self) {
        self.handle(admit::Event::Restart);
    }

    /// Delay after which a slot may be free for a call that was admitted and then shed.
    pub fn retry_delay(&self, request: &Request<'_>) -> time::Duration {
        self.gate.borrow().retry_after(&self.call(request), self.ctx.now())
    }

    /// The load of the upstream, as counted by the gate.
    pub fn load(&self) -> admit::Load {
        self.gate.borrow().load()
    }

    /// The call of `request`, with a ticket of its own.
    fn call(&self, request: &Request<'_>) -> admit::Call {
        let ticket = admit::Ticket(self.next.replace(self.next.get() + 1));
        let kind = self.kinds.borrow_mut().number(request.kind);
        let &Request { weight, nested, returning, target, deadline, .. } = request;
        admit::Call { ticket, kind, weight, nested, returning, target, deadline }
    }

    fn handle(&self, event: admit::Event) {
        let mut actions = self.actions.take();
        self.gate.borrow_mut().handle(event, self.ctx.now(), &mut actions);
        for action in actions.drain(..) {
            let (ticket, verdict) = match action {
                admit::Action::Run { ticket } => (ticket, Ok(())),
                admit::Action::Refuse { ticket, reason, retry_after } => {
                    (ticket, Err(Refused { reason, retry_after }))
                }
            };
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                // If the waiter has left, its `Slot` has been dropped, which frees the slot.
                let _ = waiter.send(verdict);
            }
        }
        self.actions.replace(actions);
        self.report_reserved();
    }

    /// Reports the reserved slots until the end of the reservation was published and logged. A node
    /// that goes idle has no events at its gate.
    ///
    /// Runs on a [`task::LocalSet`].
    fn report_between_events(self: &Rc<Self>) {
        if !self.gate.borrow().may_reserve(self.ctx.now()) || self.reporting.replace(true) {
            return;
        }
        let slots = Rc::downgrade(self);
        task::spawn_local(async move {
            loop {
                tokio::time::sleep(RESERVATION_CHECK).await;
                let Some(slots) = slots.upgrade() else { break };
                slots.report_reserved();
                if !slots.has_to_report() {
                    slots.reporting.set(false);
                    break;
                }
            }
        });
    }

    /// Whether slots may be reserved, or the end of a reservation was not published or logged yet.
    fn has_to_report(&self) -> bool {
        let (_, any, _) = self.logged.get();
        any || self.counts.reserved.get() > 0 || self.gate.borrow().may_reserve(self.ctx.now())
    }

    /// Publishes the number of reserved slots, and logs when it becomes zero or no longer is.
    fn report_reserved(&self) {
        if !self.has_to_report() {
            return;
        }
        let (now, reserved) = (self.ctx.now(), self.reserved());
        self.counts.reserved.set(i64::try_from(reserved.slots).unwrap_or(i64::MAX));
        let (at, any, held_back) = self.logged.get();
        if any == (reserved.slots > 0) || now.since(at) < LOG_INTERVAL {
            return;
        }
        self.logged.set((now, reserved.slots > 0, self.counts.held_back.get()));
        let load = self.load();
        log::info!(
            reserved = reserved.slots,
            per_s = reserved.per_second,
            run_ms = u64::try_from(reserved.run_time.as_millis()).unwrap_or(u64::MAX),
            running = load.running,
            waiting = load.waiting,
            slots = load.slots,
            held_back = self.counts.held_back.get() - held_back;
            "the slots reserved for urgent calls have changed"
        );
    }
}

impl Slot {
    /// Frees the slot after the call has ended.
    pub fn end(mut self) {
        self.ended = true;
        self.slots.handle(admit::Event::Ended { ticket: self.ticket });
    }

    /// Frees the slot after the upstream shed the call.
    pub fn shed(mut self) {
        self.ended = true;
        self.slots.handle(admit::Event::Shed { ticket: self.ticket });
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.slots.waiters.borrow_mut().remove(&self.ticket);
        self.slots.handle(admit::Event::Cancelled { ticket: self.ticket });
    }
}
