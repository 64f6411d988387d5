//! Overload protection of the call path: measures how late the thread of the calls does its work.
//!
//! Everything here is idle while the setting `overload.delay_ms` is 0.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time;

use tokio::sync;

use crate::claim;
use crate::clock;
use crate::configs;
use crate::overload;
use crate::proxy::state;

/// Time between two measurements: five in each window of the standing delay.
const MEASURE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Granularity of the runtime's timers. A timer that fires within it is on time.
const TIMER_GRANULARITY: time::Duration = time::Duration::from_millis(1);

/// Task wake-ups of a call of another node before its time budget is read, each of which waits
/// about as long as the measured delay: of the connection, and of the task of the call.
const ARRIVAL_WAKEUPS: u32 = 2;

/// Task wake-ups of a call of another node outside the time for which it holds its slot, which is
/// measured as its run time: those on arrival, and that of the connection for the answer.
const EXTRA_WAKEUPS: u32 = ARRIVAL_WAKEUPS + 1;

/// Overload protection of a node.
#[derive(Debug)]
pub struct Overload {
    /// `None` if no overload is looked for.
    active: Option<Active>,
}

#[derive(Debug)]
struct Active {
    delay: RefCell<overload::Delay>,
    /// Whether the delay is being measured.
    measuring: Cell<bool>,
    start: sync::Notify,
}

impl Overload {
    /// The protection with `settings`.
    pub fn new(settings: &configs::overload::Overload) -> Self {
        let active = (settings.delay_ms > 0).then(|| Active {
            delay: RefCell::default(),
            measuring: Cell::new(false),
            start: sync::Notify::new(),
        });
        Self { active }
    }

    /// Records that a call is in flight, so that the delay is measured.
    pub fn call_entered(&self) {
        if let Some(active) = self.active.as_ref().filter(|active| !active.measuring.get()) {
            active.measuring.set(true);
            active.start.notify_one();
        }
    }

    /// The standing delay of the thread's work; zero if it is not measured.
    pub fn delay(&self, now: clock::Instant) -> time::Duration {
        self.active.as_ref().map_or(time::Duration::ZERO, |active| active.delay.borrow().delay(now))
    }

    /// The time for which a call of another node has waited here before its time budget is read.
    pub fn arrival_delay(&self, now: clock::Instant) -> time::Duration {
        self.delay(now) * ARRIVAL_WAKEUPS
    }

    /// The time by which this node's own work lengthens a call of another node, besides its run
    /// time.
    pub fn extra_wait(&self, now: clock::Instant) -> time::Duration {
        self.delay(now) * EXTRA_WAKEUPS
    }
}

/// Measures the delay of the thread's work while a call is in flight. Returns at once if no
/// overload is looked for.
pub async fn measure<C: claim::Claims>(state: Rc<state::State<C>>) {
    let Some(active) = &state.overload.active else { return };
    loop {
        active.start.notified().await;
        while state.in_flight.count() > 0 {
            let due = state.ctx.now() + MEASURE_INTERVAL + TIMER_GRANULARITY;
            tokio::time::sleep(MEASURE_INTERVAL).await;
            let now = state.ctx.now();
            active.delay.borrow_mut().record(now.since(due), now);
        }
        active.delay.borrow_mut().clear();
        active.measuring.set(false);
    }
}
