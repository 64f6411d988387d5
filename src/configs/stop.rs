//! Settings of a planned stop.

use serde::{Deserialize, Serialize};

/// Settings of a planned stop.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// Time from the request to stop until the supervisor kills the process, in seconds; 0 if it is
    /// not known. The stop then ends shortly before that time, and `drain_ms` does not apply.
    pub kill_s: f64,
    /// Time for which a stopping node still serves while it reports that it is not ready, in
    /// milliseconds: callers need this time to notice and to use other nodes. It is at most two
    /// fifths of `kill_s`.
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
        Self { kill_s: 0.0, serve_ms: 0, settle_ms: 500, drain_ms: 30_000, flush_ms: 3000 }
    }
}
