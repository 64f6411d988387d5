//! Overload protection of the call path: measures how late the thread of the calls does its work,
//! and refuses calls of callers before they get a task.
//!
//! Everything here is idle while the setting `overload.delay_ms` is 0.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http::header;
use tokio::sync;
use tokio::task;

use crate::claim;
use crate::clock;
use crate::configs;
use crate::mesh;
use crate::overload;
use crate::proxy::count;
use crate::proxy::dialect;
use crate::proxy::entry;
use crate::proxy::headers;
use crate::proxy::organisations;
use crate::proxy::proof;
use crate::proxy::refuse;
use crate::proxy::reply;
use crate::proxy::request_head;
use crate::proxy::state;
use crate::proxy::trace;
use crate::retry;

#[cfg(test)]
mod tests;

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

/// Maximum number of header fields of a request that may be refused here. A request with more is
/// passed on.
const MAX_FIELDS: usize = 64;

/// Overload protection of a node.
#[derive(Debug)]
pub struct Overload {
    /// `None` if no overload is looked for.
    active: Option<Active>,
}

#[derive(Debug)]
struct Active {
    delay: RefCell<overload::Delay>,
    controller: RefCell<overload::Controller>,
    counts: overload::Counts,
    /// Whether the delay is being measured.
    measuring: Cell<bool>,
    start: sync::Notify,
}

impl Overload {
    /// The protection with `settings`; `counts` are its metrics.
    pub fn new(settings: &configs::overload::Overload, counts: overload::Counts) -> Self {
        let threshold = time::Duration::from_millis(settings.delay_ms);
        let active = (settings.delay_ms > 0).then(|| Active {
            delay: RefCell::default(),
            controller: RefCell::new(overload::Controller::new(threshold)),
            counts,
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

impl Active {
    /// Records that work that was due `late` earlier was done at `now`.
    fn record(&self, late: time::Duration, now: clock::Instant) {
        self.delay.borrow_mut().record(late, now);
        self.apply(now);
    }

    /// Records that no work waits.
    fn stop(&self, now: clock::Instant) {
        self.delay.borrow_mut().clear();
        self.apply(now);
        self.measuring.set(false);
    }

    /// Applies the standing delay at `now`.
    fn apply(&self, now: clock::Instant) {
        let delay = self.delay.borrow().delay(now);
        let mut controller = self.controller.borrow_mut();
        let change = controller.observe(delay, now);
        let share = controller.share();
        self.counts.set(delay, share);
        let millis = |time: time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let (delay_ms, threshold_ms) = (millis(delay), millis(controller.threshold()));
        match change {
            Some(overload::Change::Began) => {
                log::warn!(delay_ms, threshold_ms, share; "overloaded: the node refuses calls");
            }
            Some(overload::Change::Ended) => {
                log::info!(delay_ms, threshold_ms, share; "the node admits all calls again");
            }
            None => {}
        }
    }
}

/// Measures the delay of the thread's work while a call is in flight or calls are refused. Returns
/// at once if no overload is looked for.
pub async fn measure<C: claim::Claims>(state: Rc<state::State<C>>) {
    let Some(active) = &state.overload.active else { return };
    loop {
        active.start.notified().await;
        while state.in_flight.count() > 0 || active.controller.borrow().is_shedding() {
            let due = state.ctx.now() + MEASURE_INTERVAL + TIMER_GRANULARITY;
            tokio::time::sleep(MEASURE_INTERVAL).await;
            let fired = state.ctx.now();
            // A timer alone underestimates the delay where the thread looks at its timers once in
            // each pass through its tasks: passes of 25 ms would make one of 20 ms late by 5 ms.
            task::yield_now().await;
            let now = state.ctx.now();
            active.record(fired.since(due).max(now.since(fired)), now);
        }
        active.stop(state.ctx.now());
    }
}

/// Decides on the request of a caller with the head `bytes`. Returns the bytes of the refusal, or
/// `None` if the request is to be served: it is admitted, nested, or gets another answer. `close`:
/// the connection ends after the refusal.
pub fn refuse<C: claim::Claims>(
    state: &state::State<C>,
    bytes: &[u8],
    close: bool,
) -> Option<Bytes> {
    let active = state.overload.active.as_ref()?;
    if !active.controller.borrow().is_watching() || state.is_leaving() {
        return None;
    }
    let began = state.ctx.now();
    let parts = parse(bytes, &state.dialect)?;
    let head_only = parts.method == http::Method::HEAD;
    let max_path = state.settings.proxy.path_bytes;
    let read = request_head::RequestHead::read(parts, max_path, &state.dialect, || state.new_id());
    let mut head = read.ok()?;
    let applied = state.applied();
    let route = entry::find_route(state, &applied, &head).ok()?;
    if state.running.parent_of(&head.id).is_some() {
        return None;
    }
    let matched = applied.mesh.route(route);
    let caller = organisations::identify(&applied.mesh, matched, None, &mut head).ok()?;
    let kind = matched.kind;
    let urgency = caller.as_ref().map(|caller| caller.priority);
    let priority = overload::Priority::new(applied.mesh.kind(kind), urgency);
    let charged = caller.and_then(|caller| caller.charged);
    if active.controller.borrow_mut().admit(priority, charged, began) == overload::Verdict::Admit {
        return None;
    }
    let cause = refuse::Cause::new(retry::Reason::Overloaded).retry_in(state.retry_delay());
    let refusal = refuse::Refusal::unsent(proof::Unsent::fresh(), cause);
    active.counts.refused.inc();
    entry::record_failed(state, entry::caller_try(state, &head, began));
    count_refused(state, &applied, kind, began, &refusal);
    let now = state.ctx.now();
    let ended = trace::Ended {
        id: &head.id,
        refusal: &refusal,
        version: applied.version_id.version,
        took: now.since(began),
    };
    state.trace.ended(&ended, now);
    let mut answer = reply::answer(&refusal, state.dialect.verbose);
    answer.headers_mut().insert(&state.dialect.id, head.id);
    Some(reply::encode(&answer, retry::Reason::Overloaded.as_str(), head_only, close))
}

/// Counts the refused call of `kind` that arrived at `began`.
fn count_refused<C: claim::Claims>(
    state: &state::State<C>,
    applied: &mesh::Applied,
    kind: mesh::KindKey,
    began: clock::Instant,
    refusal: &refuse::Refusal,
) {
    let (tally, mesh) = (Rc::clone(&state.tally), Arc::clone(&applied.mesh));
    count::Pending::new(state.ctx, tally, mesh, kind, began).ended(refusal.outcome());
}

/// Parses the head of a request, with only those headers that decide whether it is refused. `None`
/// if it is in a form that is left to hyper.
fn parse(bytes: &[u8], dialect: &dialect::Dialect) -> Option<http::request::Parts> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    if !request.parse(bytes).is_ok_and(|status| status.is_complete()) {
        return None;
    }
    let mut builder = http::Request::builder().method(request.method?).uri(request.path?);
    if request.version == Some(0) {
        builder = builder.version(http::Version::HTTP_10);
    }
    let decisive = [
        header::HOST.as_str(),
        header::AUTHORIZATION.as_str(),
        // It names headers that don't count.
        header::CONNECTION.as_str(),
        headers::IDEMPOTENCY_KEY,
        headers::DEPTH,
        headers::ATTEMPT,
        dialect.id.as_str(),
        dialect.remaining.as_str(),
    ];
    for field in request.headers.iter() {
        if decisive.iter().any(|name| name.eq_ignore_ascii_case(field.name)) {
            builder = builder.header(field.name, field.value);
        }
    }
    Some(builder.body(()).ok()?.into_parts().0)
}
