//! Settings of a node, with one file for each feature. Every field has a default, and the name of
//! a quantity ends with its unit.
//!
//! A settings file contains only the values that differ from the defaults. With `"preset"` it
//! starts from one of the files under `presets/` instead.

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
pub mod overload;
pub mod proxy;
pub mod quota;
pub mod spread;
pub mod stop;
pub mod usage;

/// Settings of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Node {
    /// Name of the mesh; messages from nodes of other meshes are ignored.
    pub mesh: SmolStr,
    /// Secret shared by the nodes of the mesh, which authenticates their messages.
    pub key: SmolStr,
    /// Address and base port of this host; six consecutive ports are used.
    pub listen: net::SocketAddr,
    /// Address and base port to bind if they differ from `listen`, at which other hosts connect:
    /// for a host behind a forwarder of all six ports.
    pub bind: Option<net::SocketAddr>,
    /// Region of this host.
    pub region: SmolStr,
    /// Availability zone of this host.
    pub zone: SmolStr,
    /// Service of the upstream beside this node; empty if there is none.
    pub service: SmolStr,
    /// Base addresses of some hosts through which this host joins the mesh.
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
    /// Overload protection.
    pub overload: overload::Overload,
    /// Listeners and connections of the call path.
    pub proxy: proxy::Proxy,
    /// Limits of organisations.
    pub quota: quota::Quota,
    /// Distribution of configuration.
    pub spread: spread::Spread,
    /// Planned stop.
    pub stop: stop::Stop,
    /// Usage and burn.
    pub usage: usage::Usage,
}

impl Node {
    /// Identity of this host, at which others reach it.
    pub const fn host(&self) -> host::HostId {
        host::HostId::new(self.listen)
    }

    /// The addresses that this process binds.
    pub fn bound(&self) -> host::HostId {
        host::HostId::new(self.bind.unwrap_or(self.listen))
    }

    /// Address at which calls are accepted.
    pub fn call_addr(&self) -> net::SocketAddr {
        self.proxy.listen.unwrap_or_else(|| self.bound().call_addr())
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Lists every value that is out of range or contradicts another, with its JSON pointer.
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
            overload: overload::Overload::default(),
            proxy: proxy::Proxy::default(),
            quota: quota::Quota::default(),
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
