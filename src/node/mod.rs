//! The node: threads of one process and the rings that join them.

use std::net;

use smol_str::SmolStr;

use crate::view;

pub mod duty;
pub mod life;
pub mod ports;
pub mod shell;

#[cfg(test)]
mod tests;

/// How far the process is in its life.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Serves.
    #[default]
    Run,
    /// A planned stop has begun: the node says that it is not ready and serves on, since callers
    /// turn to others only once they have seen that.
    Leave,
    /// Refuses new work and finishes what is in flight.
    Drain,
    /// Every duty ends.
    End,
}

/// The upstream beside this node, while its announcement is renewed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalUpstream {
    /// Where it takes calls (HTTP/1.1).
    pub address: net::SocketAddr,
    /// Which of the upstreams that ever ran there it is; empty when it gives itself no name.
    pub instance: SmolStr,
    /// What it announced, within the limits of its class.
    pub upstream: view::Upstream,
}
