//! Settings of the call path.

use serde::{Deserialize, Serialize};

/// Settings of the call path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Call {
    /// Attempts a call may have, the first included.
    pub attempts: u8,
}

impl Default for Call {
    fn default() -> Self {
        Self { attempts: 3 }
    }
}
