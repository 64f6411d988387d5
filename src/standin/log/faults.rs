//! Faults that the log stand-in injects on request.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// How the whole service fails.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Every request is answered with 503 and has no effect.
    Refuse,
    /// Each request closes its connection and has no effect.
    Close,
    /// Requests are never answered and have no effect.
    Hang,
}

/// The body of `POST /faults`. A field that is absent means that this fault is off.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the whole service.
    pub outage: Outage,
    /// Delay before each request is processed, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next appends are stored but get no response.
    pub lose_next: u32,
    /// Share of the later appends that are stored but get no response, 0 to 1.
    pub lose_share: f64,
    /// Seed of the random choice by `lose_share`.
    pub seed: u64,
    /// If present, all but the last so many records of each stream expire at once.
    pub keep_last: Option<usize>,
}

/// The faults in force, with the random numbers that decide about single appends.
#[derive(Debug)]
pub struct State {
    faults: Faults,
    rng: SmallRng,
}

impl State {
    /// No faults.
    pub fn new() -> Self {
        Self::with(Faults::default())
    }

    /// Puts `faults` in force and restarts the random numbers from their seed.
    pub fn with(faults: Faults) -> Self {
        Self { faults, rng: SmallRng::seed_from_u64(faults.seed) }
    }

    /// The faults in force.
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Decides whether the append that was just stored gets no response.
    pub fn lose(&mut self) -> bool {
        if self.faults.lose_next > 0 {
            self.faults.lose_next -= 1;
            return true;
        }
        self.rng.random_bool(self.faults.lose_share.clamp(0.0, 1.0))
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}
