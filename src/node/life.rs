//! Life cycle of the process: running, draining, ended.

use std::time;

use statig::prelude::*;

use crate::clock;
use crate::node;

/// What happens to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The process was asked to stop; a second request ends it at once.
    Stop,
    /// The call path has nothing in flight and admits nothing.
    Idle,
    /// Time has passed.
    Tick,
}

/// How long a planned stop may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// How long a node serves on after it was asked to stop.
    pub serve: time::Duration,
    /// Least time in [`node::Stage::Drain`], so that the news of the drain reaches the others.
    pub settle: time::Duration,
    /// Most time in [`node::Stage::Drain`]; what is still in flight then is cut.
    pub drain: time::Duration,
}

/// Decides when the process goes from one [`node::Stage`] to the next.
#[derive(Debug)]
struct Life {
    limits: Limits,
    idle: bool,
}

#[state_machine(
    initial = "State::running()",
    state(derive(Clone, Copy, Debug, Eq, PartialEq)),
    context_identifier = "now",
    visibility = "pub(self)"
)]
impl Life {
    #[state]
    fn running(&self, event: &Event, now: &mut clock::Instant) -> Outcome<State> {
        match event {
            Event::Stop if self.limits.serve.is_zero() => Transition(State::draining(*now)),
            Event::Stop => Transition(State::leaving(*now)),
            Event::Idle | Event::Tick => Handled,
        }
    }

    /// Not ready, but serving as before.
    #[state]
    fn leaving(
        &self,
        since: &clock::Instant,
        event: &Event,
        now: &mut clock::Instant,
    ) -> Outcome<State> {
        let over = now.since(*since) >= self.limits.serve;
        match event {
            Event::Stop => Transition(State::ended()),
            Event::Idle | Event::Tick if over => Transition(State::draining(*now)),
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
        let spent = now.since(*since);
        let settled = self.idle && spent >= self.limits.settle;
        let over = spent >= self.limits.drain;
        if settled || over || *event == Event::Stop {
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
    inner: statig::blocking::StateMachine<Life>,
}

impl Machine {
    /// A process that runs.
    pub fn new(limits: Limits) -> Self {
        Self { inner: Life { limits, idle: false }.state_machine() }
    }

    /// Takes an event and gives the stage that holds from now on.
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
