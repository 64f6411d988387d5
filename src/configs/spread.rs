//! Settings of the distribution of configuration.

use std::time;

use serde::{Deserialize, Serialize};

/// Settings of the distribution of configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spread {
    /// Number of hosts in each availability zone that read the log: one follows it, the others are
    /// standbys.
    pub readers: u8,
    /// Time between two reads of a standby, in milliseconds; with 0 it waits for records at the end
    /// of the log, as the active reader does.
    pub standby_ms: u64,
    /// Number of hosts to which one host pushes a new version.
    pub fanout: u8,
    /// Time after which an unacknowledged push is sent again, in milliseconds; with 0 no
    /// acknowledgement is requested, and losses are repaired through the membership probes.
    pub ack_ms: u64,
    /// Times that an unacknowledged push is sent before the hosts below are pushed to directly.
    pub pushes: u8,
    /// Maximum random delay between learning of a newer version and requesting it, in milliseconds.
    pub pull_ms: u64,
    /// Time after which an unanswered request is sent to another host, in milliseconds.
    pub retry_ms: u64,
    /// Maximum number of concurrent TCP transfers; further ones are referred to another host.
    pub transfers: u8,
    /// Timeout for a complete transfer over TCP, in milliseconds.
    pub transfer_ms: u64,
    /// Number of hosts asked at start which version the mesh runs.
    pub ask: u8,
    /// Maximum wait at start for the answers of these hosts, in milliseconds.
    pub settle_ms: u64,
    /// Maximum wait at start for the end of the log, in milliseconds.
    pub confirm_ms: u64,
    /// Maximum time that a version read from the log waits until another host has it, in
    /// milliseconds; with 0 it is applied immediately.
    pub witness_ms: u64,
    /// Number of versions kept as bases for patches.
    pub keep: u8,
    /// Maximum size of a datagram that is sent, in bytes.
    pub datagram_bytes: u16,
}

impl Spread {
    /// Values that prefer little traffic over speed: no acknowledgements, slower standbys.
    pub fn condor() -> Self {
        Self { ack_ms: 0, pull_ms: 200, retry_ms: 300, standby_ms: 2000, ..Self::cascadia() }
    }

    /// Values that prefer speed over little traffic: pushes are acknowledged and soon sent again.
    pub fn cascadia() -> Self {
        Self {
            readers: 2,
            standby_ms: 0,
            fanout: 4,
            ack_ms: 40,
            pushes: 3,
            pull_ms: 40,
            retry_ms: 200,
            transfers: 4,
            transfer_ms: 5000,
            ask: 6,
            settle_ms: 300,
            confirm_ms: 1000,
            witness_ms: 200,
            keep: 4,
            datagram_bytes: 1200,
        }
    }

    /// [`Spread::retry_ms`] as a duration.
    pub const fn retry(&self) -> time::Duration {
        time::Duration::from_millis(self.retry_ms)
    }
}

impl Default for Spread {
    fn default() -> Self {
        Self::cascadia()
    }
}
