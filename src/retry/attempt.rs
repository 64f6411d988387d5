//! State machine of one attempt, which determines its outcome.

use statig::prelude::*;

use crate::retry;

/// An event of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The first byte of the request is about to be written to a connection.
    Sending,
    /// The host refused the call with a reason, which proves that it did not run it.
    Refused(retry::Reason),
    /// The host reported that the call may have run.
    PossiblyRan(retry::Reason),
    /// The head of an answer was received.
    Head,
    /// The answer was received up to its marked end.
    End,
    /// The attempt failed at this node: the connection was lost, the deadline passed, or the caller
    /// left.
    Failed(retry::Reason),
}

/// One attempt of a call.
///
/// Invariant: its outcome is [`retry::Outcome::NotRun`] only if it failed before [`Event::Sending`]
/// or was refused before [`Event::Head`]; an outcome never changes.
pub struct Attempt {
    machine: statig::blocking::StateMachine<Lifecycle>,
}

impl Attempt {
    /// An attempt of which nothing has been sent.
    pub fn new() -> Self {
        Self { machine: Lifecycle::default().state_machine() }
    }

    /// Handles `event`.
    pub fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    /// The outcome of the attempt; `None` until it has ended.
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
struct Lifecycle {
    outcome: Option<retry::Outcome>,
}

#[state_machine(initial = "State::idle()")]
impl Lifecycle {
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

    /// An answer of the upstream is being received.
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
