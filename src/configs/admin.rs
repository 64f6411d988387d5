//! Settings of the operators' port.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the operators' port.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Further addresses on which the operators' port is served.
    pub also: Vec<net::SocketAddr>,
    /// Time after which an upstream's announcement expires unless it is renewed, in milliseconds.
    pub lease_ms: u64,
    /// Maximum number of concurrent connections on the operators' port.
    pub connections: u16,
    /// Maximum number of nodes queried concurrently for a report on the whole mesh.
    pub scatter: u16,
    /// Timeout for the answer of one node to such a report, in milliseconds.
    pub answer_ms: u64,
    /// Timeout for such a report as a whole, in milliseconds.
    pub report_ms: u64,
}

impl Default for Admin {
    fn default() -> Self {
        Self {
            also: Vec::new(),
            lease_ms: 6000,
            connections: 64,
            scatter: 64,
            answer_ms: 1000,
            report_ms: 10_000,
        }
    }
}
