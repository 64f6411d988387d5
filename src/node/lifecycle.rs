//! Life cycle of the process: running, leaving, draining, ended.

use std::time;

use statig::prelude::*;

use crate::clock;
use crate::node;

/// An input of the life cycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A stop was requested; a second request ends the process at once.
    Stop,
    /// No call is in flight, and no call is admitted any longer.
    Idle,
    /// Time has passed.
    Tick,
}

/// Durations of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long the node keeps serving after the request to stop.
    pub serve: time::Duration,
    /// Minimum time in [`node::Stage::Drain`], in which other nodes learn of the drain.
    pub settle: time::Duration,
    /// Maximum time in [`node::Stage::Drain`]; calls still in flight then are cut.
    pub drain: time::Duration,
}

/// State machine that decides when the process enters the next [`node::Stage`].
#[derive(Debug)]
struct Lifecycle {
    limits: Limits,
    idle: bool,
}

#[state_machine(
    initial = "State::running()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq)),
    context_identifier = "now",
    visibility = "pub(self)"
)]
impl Lifecycle {
    #[state]
    fn running(&self, event: &Event, now: &mut clock::Instant) -> Outcome<State> {
        match event {
            Event::Stop if self.limits.serve.is_zero() => Transition(State::draining(*now)),
            Event::Stop => Transition(State::leaving(*now)),
            Event::Idle | Event::Tick => Handled,
        }
    }

    /// The node reports that it is not ready, but serves as before.
    #[state]
    fn leaving(
        &self,
        since: &clock::Instant,
        event: &Event,
        now: &mut clock::Instant,
    ) -> Outcome<State> {
        let expired = now.since(*since) >= self.limits.serve;
        match event {
            Event::Stop => Transition(State::ended()),
            Event::Idle | Event::Tick if expired => Transition(State::draining(*now)),
            Event::Idle | Event::Tick => Handled,
        }
    }

    #[state]
    fn draining(
        &mut self,
        since: &clock::Instant,
        event: &Event,
        now: &mut clock::Instant,
    ) -> Outcome<State> {
        if *event == Event::Idle {
            self.idle = true;
        }
        let elapsed = now.since(*since);
        let settled = self.idle && elapsed >= self.limits.settle;
        let expired = elapsed >= self.limits.drain;
        if settled || expired || *event == Event::Stop {
            return Transition(State::ended());
        }
        Handled
    }

    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }
}

/// The life cycle with its current state.
pub struct Machine {
    inner: statig::blocking::StateMachine<Lifecycle>,
}

impl Machine {
    /// The life cycle of a process that has just started.
    pub fn new(limits: Limits) -> Self {
        Self { inner: Lifecycle { limits, idle: false }.state_machine() }
    }

    /// Handles an event and returns the current stage.
    pub fn handle(&mut self, event: Event, mut now: clock::Instant) -> node::Stage {
        self.inner.handle_with_context(&event, &mut now);
        match self.inner.state() {
            State::Running {} => node::Stage::Run,
            State::Leaving { .. } => node::Stage::Leave,
            State::Draining { .. } => node::Stage::Drain,
            State::Ended {} => node::Stage::End,
        }
    }
}
