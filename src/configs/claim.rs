//! Settings of claims of idempotency keys.

use serde::{Deserialize, Serialize};

/// Settings of claims of idempotency keys. `partitions` and `window_s` must be the same on every
/// node of a mesh, and `partitions` can't be changed while keyed calls are made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claim {
    /// Least time between two appends of one partition, in milliseconds. The log sees at most
    /// `partitions * 1000 / group_ms` appends of claims a second.
    pub group_ms: u64,
    /// Streams that the keys are spread over, each with its own writer.
    pub partitions: u16,
    /// How long a key is remembered, in seconds. The log must keep records for longer.
    pub window_s: u64,
    /// Longest an append may take to be read back before the log counts as failing, in
    /// milliseconds.
    pub patience_ms: u64,
    /// Longest wait for a writer's answer before the next one is asked as well, in milliseconds.
    pub hedge_ms: u64,
    /// Claims and releases that wait at once, in each node and in each writer.
    pub waiting: u32,
    /// Whether the writers of claims read the log before the first claim comes.
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
