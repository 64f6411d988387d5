//! Start of a node: it finds out what the mesh runs, and what it ran itself in an earlier life,
//! before it runs anything.

use std::time;

use statig::prelude::*;

use crate::clock;
use crate::configs;
use crate::version;

/// Longest wait for the first other host when some are configured.
const JOIN: time::Duration = time::Duration::from_secs(3);

/// Added to the random delay of a start for every other host, so that a herd spreads its requests.
const DELAY_PER_HOST: time::Duration = time::Duration::from_millis(1);

/// What happens during the start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The log's tail names a version newer than what is held.
    Behind,
    /// The log's tail was read, and nothing newer was found.
    Confirmed,
    /// The log could not be read, or does not tell.
    Failed,
    /// Time has passed, or one of the facts has changed.
    Tick,
    /// A host that was asked has answered.
    Told,
}

/// What the start depends on.
#[derive(Clone, Copy, Debug)]
pub struct Facts {
    /// The current instant.
    pub now: clock::Instant,
    /// How many other hosts answer.
    pub others: usize,
    /// What this host holds.
    pub held: version::Version,
    /// The highest version told by the hosts asked.
    pub told: version::Version,
    /// Whether this host reads the log for its zone.
    pub reader: bool,
}

/// What the node does while it starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits for the first other host.
    Joining,
    /// Asks a few hosts what the mesh runs.
    Asking,
    /// Waits for the version that was told.
    Fetching,
    /// Nobody holds a version; waits for this zone's readers.
    Waiting,
    /// Reads the log's tail.
    Confirming,
    /// The log can't be read: asks more hosts.
    Widening,
    /// Has started.
    Settled,
}

/// Limits of the start.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Whether other hosts are configured to join through.
    pub join: bool,
    /// Fraction of the random delay this node takes, from 0 to 1.
    pub share: f64,
    ask: usize,
    settle: time::Duration,
    confirm: time::Duration,
    fetch: time::Duration,
}

impl Limits {
    /// The limits of `settings`.
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

    fn wait(&self) -> time::Duration {
        self.confirm.mul_f64(1.0 + self.share)
    }

    fn delay(&self, others: usize) -> time::Duration {
        let herd = DELAY_PER_HOST * u32::try_from(others).unwrap_or(u32::MAX);
        self.settle.max(herd).mul_f64(self.share)
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
        let since = facts.now.since(clock::Instant::ZERO);
        if facts.others > 0 && since >= self.limits.delay(facts.others) {
            return Transition(self.ask(facts));
        }
        if !self.limits.join || since >= JOIN {
            return Transition(self.confirm(facts));
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
        if !self.answered(*until, event, facts, self.limits.ask) {
            return Handled;
        }
        if facts.told > facts.held {
            return Transition(State::fetching(facts.now + self.limits.fetch, true));
        }
        if facts.held == version::Version::NONE && !facts.reader {
            return Transition(State::waiting(facts.now + self.limits.wait()));
        }
        Transition(self.confirm(facts))
    }

    #[state]
    fn fetching(
        &mut self,
        until: &clock::Instant,
        confirm: &bool,
        facts: &mut Facts,
    ) -> Outcome<State> {
        if facts.held < facts.told && facts.now < *until {
            return Handled;
        }
        match confirm {
            true => Transition(self.confirm(facts)),
            false => Transition(State::settled()),
        }
    }

    #[state]
    fn waiting(&mut self, until: &clock::Instant, facts: &mut Facts) -> Outcome<State> {
        if facts.held == version::Version::NONE && facts.now < *until {
            return Handled;
        }
        Transition(self.confirm(facts))
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
            Event::Confirmed => return Transition(State::settled()),
            Event::Failed => {}
            Event::Tick | Event::Told if facts.now < *until => return Handled,
            Event::Tick | Event::Told => {}
        }
        if facts.others == 0 {
            return Transition(State::settled());
        }
        self.answers = 0;
        Transition(State::widening(facts.now + self.limits.settle))
    }

    #[state]
    fn widening(
        &mut self,
        until: &clock::Instant,
        event: &Event,
        facts: &mut Facts,
    ) -> Outcome<State> {
        if *event == Event::Confirmed {
            return Transition(State::settled());
        }
        if !self.answered(*until, event, facts, wide(self.limits.ask)) {
            return Handled;
        }
        Transition(State::fetching(facts.now + self.limits.fetch, false))
    }

    #[state]
    fn settled() -> Outcome<State> {
        Handled
    }
}

impl Start {
    fn ask(&mut self, facts: &Facts) -> State {
        self.answers = 0;
        State::asking(facts.now + self.limits.settle)
    }

    fn confirm(&self, facts: &Facts) -> State {
        State::confirming(facts.now + self.limits.confirm)
    }

    fn answered(
        &mut self,
        until: clock::Instant,
        event: &Event,
        facts: &Facts,
        asked: usize,
    ) -> bool {
        if *event == Event::Told {
            self.answers += 1;
        }
        self.answers >= asked.min(facts.others) || facts.now >= until
    }
}

const fn wide(ask: usize) -> usize {
    ask * 2
}

/// The start of one node, with its current phase.
pub struct Machine {
    inner: statig::blocking::StateMachine<Start>,
}

impl Machine {
    /// A start at the origin of `limits`' clock; see [`Facts::now`].
    pub fn new(limits: Limits) -> Self {
        Self { inner: Start { limits, answers: 0 }.state_machine() }
    }

    /// Takes an event and gives the phase that holds from now on.
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
            State::Widening { .. } => Phase::Widening,
            State::Settled {} => Phase::Settled,
        }
    }

    /// How many hosts are asked in the current phase.
    pub fn asked(&self) -> usize {
        match self.phase() {
            Phase::Asking => self.inner.limits.ask,
            Phase::Widening => wide(self.inner.limits.ask),
            _ => 0,
        }
    }
}
