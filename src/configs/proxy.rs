//! Settings of the listeners and connections of the call path.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the listeners and connections of the call path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxy {
    /// Address on which calls are taken; without it the host's own, three above `listen`.
    pub listen: Option<net::SocketAddr>,
    /// Longest a connection to another node may take to open, in milliseconds.
    pub connect_ms: u64,
    /// Longest a caller may take to send a request's head, in milliseconds.
    pub head_ms: u64,
    /// Largest head of a request, in bytes; at least 8192.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub head_count: usize,
    /// Longest path with query of a request, in bytes.
    pub path_bytes: usize,
    /// Request bodies up to this size are kept for another attempt, in bytes.
    pub keep_bytes: u64,
    /// Bytes that all bodies held for another attempt may take up; others stream.
    pub kept_bytes: u64,
    /// Answers up to this size are read whole before their first byte goes out, in bytes.
    pub whole_bytes: u64,
    /// Longest an unused connection to the upstream is kept, in milliseconds; below the
    /// upstream's own limit.
    pub idle_ms: u64,
    /// Rate of this host's link, in megabits a second; 0 where it is not known. Long bodies take
    /// turns on it.
    pub link_mbps: f64,
    /// Window of each stream between nodes, in bytes: what a stalled call may take up.
    pub stream_bytes: u32,
    /// Window of each connection between nodes, in bytes.
    pub link_bytes: u32,
    /// Calls at once on one connection between nodes.
    pub link_calls: u32,
    /// Time between two pings on a connection between nodes in use, in milliseconds.
    pub ping_ms: u64,
    /// Longest a ping may stay without answer before the connection is given up, in
    /// milliseconds.
    pub pong_ms: u64,
    /// Longest the first answer to an idempotency key is held for its duplicates, in
    /// milliseconds.
    pub held_ms: u64,
    /// Most answers held.
    pub held_count: usize,
    /// Most bytes of answers held.
    pub held_bytes: usize,
    /// Least time for which a draining node still answers calls, in milliseconds.
    pub linger_ms: u64,
    /// Wait suggested to refused callers where nothing better is known, in milliseconds.
    pub retry_ms: u64,
    /// Time between two hand-overs of usage counts, in milliseconds.
    pub tally_ms: u64,
}

impl Default for Proxy {
    fn default() -> Self {
        Self {
            listen: None,
            connect_ms: 250,
            head_ms: 10_000,
            head_bytes: 32_768,
            head_count: 100,
            path_bytes: 8192,
            keep_bytes: 65_536,
            kept_bytes: 33_554_432,
            whole_bytes: 65_536,
            idle_ms: 10_000,
            link_mbps: 0.0,
            stream_bytes: 262_144,
            link_bytes: 2_097_152,
            link_calls: 1024,
            ping_ms: 1000,
            pong_ms: 1000,
            held_ms: 30_000,
            held_count: 4096,
            held_bytes: 8_388_608,
            linger_ms: 500,
            retry_ms: 1000,
            tally_ms: 250,
        }
    }
}
