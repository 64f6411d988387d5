//! Settings of membership.

use serde::{Deserialize, Serialize};

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Member {
    /// Time between two probes, in milliseconds.
    pub probe_ms: u64,
}

impl Default for Member {
    fn default() -> Self {
        Self { probe_ms: 1000 }
    }
}
