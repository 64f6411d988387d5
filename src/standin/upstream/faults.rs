//! Faults an upstream plays on request.

use std::time;

use serde::{Deserialize, Serialize};

/// How an upstream is dead.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dead {
    /// It is not.
    #[default]
    No,
    /// Closes every new connection at once.
    Refuse,
    /// Takes connections and requests, runs nothing and never answers.
    Hang,
}

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Added to the time of each call, in milliseconds.
    pub slow_ms: u64,
    /// Whether and how it is dead.
    pub dead: Dead,
    /// Whether health and load endpoints say that it is well and idle.
    pub lie: bool,
    /// How old what health and load endpoints say is, in milliseconds.
    pub lag_ms: u64,
    /// Share of calls it sheds, 0 to 1.
    pub shed: f64,
    /// Share of answers it cuts in their middle, 0 to 1.
    pub cut: f64,
    /// Pause before each part of an answer, in milliseconds.
    pub trickle_ms: u64,
}

/// A change of faults: fields that are absent stay as they are.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Faults::slow_ms`].
    pub slow_ms: Option<u64>,
    /// See [`Faults::dead`].
    pub dead: Option<Dead>,
    /// See [`Faults::lie`].
    pub lie: Option<bool>,
    /// See [`Faults::lag_ms`].
    pub lag_ms: Option<u64>,
    /// See [`Faults::shed`].
    pub shed: Option<f64>,
    /// See [`Faults::cut`].
    pub cut: Option<f64>,
    /// See [`Faults::trickle_ms`].
    pub trickle_ms: Option<u64>,
    /// Starts to drain; can't be taken back.
    pub drain: Option<bool>,
}

impl Faults {
    /// These faults after `change`.
    pub fn with(self, change: &Change) -> Self {
        Self {
            slow_ms: change.slow_ms.unwrap_or(self.slow_ms),
            dead: change.dead.unwrap_or(self.dead),
            lie: change.lie.unwrap_or(self.lie),
            lag_ms: change.lag_ms.unwrap_or(self.lag_ms),
            shed: change.shed.unwrap_or(self.shed),
            cut: change.cut.unwrap_or(self.cut),
            trickle_ms: change.trickle_ms.unwrap_or(self.trickle_ms),
        }
    }

    /// Added to the time of each call.
    pub fn slow(&self) -> time::Duration {
        time::Duration::from_millis(self.slow_ms)
    }
}
