//! Settings of the overload protection of a node.

use serde::{Deserialize, Serialize};

/// Settings of the overload protection of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Overload {
    /// Standing delay of the node's own work above which it refuses calls of callers, in
    /// milliseconds; 0 to refuse none.
    pub delay_ms: u64,
}
