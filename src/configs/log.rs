//! Settings of the platform's log service.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the platform's log service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Address of the service.
    pub address: net::SocketAddr,
    /// Timeout for one append, in milliseconds.
    pub append_ms: u64,
    /// Maximum time that a read waits for a record, in milliseconds.
    pub wait_ms: u64,
    /// Minimum time for which the service retains a record, in seconds.
    pub retention_s: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7000)),
            append_ms: 2000,
            wait_ms: 10_000,
            retention_s: 86_400,
        }
    }
}
