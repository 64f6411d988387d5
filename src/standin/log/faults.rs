//! Faults the log stand-in shows on request.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// How the service fails as a whole.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It does not.
    #[default]
    None,
    /// Every request is answered with 503 and has no effect.
    Refuse,
    /// Every connection is closed when a request arrives on it, which has no effect.
    Close,
    /// No request is answered or has an effect.
    Hang,
}

/// What `POST /faults` sets. Fields left out are without fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the whole service.
    pub outage: Outage,
    /// Delay before each request has its effect, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next appends take effect while their answer is lost.
    pub lose_next: u32,
    /// Share of the appends after these that take effect while their answer is lost, 0 to 1.
    pub lose_share: f64,
    /// Seed of the choice made by `lose_share`.
    pub seed: u64,
    /// When given, all but this many records of each stream expire now.
    pub keep_last: Option<usize>,
}

/// The faults in force.
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

    /// The given faults from now on.
    pub fn with(faults: Faults) -> Self {
        Self { faults, rng: SmallRng::seed_from_u64(faults.seed) }
    }

    /// The faults in force.
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Whether the answer of the append that just took effect is lost.
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
