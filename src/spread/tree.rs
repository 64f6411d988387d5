//! Choice of the hosts that read the log, and the tree along which versions are pushed. Every node
//! computes both from its own view of the hosts.
//!
//! Nodes with different views may compute different readers, which costs an extra reader, or
//! different trees, so that a host gets a version twice or only by a pull.

use std::cmp;

use crate::host;
use crate::version;

/// Inputs of [`host::HostId::weight`] that separate the order of readers from that of the tree.
const READER: u64 = 0x7265_6164;
const TREE: u64 = 0x7472_6565;

/// The hosts of `zone` in the order in which they are chosen as readers of the log.
///
/// By rendezvous hashing: a host that joins or leaves does not change the order of the others.
pub fn readers(zone: &[host::HostId]) -> Vec<host::HostId> {
    sorted(zone, READER, 0)
}

/// The push tree of one version: its top hosts, and the children of each host.
///
/// No host is the root. Each host that learns of the version from outside the tree pushes to the
/// top hosts and to its own children. So the tree depends on the version and the zone only, and no
/// message needs to name a root.
///
/// Invariant: `order` contains no host twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tree {
    order: Vec<host::HostId>,
    fanout: usize,
}

impl Tree {
    /// The tree of the hosts of `zone` for `version`.
    pub fn new(zone: &[host::HostId], version: version::Version, fanout: u8) -> Self {
        let order = sorted(zone, TREE, version.number());
        Self { order, fanout: usize::from(cmp::max(fanout, 1)) }
    }

    /// The hosts at the top of the tree.
    pub fn top(&self) -> &[host::HostId] {
        self.slice(0)
    }

    /// The hosts to which `host` forwards the version; none when it is not in the tree.
    pub fn children(&self, host: host::HostId) -> &[host::HostId] {
        let position = self.order.iter().position(|&h| h == host);
        position.map_or(&[], |position| self.slice((position + 1) * self.fanout))
    }

    /// Number of levels, which is the number of pushes on the longest path through the tree.
    pub fn depth(&self) -> usize {
        let mut depth = 0;
        let mut position = self.order.len();
        while position > 0 {
            position = (position - 1) / self.fanout;
            depth += 1;
        }
        depth
    }

    fn slice(&self, from: usize) -> &[host::HostId] {
        let first = cmp::min(from, self.order.len());
        let last = cmp::min(first + self.fanout, self.order.len());
        &self.order[first..last]
    }
}

fn sorted(zone: &[host::HostId], purpose: u64, salt: u64) -> Vec<host::HostId> {
    let mut keyed: Vec<(u64, host::HostId)> =
        zone.iter().map(|&h| (h.weight(purpose, salt), h)).collect();
    keyed.sort_unstable();
    keyed.dedup();
    keyed.into_iter().map(|(_, h)| h).collect()
}
