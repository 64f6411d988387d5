//! Settings of the limits of organisations.

use serde::{Deserialize, Serialize};

/// How exactly the limits of organisations hold: in every span of `window_s` an organisation that
/// asks for more may get its limit, `over_share` of it and `slack` calls more.
///
/// What is tolerated pays for speed: credits that are lent to entry nodes, and hosts that can't
/// reach each other. All nodes of a mesh must have the same values.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// Length of the spans, in seconds.
    pub window_s: u64,
    /// Share of the limit that may be exceeded.
    pub over_share: f64,
    /// Calls that may be made beyond that share.
    pub slack: u32,
}

impl Default for Quota {
    fn default() -> Self {
        Self { window_s: 5, over_share: 0.1, slack: 20 }
    }
}
