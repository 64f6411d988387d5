//! Settings of the listeners and connections of the call path.

use std::net;

use serde::{Deserialize, Serialize};

/// Settings of the listeners and connections of the call path.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Proxy {
    /// Address at which calls are accepted; by default the port three above the host's `listen`.
    pub listen: Option<net::SocketAddr>,
    /// Timeout for opening a connection to another node, in milliseconds.
    pub connect_ms: u64,
    /// Timeout for receiving the head of a request from a caller, in milliseconds.
    pub head_ms: u64,
    /// Maximum size of a request head, in bytes; at least 8192.
    pub head_bytes: usize,
    /// Maximum number of headers in a request.
    pub head_count: usize,
    /// Maximum length of the path and query of a request, in bytes.
    pub path_bytes: usize,
    /// Maximum size of a request body that is buffered for retries, in bytes.
    pub keep_bytes: u64,
    /// Maximum total size of bodies buffered for retries, in bytes; further bodies are streamed.
    pub kept_bytes: u64,
    /// Maximum size of an answer that is read completely before its first byte is sent, in bytes.
    pub whole_bytes: u64,
    /// Time after which an idle connection to the upstream is closed, in milliseconds; must be
    /// below the upstream's own limit.
    pub idle_ms: u64,
    /// Bandwidth of this host's link, in megabits per second; 0 if it is not known. Long bodies
    /// take turns on the link.
    pub link_mbps: f64,
    /// Flow-control window of each stream between nodes, in bytes: what a stalled call may occupy.
    pub stream_bytes: u32,
    /// Flow-control window of each connection between nodes, in bytes.
    pub link_bytes: u32,
    /// Maximum number of concurrent calls on one connection between nodes.
    pub link_calls: u32,
    /// Time between two pings on an active connection between nodes, in milliseconds.
    pub ping_ms: u64,
    /// Timeout for the answer to a ping, after which the connection is closed, in milliseconds.
    pub pong_ms: u64,
    /// Time for which the first answer to an idempotency key is kept for duplicates, in
    /// milliseconds.
    pub held_ms: u64,
    /// Maximum number of answers kept for duplicates.
    pub held_count: usize,
    /// Maximum total size of the answers kept for duplicates, in bytes.
    pub held_bytes: usize,
    /// Minimum time for which a draining node still answers calls, in milliseconds.
    pub linger_ms: u64,
    /// Retry delay suggested to refused callers if no better estimate is known, in milliseconds.
    pub retry_ms: u64,
    /// Time between two flushes of usage counts, in milliseconds.
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
