//! Settings of a planned stop.

use serde::{Deserialize, Serialize};

/// Settings of a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Least time between the news of the drain and the end, in milliseconds.
    pub settle_ms: u64,
    /// Most time given to calls in flight, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { settle_ms: 500, drain_ms: 30_000 }
    }
}
