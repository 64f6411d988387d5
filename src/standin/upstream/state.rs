//! State that the connections of an upstream share, and the decision whether a call runs.

use std::collections;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time;

use smol_str::SmolStr;

use crate::clock::{self, Clock};
use crate::standin::upstream::faults;
use crate::standin::upstream::options;
use crate::standin::upstream::record;
use crate::view;

/// Factor on the time of a call at the beginning of the cold start.
const COLD_FACTOR: f64 = 4.0;

/// Maximum number of samples of the load kept for a load endpoint that reports old state.
const MAX_LOAD_SAMPLES: usize = 4096;

/// The decision about a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It runs and takes this long.
    Run(time::Duration),
    /// It gets the response for shed calls at once.
    Shed,
    /// It never gets a response.
    Hang,
}

/// The state that changes while the upstream runs.
#[derive(Debug, Default)]
pub struct State {
    /// Faults in force.
    pub faults: faults::Faults,
    /// When the drain began.
    pub drain: Option<clock::Instant>,
    /// Whether its announcement has been withdrawn, or is being.
    pub withdrawn: bool,
    /// Calls that have arrived.
    pub arrivals: u64,
    /// Calls that run now.
    pub running: u32,
    /// Connections open now.
    pub open: u32,
    /// The calls that were run.
    pub record: record::Record,
    /// Recent numbers of running calls with their times, for the fault `lag_ms`.
    pub loads: collections::VecDeque<(clock::Instant, u32)>,
}

/// An upstream's state with its settings and clock.
#[derive(Debug)]
pub struct Shared {
    /// Settings.
    pub options: options::Options,
    /// Time.
    pub clock: clock::System,
    /// When the process started, in milliseconds since the Unix epoch.
    pub born: u64,
    state: Mutex<State>,
}

impl Shared {
    /// The state of an upstream that starts now.
    pub fn new(options: options::Options) -> Arc<Self> {
        let clock = clock::System::new();
        let born = clock.unix_millis();
        Arc::new(Self { options, clock, born, state: Mutex::default() })
    }

    /// The state, locked.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The phase that it announces.
    pub fn phase(&self) -> view::Phase {
        if self.state().drain.is_some() {
            return view::Phase::Draining;
        }
        let age = self.clock.now().since(clock::Instant::ZERO);
        if age < self.options.cold { view::Phase::Warming } else { view::Phase::Serving }
    }

    /// Starts to drain; further calls have no effect.
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
    /// Decides about the call `id` at `path`, which arrives at `now` and has `remaining` time until
    /// its deadline; `None` if it has no deadline.
    pub fn decide(
        &self,
        options: &options::Options,
        path: &str,
        id: &SmolStr,
        remaining: Option<time::Duration>,
        now: clock::Instant,
    ) -> Verdict {
        if self.faults.dead != faults::Dead::No {
            return Verdict::Hang;
        }
        let drained = self.drain.is_some_and(|since| now.since(since) >= options.grace);
        let full = self.running >= u32::from(options.slots);
        let late = remaining.is_some_and(|remaining| remaining.is_zero());
        let dropped = options::share(options.seed, "shed", id) < self.faults.shed;
        let arrival = options.seed.wrapping_add(self.arrivals);
        let rejected = options::share(arrival, "reject", id) < self.faults.reject;
        if drained || full || late || dropped || rejected {
            return Verdict::Shed;
        }
        let warm = options.time_of(path, id) + self.faults.slow();
        Verdict::Run(warm.mul_f64(cold_factor(options.cold, now)))
    }

    /// Records that `running` calls run at `now`.
    pub fn record_load(&mut self, now: clock::Instant, running: u32) {
        if self.loads.len() >= MAX_LOAD_SAMPLES {
            self.loads.pop_front();
        }
        self.loads.push_back((now, running));
    }

    /// Number of calls that ran at `at`; 0 if no sample is that old.
    pub fn load_at(&self, at: clock::Instant) -> u32 {
        let last = self.loads.iter().rev().find(|(when, _)| *when <= at);
        last.map_or(0, |(_, running)| *running)
    }

    /// Whether the response to `id` is broken off.
    pub fn cuts(&self, options: &options::Options, id: &SmolStr) -> bool {
        options::share(options.seed, "cut", id) < self.faults.cut
    }
}

/// Factor on the time of a call at `now`, when the cold start takes `cold`.
fn cold_factor(cold: time::Duration, now: clock::Instant) -> f64 {
    let age = now.since(clock::Instant::ZERO);
    if age >= cold {
        return 1.0;
    }
    let remaining = 1.0 - age.as_secs_f64() / cold.as_secs_f64();
    1.0 + (COLD_FACTOR - 1.0) * remaining
}
