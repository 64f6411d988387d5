//! Settings of the call path.

use serde::{Deserialize, Serialize};

/// Settings of the call path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Call {
    /// Attempts a call may have, the first included.
    pub attempts: u8,
    /// Extra attempts of one service that may be made in a burst; its budget's bucket holds this.
    pub retry_burst: u16,
    /// Candidates compared for each call, two or more.
    pub candidates: u8,
    /// Failures in a row, but for refused connections, after which an upstream is ejected.
    pub eject_after: u8,
    /// Time an ejected upstream is left alone the first time, in milliseconds; doubles each time.
    pub eject_ms: u64,
    /// Longest time an ejected upstream is left alone, in milliseconds.
    pub eject_most_ms: u64,
    /// An upstream this many times slower than its peers is ejected.
    pub slow_factor: u8,
    /// Time after which half of what an upstream's last answer told is forgotten, in
    /// milliseconds.
    pub load_half_ms: u64,
    /// Bytes of a call and its answer for which it is worth one more service time of waiting to
    /// stay in the own availability zone; 0 where bytes between zones cost nothing.
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
