//! Settings of claims of idempotency keys.

use serde::{Deserialize, Serialize};

/// Settings of claims of idempotency keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Claim {
    /// Longest a claim waits for others to share its append, in milliseconds.
    pub group_ms: u64,
}

impl Default for Claim {
    fn default() -> Self {
        Self { group_ms: 10 }
    }
}
