//! Life cycle of one attempt, from which its outcome follows.

use statig::prelude::*;

use crate::retry;

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The first byte of the request is about to be handed to a connection.
    Sending,
    /// A typed refusal came back: the host proves that it did not run the call.
    Refused(retry::Reason),
    /// The host itself says that the call may have run.
    PossiblyRan(retry::Reason),
    /// The head of an answer came.
    Head,
    /// The answer came to its marked end.
    End,
    /// The attempt failed on this side: connection lost, deadline passed, caller left.
    Failed(retry::Reason),
}

/// One attempt.
///
/// Invariant: its outcome is [`retry::Outcome::NotRun`] only when it failed before
/// [`Event::Sending`] or was refused before [`Event::Head`]; once there, an outcome stays.
pub struct Attempt {
    machine: statig::blocking::StateMachine<Life>,
}

impl Attempt {
    /// An attempt of which nothing has been sent.
    pub fn new() -> Self {
        Self { machine: Life::default().state_machine() }
    }

    /// Takes in what happened.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// How the attempt ended; `None` while it lives.
    pub fn outcome(&self) -> Option<retry::Outcome> {
        self.machine.inner().outcome
    }
}

impl Default for Attempt {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Default)]
struct Life {
    outcome: Option<retry::Outcome>,
}

#[state_machine(initial = "State::idle()")]
impl Life {
    /// Nothing has been sent, so nothing can have run.
    #[state]
    fn idle(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Sending => Transition(State::sent()),
            Event::Refused(reason) | Event::Failed(reason) => {
                self.end(retry::Outcome::NotRun(*reason))
            }
            Event::PossiblyRan(_) | Event::Head | Event::End => Handled,
        }
    }

    /// The request may have reached the upstream.
    #[state]
    fn sent(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Refused(reason) => self.end(retry::Outcome::NotRun(*reason)),
            Event::PossiblyRan(reason) | Event::Failed(reason) => {
                self.end(retry::Outcome::Unknown(*reason))
            }
            Event::Head => Transition(State::answering()),
            Event::Sending | Event::End => Handled,
        }
    }

    /// An answer of the upstream is coming in.
    #[state]
    fn answering(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::End => self.end(retry::Outcome::Ran),
            Event::PossiblyRan(reason) | Event::Failed(reason) | Event::Refused(reason) => {
                self.end(retry::Outcome::Unknown(*reason))
            }
            Event::Sending | Event::Head => Handled,
        }
    }

    /// The outcome is known.
    #[state]
    fn done(&mut self, event: &Event) -> Outcome<State> {
        log::trace!("event {event:?} after the end of an attempt");
        Handled
    }

    fn end(&mut self, outcome: retry::Outcome) -> Outcome<State> {
        self.outcome = Some(outcome);
        Transition(State::done())
    }
}
