//! Assigns partitions to the hosts that write them, from one node's view.
//!
//! Two nodes whose views differ may ask two different writers. That costs an extra append but no
//! safety, since the order of the log decides.

use crate::claim;
use crate::host;
use crate::view;

/// Keeps the ranking of hosts for claims independent of other rankings of the same hosts.
const PURPOSE: u64 = 0x636c_6169;

/// Candidate writers of each partition: the assigned one and those to ask when it fails.
pub const CANDIDATES: usize = 3;

/// The partition of `key` among `partitions`, which must not be 0.
pub fn partition(key: claim::Key, partitions: u16) -> u16 {
    let [first, second, third, fourth, ..] = key.0;
    let number = u32::from_le_bytes([first, second, third, fourth]);
    u16::try_from(number % u32::from(partitions.max(1))).unwrap_or(0)
}

/// Candidate writers of every partition, cached while the set of hosts stays the same.
#[derive(Debug)]
pub struct Table {
    /// Hosts that are not known to be unreachable, sorted by id.
    hosts: Vec<host::HostId>,
    /// Candidates by partition; `None` until they are first needed.
    ranked: Vec<Option<[Option<host::HostId>; CANDIDATES]>>,
}

impl Table {
    /// A table of `partitions` partitions without hosts.
    pub fn new(partitions: u16) -> Self {
        Self { hosts: Vec::new(), ranked: vec![None; usize::from(partitions)] }
    }

    /// Updates the hosts from a new view.
    pub fn update(&mut self, view: &view::View) {
        let reachable = view.hosts.iter().filter(|h| h.health != view::Health::Unreachable);
        let hosts: Vec<host::HostId> = reachable.map(|h| h.id).collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.ranked.fill(None);
        }
    }

    /// The writer of `partition` to ask in attempt `number`, counted from 0; after the last
    /// candidate the first one follows again. `None` when no host is reachable.
    pub fn candidate(&mut self, partition: u16, number: usize) -> Option<host::HostId> {
        let hosts = &self.hosts;
        let ranked = self.ranked.get_mut(usize::from(partition))?;
        let ranked = ranked.get_or_insert_with(|| rank(hosts, partition));
        let known = ranked.iter().flatten().count();
        ranked.get(number.checked_rem(known)?).copied().flatten()
    }
}

fn rank(hosts: &[host::HostId], partition: u16) -> [Option<host::HostId>; CANDIDATES] {
    let mut best: [Option<(u64, host::HostId)>; CANDIDATES] = [None; CANDIDATES];
    for &host in hosts {
        let mut candidate = (host.weight(PURPOSE, u64::from(partition)), host);
        for slot in &mut best {
            match slot {
                Some(held) if *held <= candidate => {}
                Some(held) => std::mem::swap(held, &mut candidate),
                None => {
                    *slot = Some(candidate);
                    break;
                }
            }
        }
    }
    best.map(|slot| slot.map(|(_, host)| host))
}
