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
    /// Whether the choice of an upstream takes account of the delay of the nodes beside the
    /// upstreams.
    pub node_delay: bool,
    /// Time after the first of several upstreams became unreachable in which upstreams that have
    /// answered since are preferred, in milliseconds; 0 to prefer none.
    pub loss_window_ms: u64,
    /// Whether slots of the local upstream are reserved for calls of kinds of priority 0.
    pub urgent_room: bool,
    /// Whether a call is refused before its body is read from another node if the transfer of the
    /// body would make it late.
    pub body_room: bool,
    /// Whether a call whose upstream was unreachable is sent to another one without using up an
    /// attempt or the retry budget.
    pub divert_unreachable: bool,
    /// Whether nested calls are retried only where the other nested calls of the same running call
    /// have succeeded.
    pub sibling_repeats: bool,
    /// Whether calls leave their availability zone only in proportion to how much emptier others
    /// are.
    pub zone_overflow: bool,
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
            node_delay: false,
            loss_window_ms: 0,
            urgent_room: false,
            body_room: false,
            divert_unreachable: false,
            sibling_repeats: false,
            zone_overflow: false,
        }
    }
}
