//! Settings of usage accounting.

use serde::{Deserialize, Serialize};

/// Settings of usage accounting.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Usage {
    /// Time between two totals sent to a writer, in milliseconds.
    pub flush_ms: u64,
    /// Minimum time between two appends of one writer, in milliseconds.
    pub group_ms: u64,
    /// Number of writers in each availability zone.
    pub writers: u8,
}

impl Default for Usage {
    fn default() -> Self {
        Self { flush_ms: 10_000, group_ms: 1000, writers: 1 }
    }
}
