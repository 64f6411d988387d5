//! Life cycle of this process's own standing in the mesh.

use statig::blocking::IntoStateMachineExt as _;
use statig::prelude::*;

use crate::view;

/// What moves the standing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The table was taken over from another host, or there is nobody to take it from.
    Joined,
    /// This process did not run for a while; answers to pings from `proof` on count.
    Paused {
        /// Sequence number of the first ping after the pause.
        proof: u32,
    },
    /// Others declared this host dead; answers to pings from `proof` on count.
    Declared {
        /// Sequence number of the first ping after the new incarnation.
        proof: u32,
    },
    /// A host answered the ping with this sequence number.
    Answered(u32),
    /// Nobody answered for so long that nobody can say otherwise.
    Alone,
}

/// The machine's shared storage.
#[derive(Debug, Default)]
pub struct Machine {
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
            Event::Paused { proof } => self.doubt(*proof, State::paused()),
            Event::Declared { proof } => self.doubt(*proof, State::refuting()),
            _ => Handled,
        }
    }

    #[state]
    fn paused(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Answered(sequence) if *sequence >= self.proof => Transition(State::member()),
            Event::Alone => Transition(State::member()),
            Event::Paused { proof } => self.doubt(*proof, State::paused()),
            Event::Declared { proof } => self.doubt(*proof, State::refuting()),
            _ => Handled,
        }
    }

    #[state]
    fn refuting(&mut self, event: &Event) -> Outcome<State> {
        match event {
            Event::Answered(sequence) if *sequence >= self.proof => Transition(State::member()),
            Event::Paused { proof } | Event::Declared { proof } => {
                self.doubt(*proof, State::refuting())
            }
            _ => Handled,
        }
    }

    fn doubt(&mut self, proof: u32, state: State) -> Outcome<State> {
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
    /// Moves the standing; says whether it changed.
    pub fn handle(&mut self, event: Event) -> bool {
        let before = self.get();
        self.inner.handle(&event);
        self.get() != before
    }

    /// The standing now.
    pub fn get(&self) -> view::Standing {
        match self.inner.state() {
            State::Joining {} => view::Standing::Joining,
            State::Member {} => view::Standing::Member,
            State::Paused {} => view::Standing::Paused,
            State::Refuting {} => view::Standing::Refuting,
        }
    }
}
