//! State machine of this process's own standing in the mesh.

use statig::blocking::IntoStateMachineExt as _;
use statig::prelude::*;

use crate::view;

/// An event that may change the standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The table was copied from another host that had joined.
    Joined,
    /// This process did not run for a while. Only an ack of a later ping confirms its standing.
    Paused {
        /// Sequence number of the first ping after the pause.
        proof: u32,
    },
    /// Others declared this host dead. Only an ack of a ping in the new incarnation confirms its
    /// standing.
    Declared {
        /// Sequence number of the first ping in the new incarnation.
        proof: u32,
    },
    /// A host acknowledged the ping with this sequence number.
    Answered(u32),
    /// There is no host to join through, or nobody answered for so long that this host acts alone.
    Alone,
}

/// Data shared by the states.
#[derive(Debug, Default)]
pub struct Machine {
    /// Lowest sequence number whose ack confirms the standing.
    proof: u32,
}

#[state_machine(initial = "State::joining()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl Machine {
    #[state]
    fn joining(event: &Event) -> Outcome<State> {
        match event {
            Event::Joined | Event::Alone => Transition(State::member()),
            _ => Handled,
        }
    }

    #[state]
    fn member(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Paused { proof } => self.await_proof(*proof, State::paused()),
            Event::Declared { proof } => self.await_proof(*proof, State::refuting()),
            _ => Handled,
        }
    }

    #[state]
    fn paused(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Answered(sequence) if *sequence >= self.proof => Transition(State::member()),
            Event::Alone => Transition(State::member()),
            Event::Paused { proof } => self.await_proof(*proof, State::paused()),
            Event::Declared { proof } => self.await_proof(*proof, State::refuting()),
            _ => Handled,
        }
    }

    #[state]
    fn refuting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Answered(sequence) if *sequence >= self.proof => Transition(State::member()),
            Event::Paused { proof } | Event::Declared { proof } => {
                self.await_proof(*proof, State::refuting())
            }
            _ => Handled,
        }
    }

    fn await_proof(&mut self, proof: u32, state: State) -> Outcome<State> {
        self.proof = proof;
        Transition(state)
    }
}

/// The standing of this process.
pub struct Standing {
    inner: statig::blocking::StateMachine<Machine>,
}

impl Default for Standing {
    fn default() -> Self {
        Self { inner: Machine::default().state_machine() }
    }
}

impl Standing {
    /// Handles `event`; returns whether the standing changed.
    pub fn handle(&mut self, event: Event) -> bool {
        let before = self.get();
        self.inner.handle(&event);
        self.get() != before
    }

    /// The current standing.
    pub fn get(&self) -> view::Standing {
        match self.inner.state() {
            State::Joining {} => view::Standing::Joining,
            State::Member {} => view::Standing::Member,
            State::Paused {} => view::Standing::Paused,
            State::Refuting {} => view::Standing::Refuting,
        }
    }
}
