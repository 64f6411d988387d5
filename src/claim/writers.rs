//! Which hosts write which partition, as one node sees it.
//!
//! Two nodes whose views differ may ask two writers. That costs an append more, never safety: the
//! order of the log decides.

use crate::claim;
use crate::host;
use crate::view;

const PURPOSE: u64 = 0x636c_6169;

/// Writers known for each partition: the one that is due, and those to ask when it fails.
pub const CHOICES: usize = 3;

/// The partition of `key` among `partitions`, which is not 0.
pub fn partition(key: claim::Key, partitions: u16) -> u16 {
    let [first, second, third, fourth, ..] = key.0;
    let number = u32::from_le_bytes([first, second, third, fourth]);
    u16::try_from(number % u32::from(partitions.max(1))).unwrap_or(0)
}

/// Writers of every partition, kept while the set of hosts stays the same.
#[derive(Debug)]
pub struct Table {
    /// Hosts that are not known to be unreachable, sorted.
    hosts: Vec<host::HostId>,
    /// By partition; `None` while not asked for.
    ranked: Vec<Option<[Option<host::HostId>; CHOICES]>>,
}

impl Table {
    /// A table of `partitions` partitions without hosts.
    pub fn new(partitions: u16) -> Self {
        Self { hosts: Vec::new(), ranked: vec![None; usize::from(partitions)] }
    }

    /// Takes a new view.
    pub fn update(&mut self, view: &view::View) {
        let reachable = view.hosts.iter().filter(|h| h.health != view::Health::Unreachable);
        let hosts: Vec<host::HostId> = reachable.map(|h| h.id).collect();
        if hosts != self.hosts {
            self.hosts = hosts;
            self.ranked.fill(None);
        }
    }

    /// The writer of `partition` to ask in the try number `number`, from 0.
    pub fn choice(&mut self, partition: u16, number: usize) -> Option<host::HostId> {
        let hosts = &self.hosts;
        let ranked = self.ranked.get_mut(usize::from(partition))?;
        let ranked = ranked.get_or_insert_with(|| rank(hosts, partition));
        let known = ranked.iter().flatten().count();
        ranked.get(number.checked_rem(known)?).copied().flatten()
    }
}

fn rank(hosts: &[host::HostId], partition: u16) -> [Option<host::HostId>; CHOICES] {
    let mut best: [Option<(u64, host::HostId)>; CHOICES] = [None; CHOICES];
    for &host in hosts {
        let mut candidate = (host.weight(PURPOSE, u64::from(partition)), host);
        for place in &mut best {
            match place {
                Some(held) if *held <= candidate => {}
                Some(held) => std::mem::swap(held, &mut candidate),
                None => {
                    *place = Some(candidate);
                    break;
                }
            }
        }
    }
    best.map(|place| place.map(|(_, host)| host))
}
