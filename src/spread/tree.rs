//! Who reads the log and who pushes to whom, computed alike by every node from its own view.
//!
//! Two nodes whose views differ may compute different readers or trees. The first costs an extra
//! reader; the second leaves a host to the repair by pulls or sends it a version twice.

use std::cmp;

use crate::host;
use crate::version;

const READER: u64 = 0x7265_6164;
const TREE: u64 = 0x7472_6565;

/// The hosts of `zone` in the order in which they are due to read the log.
///
/// Rendezvous hashing: a host that comes or goes moves nobody else's place relative to another.
pub fn readers(zone: &[host::HostId]) -> Vec<host::HostId> {
    sorted(zone, READER, 0)
}

/// The push tree of one version, or rather its top hosts and who is below whom.
///
/// The tree has no root of its own: whoever learns of the version first, one host or several,
/// pushes to the top hosts as well as to the hosts below itself. So the tree depends on the version
/// and the zone only, and no message needs to name a root.
///
/// Invariant: `order` holds no host twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tree {
    order: Vec<host::HostId>,
    fanout: usize,
}

impl Tree {
    /// The tree over `zone` for `version`.
    pub fn new(zone: &[host::HostId], version: version::Version, fanout: u8) -> Self {
        let order = sorted(zone, TREE, version.number());
        Self { order, fanout: usize::from(cmp::max(fanout, 1)) }
    }

    /// The hosts to which a host pushes that learned of the version first.
    pub fn top(&self) -> &[host::HostId] {
        self.slice(0)
    }

    /// The hosts to which `host` pushes; none when it is not in the tree.
    pub fn children(&self, host: host::HostId) -> &[host::HostId] {
        let place = self.order.iter().position(|&h| h == host);
        place.map_or(&[], |place| self.slice((place + 1) * self.fanout))
    }

    /// Pushes one after the other from the first host to the furthest one.
    pub fn depth(&self) -> usize {
        let mut depth = 0;
        let mut place = self.order.len();
        while place > 0 {
            place = (place - 1) / self.fanout;
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
