//! The node: the duties of one process and the channels that connect them.

use std::net;

use smol_str::SmolStr;

use crate::notice;
use crate::view;

pub mod duty;
pub mod lifecycle;
pub mod ports;
pub mod shell;
pub mod stop;

#[cfg(test)]
mod tests;

/// Stage in the life cycle of the process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Serves calls.
    #[default]
    Run,
    /// A planned stop has begun: the node reports that it is not ready but keeps serving, since
    /// callers choose other nodes only after they have seen that.
    Leave,
    /// Refuses new calls and finishes those in flight.
    Drain,
    /// All duties end.
    End,
}

/// The upstream beside this node. It is present while the upstream renews its announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalUpstream {
    /// Address at which it accepts calls over HTTP/1.1.
    pub address: net::SocketAddr,
    /// Name of this instance, which tells it from others that ran at the address; empty when it
    /// announces none.
    pub instance: SmolStr,
    /// When this incarnation of it started, in milliseconds since the Unix epoch; `None` if it does
    /// not say.
    pub born: Option<u64>,
    /// Its announced properties, limited to what its class allows.
    pub upstream: view::Upstream,
}

impl LocalUpstream {
    /// Its identity, the same whatever process of the node is beside it; `None` without a name.
    pub fn identity(&self) -> Option<notice::Identity> {
        notice::Identity::of(&self.instance, self.born)
    }
}
