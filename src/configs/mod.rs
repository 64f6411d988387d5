//! Settings of a node: one twin file for each feature, every field with a default and a unit.
//!
//! A settings file names only what differs from the defaults. With `"preset"` it starts from one
//! of the files under `presets/` instead.

use std::net;
use std::path;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::mesh::fault;

pub mod admin;
pub mod call;
pub mod claim;
pub mod limits;
pub mod load;
pub mod local;
pub mod log;
pub mod member;
pub mod proxy;
pub mod spread;
pub mod stop;
pub mod usage;

/// Settings of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Name of the mesh; nodes of other meshes are ignored.
    pub mesh: SmolStr,
    /// Secret shared by the nodes of the mesh, for the tags on their messages.
    pub key: SmolStr,
    /// Address and base port of this host; six consecutive ports are used.
    pub listen: net::SocketAddr,
    /// Address and base port to bind instead of `listen`, which others still use: for a host
    /// that is reached through a forwarder of all six ports.
    pub bind: Option<net::SocketAddr>,
    /// Region of this host.
    pub region: SmolStr,
    /// Availability zone of this host.
    pub zone: SmolStr,
    /// Service of the upstream beside this node; empty when there is none.
    pub service: SmolStr,
    /// Base addresses of a few hosts to join through.
    pub join: Vec<net::SocketAddr>,
    /// The operators' port.
    pub admin: admin::Admin,
    /// Calls.
    pub call: call::Call,
    /// Claims of idempotency keys.
    pub claim: claim::Claim,
    /// The platform's log service.
    pub log: log::Log,
    /// Membership.
    pub member: member::Member,
    /// Listeners and connections of the call path.
    pub proxy: proxy::Proxy,
    /// Distribution of configuration.
    pub spread: spread::Spread,
    /// Planned stop.
    pub stop: stop::Stop,
    /// Usage and burn.
    pub usage: usage::Usage,
}

impl Node {
    /// This host as the others know it.
    pub const fn host(&self) -> host::HostId {
        host::HostId::new(self.listen)
    }

    /// The addresses this process binds.
    pub fn bound(&self) -> host::HostId {
        host::HostId::new(self.bind.unwrap_or(self.listen))
    }

    /// Address on which calls are taken.
    pub fn call_addr(&self) -> net::SocketAddr {
        self.proxy.listen.unwrap_or_else(|| self.bound().call_addr())
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Every value that is out of range or at odds with another, with its JSON pointer.
    pub fn check(&self) -> Result<(), fault::Faults> {
        load::check(self)
    }
}

impl Default for Node {
    fn default() -> Self {
        Self {
            mesh: SmolStr::default(),
            key: SmolStr::default(),
            listen: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 7100)),
            bind: None,
            region: SmolStr::new_static("region"),
            zone: SmolStr::new_static("zone"),
            service: SmolStr::default(),
            join: Vec::new(),
            admin: admin::Admin::default(),
            call: call::Call::default(),
            claim: claim::Claim::default(),
            log: log::Log::default(),
            member: member::Member::default(),
            proxy: proxy::Proxy::default(),
            spread: spread::Spread::default(),
            stop: stop::Stop::default(),
            usage: usage::Usage::default(),
        }
    }
}

/// Reads and checks the settings of a node.
///
/// # Errors
///
/// The file can't be read, or has faults.
pub fn load(path: &path::Path) -> Result<Node, load::SettingsError> {
    load::load(path)
}
