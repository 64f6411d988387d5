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
    /// Its place among the hosts of the fleet.
    pub index: usize,
    /// Identity and addresses of its node.
    pub id: host::HostId,
    /// Addresses its node binds; others than `id` behind a fault proxy.
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
    /// A host known by `ip` whose node binds `bound`, in a region and a zone.
    pub(super) fn new(
        index: usize,
        ip: net::IpAddr,
        bound: net::IpAddr,
        place: (SmolStr, SmolStr),
    ) -> Self {
        let (region, zone) = place;
        let id = host::HostId::new(net::SocketAddr::new(ip, NODE_PORT));
        let bound = host::HostId::new(net::SocketAddr::new(bound, NODE_PORT));
        Self { index, id, bound, region, zone, group: None, node: None, upstream: None }
    }

    /// Base address by which it is known, as rules of the fault proxy name it.
    pub fn base(&self) -> net::SocketAddr {
        self.id.member_addr()
    }

    /// Where its upstream takes calls.
    pub fn upstream_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.bound.member_addr().ip(), UPSTREAM_PORT)
    }

    /// Where its upstream takes control.
    pub fn control_addr(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.bound.member_addr().ip(), UPSTREAM_PORT + 1)
    }

    /// Name of the service of its upstream.
    pub fn service(&self) -> Option<&SmolStr> {
        self.group.as_ref().map(|g| &g.service)
    }

    /// Process id of its node while it has one.
    pub fn node_pid(&self) -> Option<u32> {
        self.node.as_ref().map(process::Process::id)
    }

    /// Process id of its upstream while it has one.
    pub fn upstream_pid(&self) -> Option<u32> {
        self.upstream.as_ref().map(process::Process::id)
    }
}
