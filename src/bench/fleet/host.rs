//! One host of a fleet.

use std::net;

use smol_str::SmolStr;

use crate::bench::fleet::plan;
use crate::bench::fleet::process;
use crate::host;

/// Base port of every node.
const NODE_PORT: u16 = 7100;
/// Port of every upstream; its control is on the next.
const UPSTREAM_PORT: u16 = 7200;

/// One host of a fleet: a loopback address with a node and perhaps an upstream.
#[derive(Debug)]
pub struct Host {
    /// Its index in the fleet's list of hosts.
    pub index: usize,
    /// Identity and addresses of its node.
    pub id: host::HostId,
    /// Addresses that its node binds; they differ from `id` behind a fault proxy.
    pub bound: host::HostId,
    /// Region.
    pub region: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Its upstream, if it has one.
    pub group: Option<plan::Group>,
    pub(super) node: Option<process::Process>,
    pub(super) upstream: Option<process::Process>,
}

impl Host {
    /// A host known by `ip` whose node binds `bound`, in the region and zone `locality`.
    pub(super) fn new(
        index: usize,
        ip: net::IpAddr,
        bound: net::IpAddr,
        locality: (SmolStr, SmolStr),
    ) -> Self {
        let (region, zone) = locality;
        let id = host::HostId::new(net::SocketAddr::new(ip, NODE_PORT));
        let bound = host::HostId::new(net::SocketAddr::new(bound, NODE_PORT));
        Self { index, id, bound, region, zone, group: None, node: None, upstream: None }
    }

    /// Base address by which other hosts and the rules of the fault proxy know it.
    pub fn base(&self) -> net::SocketAddr {
        self.id.member_addr()
    }

    /// Address of its upstream's port for calls.
    pub fn upstream_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.bound.member_addr().ip(), UPSTREAM_PORT)
    }

    /// Address of its upstream's port for control.
    pub fn control_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.bound.member_addr().ip(), UPSTREAM_PORT + 1)
    }

    /// Name of the service of its upstream.
    pub fn service(&self) -> Option<&SmolStr> {
        self.group.as_ref().map(|g| &g.service)
    }

    /// Process id of its node; `None` while there is none.
    pub fn node_pid(&self) -> Option<u32> {
        self.node.as_ref().map(process::Process::id)
    }

    /// Process id of its upstream; `None` while there is none.
    pub fn upstream_pid(&self) -> Option<u32> {
        self.upstream.as_ref().map(process::Process::id)
    }
}
