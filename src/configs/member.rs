//! Settings of membership.

use serde::{Deserialize, Serialize};

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Member {
    /// Time between two probes, in milliseconds.
    pub probe_ms: u64,
    /// Timeout for the answer to one datagram, in milliseconds; at most a third of `probe_ms`.
    pub answer_ms: u64,
    /// Number of hosts asked to probe a host that did not answer.
    pub helpers: u8,
    /// Probe periods in which a suspect can refute the suspicion, per tenfold increase in hosts.
    pub suspicion: u8,
    /// Times that one host forwards a record, per doubling of the number of hosts.
    pub retransmit: u8,
    /// Datagrams that one host sends for an urgent update, in addition to the natural logarithm of
    /// the number of hosts.
    pub urgent: u8,
    /// Minimum time between two anti-entropy repairs that one host starts, in milliseconds.
    pub repair_ms: u64,
    /// Time between two reconnect probes of dead, unreachable or configured hosts, in milliseconds.
    pub knock_ms: u64,
    /// Maximum number of pages of the member table sent to joining hosts per second.
    pub pages: u16,
    /// Maximum wait before the first attempt to join, in milliseconds; doubles on each failure.
    pub join_ms: u64,
    /// Maximum wait between two attempts to join, in milliseconds.
    pub join_most_ms: u64,
    /// Time without any answer after which this host continues on its own, in milliseconds.
    pub alone_ms: u64,
    /// Time between two reads of the directory of hosts, in milliseconds.
    pub seek_ms: u64,
    /// Whether the mesh starts for the first time, so that no host is in the directory yet.
    pub fresh: bool,
    /// Time without progress after which this process counts as paused, in milliseconds.
    pub pause_ms: u64,
    /// Time after which a dead host is removed, in seconds.
    pub forget_s: u64,
    /// Time after which the hosts of an unreachable availability zone count as dead, in seconds.
    pub dark_s: u64,
}

impl Default for Member {
    fn default() -> Self {
        Self {
            probe_ms: 1000,
            answer_ms: 250,
            helpers: 3,
            suspicion: 4,
            retransmit: 2,
            urgent: 4,
            repair_ms: 5000,
            knock_ms: 2000,
            pages: 64,
            join_ms: 200,
            join_most_ms: 5000,
            alone_ms: 2000,
            seek_ms: 10_000,
            fresh: false,
            pause_ms: 2000,
            forget_s: 3600,
            dark_s: 86_400,
        }
    }
}
