//! Settings of the distribution of configuration.

use serde::{Deserialize, Serialize};

/// Settings of the distribution of configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spread {
    /// Hosts in each availability zone that read the log.
    pub readers: u8,
}

impl Default for Spread {
    fn default() -> Self {
        Self { readers: 2 }
    }
}
