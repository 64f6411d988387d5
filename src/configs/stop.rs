//! Settings of a planned stop.

use serde::{Deserialize, Serialize};

/// Settings of a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Time for which a stopping node still serves while it reports that it is not ready, in
    /// milliseconds: callers need this time to notice and to use other nodes.
    pub serve_ms: u64,
    /// Minimum time between announcing the drain and the end of the process, in milliseconds.
    pub settle_ms: u64,
    /// Maximum time for which calls in flight may continue, in milliseconds.
    pub drain_ms: u64,
    /// Maximum time for which an ending node waits until its last usage counts are in the log, in
    /// milliseconds.
    pub flush_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { serve_ms: 0, settle_ms: 500, drain_ms: 30_000, flush_ms: 3000 }
    }
}
