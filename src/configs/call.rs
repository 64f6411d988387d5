//! Settings of the call path.

use serde::{Deserialize, Serialize};

/// Settings of the call path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Call {
    /// Maximum number of attempts for a call, including the first.
    pub attempts: u8,
    /// Retries that one service may make in a burst: the bucket size of its retry budget.
    pub retry_burst: u16,
    /// Number of candidate upstreams compared for each call; at least two.
    pub candidates: u8,
    /// Consecutive failures after which an upstream is ejected; refused connections do not count.
    pub eject_after: u8,
    /// Duration of an upstream's first ejection, in milliseconds; it doubles with each further one.
    pub eject_ms: u64,
    /// Maximum duration of an ejection, in milliseconds.
    pub eject_most_ms: u64,
    /// An upstream that is this many times slower than its peers is ejected.
    pub slow_factor: u8,
    /// Half-life of the load that an upstream reported with its last answer, in milliseconds.
    pub load_half_ms: u64,
    /// Size of a call and its answer, in bytes, that justifies waiting one more service time to
    /// stay in the own availability zone; 0 if traffic between zones costs nothing.
    pub cross_bytes: u32,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            attempts: 3,
            retry_burst: 10,
            candidates: 3,
            eject_after: 3,
            eject_ms: 500,
            eject_most_ms: 30_000,
            slow_factor: 3,
            load_half_ms: 5,
            cross_bytes: 0,
        }
    }
}
