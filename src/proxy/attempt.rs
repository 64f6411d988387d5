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
            state,
            ended: false,
        }
    }

    /// Sets the load, and what the upstream says of itself, that the answer carried.
    pub fn set_load(&mut self, load: Option<admit::Load>, notice: Option<notice::Relayed>) {
        self.load = load;
        self.notice = notice;
    }

    /// Sets the time after which the upstream's node has room for the call that it refused.
    pub fn set_retry_after(&mut self, retry_after: Option<time::Duration>) {
        self.retry_after = retry_after;
    }

    /// Sets the run time at the upstream, as a multiple of the mean over all upstreams.
    pub fn set_relative_time(&mut self, relative_time: f32) {
        self.relative_time = Some(relative_time);
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
        };
        self.picker.borrow_mut().ended(self.choice, &report, now);
        outcome
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
