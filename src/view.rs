//! The hosts of the mesh as one node sees them: an immutable snapshot, published by the membership
//! duty.

use std::collections;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::host;
use crate::rollout;

/// Region and availability zone of a host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Locality {
    /// Region: an area whose availability zones are close to each other.
    pub region: SmolStr,
    /// Availability zone; its name is unique within the mesh.
    pub zone: SmolStr,
}

/// Health of a host as failure detection sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Health {
    /// The host answers, or nothing is known to the contrary.
    Alive,
    /// The host did not answer a probe; it may still refute the suspicion.
    Suspect,
    /// The host was declared dead, or its zone can't be reached from here.
    Unreachable,
}

/// Phase in the life cycle of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// The upstream has just started and gets a growing share of calls.
    Warming,
    /// The upstream gets its full share of calls.
    Serving,
    /// The upstream gets no new calls.
    Draining,
}

/// An upstream as it announced itself to the node on its host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// Name of the service it serves.
    pub service: SmolStr,
    /// Name of its class among the configuration's `upstreams`.
    pub class: SmolStr,
    /// Phase in its life cycle.
    pub phase: Phase,
    /// Number of calls it runs at once.
    pub slots: u16,
    /// Number of connections it accepts.
    pub connections: u16,
    /// Incarnation of its process, counted within the incarnation of its node. A new incarnation
    /// has no memory of the calls of the one before.
    pub incarnation: u32,
    /// Version of its software; empty when it announced none.
    #[serde(default)]
    pub version: SmolStr,
    /// What its node observed during the trial of its version in a roll-out.
    #[serde(default)]
    pub trial: rollout::TrialReport,
}

/// One host as this node sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Identity and addresses.
    pub id: host::HostId,
    /// Region and availability zone.
    pub locality: Arc<Locality>,
    /// Incarnation of the host's process; a restarted process has a higher one.
    pub incarnation: u64,
    /// Health as failure detection sees it.
    pub health: Health,
    /// The upstream beside it; `None` while none has announced itself.
    pub upstream: Option<Arc<Upstream>>,
}

/// Whether this process may act as a member of the mesh.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Standing {
    /// The process has joined, and nothing indicates that others count it as dead.
    #[default]
    Member,
    /// The process has started and has not joined yet.
    Joining,
    /// The process was paused; no host has answered since, so others may have declared it dead.
    Paused,
    /// Others declared the process dead; no host has answered its new incarnation yet.
    Refuting,
}

/// All known hosts.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Standing of this process. Unless it is [`Standing::Member`], this node neither reads nor
    /// writes the log for others and admits no new calls.
    pub standing: Standing,
    /// The hosts, this one included, sorted by identity and without duplicates.
    pub hosts: Vec<Host>,
    /// For each service, indices into `hosts` of the hosts with an upstream of it, whatever their
    /// health.
    pub services: collections::HashMap<SmolStr, Vec<u32>>,
}

impl View {
    /// A view of `hosts`, given in any order, by a member of the mesh.
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

    /// The host with identity `id`.
    pub fn host(&self, id: host::HostId) -> Option<&Host> {
        let index = self.hosts.binary_search_by_key(&id, |h| h.id).ok()?;
        self.hosts.get(index)
    }

    /// The hosts that have an upstream of `service`, whatever their health.
    pub fn upstreams<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Host> + use<'a> {
        let indices = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        indices.iter().filter_map(|&i| self.hosts.get(i as usize))
    }
}
