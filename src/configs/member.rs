//! Settings of membership.

use serde::{Deserialize, Serialize};

/// Settings of membership.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Member {
    /// Time between two probes, in milliseconds.
    pub probe_ms: u64,
    /// Longest wait for an answer to one datagram, in milliseconds; at most a third of `probe_ms`.
    pub answer_ms: u64,
    /// Hosts asked to probe a host that did not answer.
    pub helpers: u8,
    /// Probe periods a suspect has to refute, for each tenfold of hosts.
    pub suspicion: u8,
    /// Times a record is passed on by one host, for each doubling of hosts.
    pub retransmit: u8,
    /// Extra datagrams one host sends for urgent news, beyond the natural logarithm of the hosts.
    pub urgent: u8,
    /// Shortest time between two repairs that one host begins, in milliseconds.
    pub repair_ms: u64,
    /// Time between two probes of dead, dark or configured hosts, in milliseconds.
    pub knock_ms: u64,
    /// Most pages of the table sent to joining hosts, in a second.
    pub pages: u16,
    /// Longest first wait before joining, in milliseconds; doubled on each failure.
    pub join_ms: u64,
    /// Longest wait between two attempts to join, in milliseconds.
    pub join_most_ms: u64,
    /// Time without any answer after which this host goes on by itself, in milliseconds.
    pub alone_ms: u64,
    /// Time between two looks into the directory of hosts, in milliseconds.
    pub seek_ms: u64,
    /// Whether the whole mesh starts for the first time: nobody is listed in the directory yet.
    pub fresh: bool,
    /// A silence of this process longer than this counts as a pause, in milliseconds.
    pub pause_ms: u64,
    /// Time after which a dead host is forgotten, in seconds.
    pub forget_s: u64,
    /// Time after which the hosts of a dark availability zone count as dead, in seconds.
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
