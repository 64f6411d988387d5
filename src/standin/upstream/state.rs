//! State shared by the connections of one upstream, and its decisions about a call.

use std::collections;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use smol_str::SmolStr;

use crate::clock::{self, Clock};
use crate::standin::upstream::faults;
use crate::standin::upstream::options;
use crate::standin::upstream::record;
use crate::view;

/// Factor on the time of the first call of a cold upstream.
const COLD_FACTOR: f64 = 4.0;

/// Numbers of running calls kept for the lagging load endpoint.
const LOADS: usize = 4096;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs and takes this long.
    Run(time::Duration),
    /// It is answered at once with the shed answer.
    Shed,
    /// It is never answered.
    Hang,
}

/// What changes while the upstream runs.
#[derive(Debug, Default)]
pub struct State {
    /// Faults in force.
    pub faults: faults::Faults,
    /// When the drain began.
    pub drain: Option<clock::Instant>,
    /// Calls that run now.
    pub running: u32,
    /// Connections open now.
    pub open: u32,
    /// What was run.
    pub record: record::Record,
    /// Numbers of running calls of late, with their times, for the lagging load endpoint.
    pub loads: collections::VecDeque<(clock::Instant, u32)>,
}

/// An upstream's state with its settings and clock.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub options: options::Options,
    /// Time.
    pub clock: clock::System,
    state: Mutex<State>,
}

impl Shared {
    /// The state of an upstream that starts now.
    pub fn new(options: options::Options) -> Arc<Self> {
        Arc::new(Self { options, clock: clock::System::new(), state: Mutex::default() })
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Life cycle as it announces it.
    pub fn phase(&self) -> view::Phase {
        if self.state().drain.is_some() {
            return view::Phase::Draining;
        }
        let age = self.clock.now().since(clock::Instant::ZERO);
        if age < self.options.cold { view::Phase::Warming } else { view::Phase::Serving }
    }

    /// Starts to drain, once.
    pub fn drain(&self) {
        let now = self.clock.now();
        let unix_ms = self.clock.unix_millis();
        let mut state = self.state();
        if state.drain.is_none() {
            state.drain = Some(now);
            state.record.drain_unix_ms = Some(unix_ms);
        }
    }
}

impl State {
    /// Decides about the call `id` at `path` that arrives at `now` with `left` until its deadline.
    pub fn decide(
        &self,
        options: &options::Options,
        path: &str,
        id: &SmolStr,
        left: Option<time::Duration>,
        now: clock::Instant,
    ) -> Verdict {
        if self.faults.dead != faults::Dead::No {
            return Verdict::Hang;
        }
        let gone = self.drain.is_some_and(|since| now.since(since) >= options.grace);
        let full = self.running >= u32::from(options.slots);
        let late = left.is_some_and(|left| left.is_zero());
        let unlucky = options::share(options.seed, "shed", id) < self.faults.shed;
        if gone || full || late || unlucky {
            return Verdict::Shed;
        }
        let warm = options.time_of(path, id) + self.faults.slow();
        Verdict::Run(warm.mul_f64(cold_factor(options.cold, now)))
    }

    /// Notes that `running` calls run at `now`.
    pub fn note_load(&mut self, now: clock::Instant, running: u32) {
        if self.loads.len() >= LOADS {
            self.loads.pop_front();
        }
        self.loads.push_back((now, running));
    }

    /// Calls that ran at `at`, as far as is known.
    pub fn load_at(&self, at: clock::Instant) -> u32 {
        let last = self.loads.iter().rev().find(|(when, _)| *when <= at);
        last.map_or(0, |(_, running)| *running)
    }

    /// Whether the answer to `id` is cut short.
    pub fn cuts(&self, options: &options::Options, id: &SmolStr) -> bool {
        options::share(options.seed, "cut", id) < self.faults.cut
    }
}

/// Factor on the time of a call at `now` by an upstream that is cold for `cold` after its start.
fn cold_factor(cold: time::Duration, now: clock::Instant) -> f64 {
    let age = now.since(clock::Instant::ZERO);
    if age >= cold {
        return 1.0;
    }
    let left = 1.0 - age.as_secs_f64() / cold.as_secs_f64();
    1.0 + (COLD_FACTOR - 1.0) * left
}
