//! The gate in front of the upstream beside this node, for tasks that wait for a slot.

use std::cell::{Cell, RefCell};
use std::collections;
use std::rc::Rc;
use std::time;

use smol_str::SmolStr;
use tokio::sync::oneshot;

use crate::admit;
use crate::clock;
use crate::context;
use crate::retry;

/// Granularity of the runtime's timers.
const TIMER_SLACK: time::Duration = time::Duration::from_millis(1);

/// What the gate said to a call.
type Verdict = Result<(), Refused>;

/// The gate turned the call away; it has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refused {
    /// Why.
    pub reason: retry::Reason,
    /// When a place may be free.
    pub retry_after: time::Duration,
}

/// What a call needs at the gate.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Name of its kind.
    pub kind: &'a str,
    /// Weight of its kind.
    pub weight: u32,
    /// Whether a call that runs already waits for it.
    pub inner: bool,
    /// Until when an answer has its full worth.
    pub target: clock::Instant,
    /// When the gate has to have decided.
    pub deadline: clock::Instant,
}

/// Numbers of kinds at the gate.
#[derive(Debug, Default)]
struct Kinds {
    names: Vec<SmolStr>,
    /// Number that the next new kind gets once all are given out.
    next: usize,
}

impl Kinds {
    /// Most kinds told apart. A service has a handful; a new one takes the number of the one that
    /// has had its own for longest, so that a node's memory stays bounded however many
    /// configurations it sees.
    const MOST: usize = 64;

    fn number(&mut self, name: &str) -> admit::Kind {
        let known = self.names.iter().position(|k| k == name);
        let index = known.unwrap_or_else(|| self.add(name));
        admit::Kind(u16::try_from(index).unwrap_or(u16::MAX))
    }

    fn add(&mut self, name: &str) -> usize {
        let index = self.next;
        self.next = (index + 1) % Self::MOST;
        match self.names.get_mut(index) {
            Some(old) => *old = SmolStr::new(name),
            None => self.names.push(SmolStr::new(name)),
        }
        index
    }
}

/// The gate and the calls that wait at it.
#[derive(Debug)]
pub struct Slots {
    ctx: context::Context,
    gate: RefCell<admit::Gate>,
    waiters: RefCell<collections::HashMap<admit::Ticket, oneshot::Sender<Verdict>>>,
    next: Cell<u64>,
    kinds: RefCell<Kinds>,
    /// Kept to save an allocation for each event.
    actions: RefCell<Vec<admit::Action>>,
}

/// A slot held by a call that runs; dropped without [`Slot::end`], the call was cancelled.
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
            actions: RefCell::default(),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// The gate's refusal.
    pub async fn enter(self: &Rc<Self>, wish: &Wish<'_>) -> Result<Slot, Refused> {
        let &Wish { weight, inner, target, deadline, .. } = wish;
        let kind = self.kinds.borrow_mut().number(wish.kind);
        let ticket = admit::Ticket(self.next.replace(self.next.get() + 1));
        let (sender, mut receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        // From here on, leaving early takes the call off the gate.
        let slot = Slot { slots: Rc::clone(self), ticket, ended: false };
        let call = admit::Call { ticket, kind, weight, inner, target, deadline };
        self.handle(admit::Event::Arrive(call));
        if let Ok(verdict) = receiver.try_recv() {
            return verdict.map(|()| slot);
        }
        let left = deadline.since(self.ctx.now()) + TIMER_SLACK;
        let mut verdict = tokio::time::timeout(left, &mut receiver).await;
        if verdict.is_err() {
            self.handle(admit::Event::Tick);
            verdict = Ok(receiver.await);
        }
        match verdict {
            Ok(Ok(verdict)) => verdict.map(|()| slot),
            Ok(Err(_)) | Err(_) => {
                Err(Refused { reason: retry::Reason::TooLate, retry_after: time::Duration::ZERO })
            }
        }
    }

    /// What [`Self::enter`] would say to a call that came now.
    ///
    /// # Errors
    ///
    /// The gate's refusal.
    pub fn preview(&self, wish: &Wish<'_>) -> Result<(), Refused> {
        let ticket = admit::Ticket(self.next.replace(self.next.get() + 1));
        let kind = self.kinds.borrow_mut().number(wish.kind);
        let &Wish { weight, inner, target, deadline, .. } = wish;
        let call = admit::Call { ticket, kind, weight, inner, target, deadline };
        match self.gate.borrow().preview(&call, self.ctx.now()) {
            Some(admit::Action::Refuse { reason, retry_after, .. }) => {
                Err(Refused { reason, retry_after })
            }
            Some(admit::Action::Run { .. }) | None => Ok(()),
        }
    }

    /// Takes in a change of the limits.
    pub fn limit(&self, limits: admit::Limits) {
        self.handle(admit::Event::Limits(limits));
    }

    /// Admits nothing any more.
    pub fn drain(&self) {
        self.handle(admit::Event::Drain);
    }

    /// Admits calls again after [`Self::drain`].
    pub fn resume(&self) {
        self.handle(admit::Event::Resume);
    }

    /// Forgets what was learned of the upstream, which has started anew.
    pub fn restart(&self) {
        self.handle(admit::Event::Restart);
    }

    /// When a place may be free for a call that was let in and then shed.
    pub fn pause(&self) -> time::Duration {
        let ticket = admit::Ticket(self.next.replace(self.next.get() + 1));
        self.gate.borrow().retry_after(ticket, self.ctx.now())
    }

    /// The upstream's load.
    pub fn load(&self) -> admit::Load {
        self.gate.borrow().load()
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
                // A waiter that has left gives its slot back when its `Slot` is dropped.
                let _ = waiter.send(verdict);
            }
        }
        self.actions.replace(actions);
    }
}

impl Slot {
    /// The call has ended by itself.
    pub fn end(mut self) {
        self.ended = true;
        self.slots.handle(admit::Event::Ended { ticket: self.ticket });
    }

    /// The upstream shed the call.
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
