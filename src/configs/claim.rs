//! Settings of claims of idempotency keys.

use serde::{Deserialize, Serialize};

/// Settings of claims of idempotency keys. `partitions` and `window_s` must be the same on every
/// node of a mesh, and `partitions` can't be changed while keyed calls are made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claim {
    /// Minimum time between two appends to one partition, in milliseconds. The log receives at
    /// most `partitions * 1000 / group_ms` appends of claims per second.
    pub group_ms: u64,
    /// Number of streams that the keys are distributed over; each has its own writer.
    pub partitions: u16,
    /// Time for which a key is remembered, in seconds. The log must retain records for longer.
    pub window_s: u64,
    /// Timeout for reading an append back, after which the log counts as failing, in milliseconds.
    pub patience_ms: u64,
    /// Time to wait for a writer's answer before the next writer is asked as well, in milliseconds.
    pub hedge_ms: u64,
    /// Maximum number of claims and releases that wait in each node and in each writer.
    pub waiting: u32,
    /// Whether the writers of claims read the log before the first claim arrives.
    pub ahead: bool,
}

impl Default for Claim {
    fn default() -> Self {
        Self {
            group_ms: 20,
            partitions: 4,
            window_s: 600,
            patience_ms: 1000,
            hedge_ms: 400,
            waiting: 20_000,
            ahead: true,
        }
    }
}
