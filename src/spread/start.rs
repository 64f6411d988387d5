//! Start of a node: before it runs any version, it finds out which one the mesh runs and which one
//! it ran itself before its restart.

use std::time;

use statig::prelude::*;

use crate::clock;
use crate::configs;
use crate::version;

/// Longest wait for the first other host when the settings name hosts to join through.
const MAX_JOIN_WAIT: time::Duration = time::Duration::from_secs(3);

/// Added to the maximum random delay of a start for each other host, so that the requests of many
/// hosts that start at once are spread over time.
const DELAY_PER_HOST: time::Duration = time::Duration::from_millis(1);

/// An input of the start's state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The log's tail names a version newer than the one held.
    Behind,
    /// The log's tail was read, and nothing newer was found.
    Confirmed,
    /// The log could not be read, or its tail does not tell whether there is a newer version.
    Failed,
    /// A time limit may have passed, or one of the facts has changed.
    Tick,
    /// A queried host has answered.
    Answered,
}

/// The state of the node that the start's decisions depend on.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// Time since the start, as an instant after [`clock::Instant::ZERO`].
    pub now: clock::Instant,
    /// Number of other live hosts.
    pub other_hosts: usize,
    /// The version that this host holds.
    pub held: version::Version,
    /// The highest version reported by the queried hosts or the log's tail.
    pub reported: version::Version,
    /// Whether this host is one of its zone's readers.
    pub is_reader: bool,
}

/// The phases of the start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits for the first other host, and then a random delay.
    Joining,
    /// Queries a few hosts for the version that the mesh runs.
    Asking,
    /// Waits until it holds the version that was reported.
    Fetching,
    /// No queried host holds a version: waits for this zone's readers to push one.
    Waiting,
    /// Reads the log to check that no newer version exists.
    Confirming,
    /// The log could not confirm the version: queries more hosts.
    AskingMore,
    /// The start is complete.
    Started,
}

/// Limits and random share of one node's start.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether the settings name hosts to join through.
    pub join: bool,
    /// This node's random fraction of the maximum delays, from 0 to 1.
    pub share: f64,
    ask: usize,
    settle: time::Duration,
    confirm: time::Duration,
    fetch: time::Duration,
}

impl Limits {
    /// The limits that `settings` give.
    pub const fn new(settings: &configs::spread::Spread, join: bool, share: f64) -> Self {
        Self {
            join,
            share,
            ask: settings.ask as usize,
            settle: time::Duration::from_millis(settings.settle_ms),
            confirm: time::Duration::from_millis(settings.confirm_ms),
            fetch: time::Duration::from_millis(settings.transfer_ms),
        }
    }

    fn readers_wait(&self) -> time::Duration {
        self.confirm.mul_f64(1.0 + self.share)
    }

    fn initial_delay(&self, other_hosts: usize) -> time::Duration {
        let spread_out = DELAY_PER_HOST * u32::try_from(other_hosts).unwrap_or(u32::MAX);
        self.settle.max(spread_out).mul_f64(self.share)
    }
}

#[derive(Debug)]
struct Start {
    limits: Limits,
    answers: usize,
}

#[state_machine(
    initial = "State::joining()",
    state(derive(Clone, Copy, Debug, PartialEq)),
    context_identifier = "facts",
    visibility = "pub(self)"
)]
impl Start {
    #[state]
    fn joining(&mut self, facts: &mut Facts) -> Outcome<State> {
        let elapsed = facts.now.since(clock::Instant::ZERO);
        if facts.other_hosts > 0 && elapsed >= self.limits.initial_delay(facts.other_hosts) {
            return Transition(self.begin_asking(facts));
        }
        if !self.limits.join || elapsed >= MAX_JOIN_WAIT {
            return Transition(self.begin_confirming(facts));
        }
        Handled
    }

    #[state]
    fn asking(
        &mut self,
        until: &clock::Instant,
        event: &Event,
        facts: &mut Facts,
    ) -> Outcome<State> {
        if !self.enough_answers(*until, event, facts, self.limits.ask) {
            return Handled;
        }
        if facts.reported > facts.held {
            return Transition(State::fetching(facts.now + self.limits.fetch, true));
        }
        if facts.held == version::Version::NONE && !facts.is_reader {
            return Transition(State::waiting(facts.now + self.limits.readers_wait()));
        }
        Transition(self.begin_confirming(facts))
    }

    #[state]
    fn fetching(
        &mut self,
        until: &clock::Instant,
        confirm: &bool,
        facts: &mut Facts,
    ) -> Outcome<State> {
        if facts.held < facts.reported && facts.now < *until {
            return Handled;
        }
        match confirm {
            true => Transition(self.begin_confirming(facts)),
            false => Transition(State::started()),
        }
    }

    #[state]
    fn waiting(&mut self, until: &clock::Instant, facts: &mut Facts) -> Outcome<State> {
        if facts.held == version::Version::NONE && facts.now < *until {
            return Handled;
        }
        Transition(self.begin_confirming(facts))
    }

    #[state]
    fn confirming(
        &mut self,
        until: &clock::Instant,
        event: &Event,
        facts: &mut Facts,
    ) -> Outcome<State> {
        match event {
            Event::Behind => {
                return Transition(State::fetching(facts.now + self.limits.fetch, false));
            }
            Event::Confirmed => return Transition(State::started()),
            Event::Failed => {}
            Event::Tick | Event::Answered if facts.now < *until => return Handled,
            Event::Tick | Event::Answered => {}
        }
        if facts.other_hosts == 0 {
            return Transition(State::started());
        }
        self.answers = 0;
        Transition(State::asking_more(facts.now + self.limits.settle))
    }

    #[state]
    fn asking_more(
        &mut self,
        until: &clock::Instant,
        event: &Event,
        facts: &mut Facts,
    ) -> Outcome<State> {
        if *event == Event::Confirmed {
            return Transition(State::started());
        }
        if !self.enough_answers(*until, event, facts, wider_query(self.limits.ask)) {
            return Handled;
        }
        Transition(State::fetching(facts.now + self.limits.fetch, false))
    }

    #[state]
    fn started() -> Outcome<State> {
        Handled
    }
}

impl Start {
    fn begin_asking(&mut self, facts: &Facts) -> State {
        self.answers = 0;
        State::asking(facts.now + self.limits.settle)
    }

    fn begin_confirming(&self, facts: &Facts) -> State {
        State::confirming(facts.now + self.limits.confirm)
    }

    fn enough_answers(
        &mut self,
        until: clock::Instant,
        event: &Event,
        facts: &Facts,
        queried: usize,
    ) -> bool {
        if *event == Event::Answered {
            self.answers += 1;
        }
        self.answers >= queried.min(facts.other_hosts) || facts.now >= until
    }
}

const fn wider_query(ask: usize) -> usize {
    ask * 2
}

/// State machine of one node's start.
pub struct Machine {
    inner: statig::blocking::StateMachine<Start>,
}

impl Machine {
    /// A start in its first phase, at which [`Facts::now`] counts from zero.
    pub fn new(limits: Limits) -> Self {
        Self { inner: Start { limits, answers: 0 }.state_machine() }
    }

    /// Handles an event and returns the phase it leads to.
    pub fn handle(&mut self, event: Event, mut facts: Facts) -> Phase {
        self.inner.handle_with_context(&event, &mut facts);
        self.phase()
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        match self.inner.state() {
            State::Joining {} => Phase::Joining,
            State::Asking { .. } => Phase::Asking,
            State::Fetching { .. } => Phase::Fetching,
            State::Waiting { .. } => Phase::Waiting,
            State::Confirming { .. } => Phase::Confirming,
            State::AskingMore { .. } => Phase::AskingMore,
            State::Started {} => Phase::Started,
        }
    }

    /// Number of hosts to query in the current phase.
    pub fn query_count(&self) -> usize {
        match self.phase() {
            Phase::Asking => self.inner.limits.ask,
            Phase::AskingMore => wider_query(self.inner.limits.ask),
            _ => 0,
        }
    }
}
