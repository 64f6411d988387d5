//! Settings of the operators' port.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the operators' port.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Admin {
    /// Further addresses on which the operators' port is served.
    pub also: Vec<net::SocketAddr>,
    /// How long an upstream's announcement holds without renewal, in milliseconds.
    pub lease_ms: u64,
    /// Connections served at once on the operators' port.
    pub connections: u16,
    /// Nodes asked at once for a report on the whole mesh.
    pub scatter: u16,
    /// Longest one node may take to answer for such a report, in milliseconds.
    pub answer_ms: u64,
    /// Longest such a report may take, in milliseconds.
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
