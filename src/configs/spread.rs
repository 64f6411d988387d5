//! Settings of the distribution of configuration.

use std::time;

use serde::{Deserialize, Serialize};

/// Settings of the distribution of configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Spread {
    /// Hosts in each availability zone that read the log: one follows it, the others stand by.
    pub readers: u8,
    /// Time between two reads of a standby reader, in milliseconds; 0 has it wait for records at the
    /// end of the log as the one that follows does.
    pub standby_ms: u64,
    /// Hosts to which one host pushes a new version.
    pub fanout: u8,
    /// Time after which a push without acknowledgement is sent again, in milliseconds; 0 asks for
    /// no acknowledgement and leaves the repair to membership's probes.
    pub ack_ms: u64,
    /// Times a push without acknowledgement is sent before the hosts below are pushed to directly.
    pub pushes: u8,
    /// Longest random delay between hearing of a newer version and asking for it, in milliseconds.
    pub pull_ms: u64,
    /// Time after which an unanswered request is sent to another host, in milliseconds.
    pub retry_ms: u64,
    /// Transfers over TCP served at once; more are refused with another host's address.
    pub transfers: u8,
    /// Longest a whole transfer over TCP may take, in milliseconds.
    pub transfer_ms: u64,
    /// Hosts asked at start what the mesh runs.
    pub ask: u8,
    /// Longest wait at start for the answers of the hosts asked, in milliseconds.
    pub settle_ms: u64,
    /// Longest wait at start for the log's tail, in milliseconds.
    pub confirm_ms: u64,
    /// Longest a version read from the log waits until another host holds it, in milliseconds; 0
    /// runs it at once.
    pub witness_ms: u64,
    /// Versions kept as bases for patches.
    pub keep: u8,
    /// Largest datagram sent, in bytes.
    pub datagram_bytes: u16,
}

impl Spread {
    /// Fewer bytes before less time: no acknowledgements, slower standby readers.
    pub fn condor() -> Self {
        Self { ack_ms: 0, pull_ms: 200, retry_ms: 300, standby_ms: 2000, ..Self::cascadia() }
    }

    /// Less time before fewer bytes: every push is acknowledged and quickly sent again.
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
