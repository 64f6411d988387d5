//! Settings of a planned stop.

use serde::{Deserialize, Serialize};

/// Settings of a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Time for which a node that is to stop serves on while it says that it is not ready, in
    /// milliseconds: callers turn to others only once they have seen that.
    pub serve_ms: u64,
    /// Least time between the news of the drain and the end, in milliseconds.
    pub settle_ms: u64,
    /// Most time given to calls in flight, in milliseconds.
    pub drain_ms: u64,
    /// Longest that a node which ends waits until its last usage counts stand in the log, in
    /// milliseconds.
    pub flush_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { serve_ms: 0, settle_ms: 500, drain_ms: 30_000, flush_ms: 3000 }
    }
}
