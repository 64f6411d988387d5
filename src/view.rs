//! What a node knows of the mesh's hosts: an immutable snapshot made by the membership duty.

use std::collections;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::rollout;

/// Where a host stands.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Locality {
    /// Region, an area whose availability zones are close to each other.
    pub region: SmolStr,
    /// Availability zone; its name is unique within the mesh.
    pub zone: SmolStr,
}

/// Whether a host answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// Answers, or nobody has found otherwise.
    Alive,
    /// Did not answer a probe; may still refute.
    Suspect,
    /// Declared dead, or its zone or region can't be reached from here.
    Unreachable,
}

/// Life cycle of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// Started a moment ago; gets a growing share of calls.
    Warming,
    /// Serves.
    Serving,
    /// Gets no new calls.
    Draining,
}

/// An upstream as it announced itself to the node on its host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Name of the service it serves.
    pub service: SmolStr,
    /// Name of its class among the configuration's `upstreams`.
    pub class: SmolStr,
    /// Life cycle.
    pub phase: Phase,
    /// Calls it runs at once.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
    /// Number of its life within that of its node; another life knows nothing of the one before.
    pub incarnation: u32,
    /// Version of its software; empty where it tells none.
    #[serde(default)]
    pub version: SmolStr,
    /// What its node has seen of it while its version was tried.
    #[serde(default)]
    pub trial: rollout::TrialReport,
}

/// One host as seen from here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Identity and addresses.
    pub id: host::HostId,
    /// Region and availability zone.
    pub locality: Arc<Locality>,
    /// Number of this life of the host's process; a later life has a higher one.
    pub incarnation: u64,
    /// Whether it answers.
    pub health: Health,
    /// The upstream beside it, if one has announced itself.
    pub upstream: Option<Arc<Upstream>>,
}

/// Whether this process may act as a member of the mesh.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// Known to the others, as far as this host can tell.
    #[default]
    Member,
    /// Started and has not heard from anyone yet.
    Joining,
    /// Was paused and has not heard since what the others made of it.
    Paused,
    /// Was declared suspect or dead; its new incarnation has not been answered yet.
    Refuting,
}

/// All known hosts.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Standing of this process. Unless it is [`Standing::Member`], this node neither reads nor
    /// writes the log for others and admits no new work.
    pub standing: Standing,
    /// Sorted by identity, without duplicates; this host is among them.
    pub hosts: Vec<Host>,
    /// Indices into `hosts` of the hosts with an upstream of the service, whatever their health.
    pub services: collections::HashMap<SmolStr, Vec<u32>>,
}

impl View {
    /// A view of `hosts`, which need not be sorted.
    pub fn new(mut hosts: Vec<Host>) -> Self {
        hosts.sort_by_key(|h| h.id);
        hosts.dedup_by_key(|h| h.id);
        let mut services: collections::HashMap<SmolStr, Vec<u32>> = collections::HashMap::new();
        for (index, host) in (0u32..).zip(&hosts) {
            if let Some(upstream) = &host.upstream {
                services.entry(upstream.service.clone()).or_default().push(index);
            }
        }
        Self { standing: Standing::Member, hosts, services }
    }

    /// The host called `id`.
    pub fn host(&self, id: host::HostId) -> Option<&Host> {
        let index = self.hosts.binary_search_by_key(&id, |h| h.id).ok()?;
        self.hosts.get(index)
    }

    /// The hosts that have an upstream of `service`.
    pub fn upstreams<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Host> + use<'a> {
        let indices = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        indices.iter().filter_map(|&i| self.hosts.get(i as usize))
    }
}
