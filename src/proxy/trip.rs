//! One attempt under way, reported to the picker when it ends.

use std::cell::RefCell;
use std::rc::Rc;

use crate::admit;
use crate::clock;
use crate::context;
use crate::pick;
use crate::retry;
use crate::rollout;

/// An attempt at a picked upstream. Dropped before its end, the caller has left.
pub struct Trip {
    ctx: context::Context,
    picker: Rc<RefCell<pick::Picker>>,
    choice: pick::Choice,
    started: clock::Instant,
    load: Option<admit::Load>,
    pace: Option<f32>,
    attempt: retry::Attempt,
    ended: bool,
}

impl Trip {
    /// An attempt that starts now.
    pub fn start(
        ctx: context::Context,
        picker: Rc<RefCell<pick::Picker>>,
        choice: pick::Choice,
    ) -> Self {
        let started = ctx.now();
        picker.borrow_mut().started(choice, started);
        let attempt = retry::Attempt::new();
        Self { ctx, picker, choice, started, load: None, pace: None, attempt, ended: false }
    }

    /// Notes the load that came back with the answer.
    pub fn load(&mut self, load: Option<admit::Load>) {
        self.load = load;
    }

    /// Notes the time that the upstream took, as a multiple of that of all upstreams.
    pub fn pace(&mut self, pace: f32) {
        self.pace = Some(pace);
    }

    /// Whether it goes to a version that is not proven.
    pub fn is_tried(&self) -> bool {
        self.choice.target.group == rollout::VersionGroup::New
    }

    /// Takes in what happened.
    pub fn note(&mut self, event: retry::Event) {
        self.attempt.handle(event);
    }

    /// The attempt ends with `event`.
    pub fn end(mut self, event: retry::Event) -> retry::Outcome {
        self.finish(event)
    }

    fn finish(&mut self, event: retry::Event) -> retry::Outcome {
        self.ended = true;
        self.attempt.handle(event);
        let unclear = retry::Outcome::Unknown(retry::Reason::Malformed);
        let outcome = self.attempt.outcome().unwrap_or(unclear);
        let now = self.ctx.now();
        let latency = now.since(self.started);
        let report = pick::Report { outcome, load: self.load, relative_time: self.pace, latency };
        self.picker.borrow_mut().ended(self.choice, &report, now);
        outcome
    }
}

impl std::fmt::Debug for Trip {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Trip").field("choice", &self.choice).finish_non_exhaustive()
    }
}

impl Drop for Trip {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(retry::Event::Failed(retry::Reason::Cancelled));
        }
    }
}
