//! Announcements of the upstream beside this node.
//!
//! An announcement holds for a lease and is renewed as a heartbeat. It is checked against the
//! configuration that is applied; one that names a service or class the configuration lacks is
//! refused but kept, so that it holds as soon as a configuration brings them.

use std::net;
use std::time;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::clock;
use crate::mesh;
use crate::node;
use crate::view;

/// Life cycle of an upstream, as announced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Started a moment ago.
    Warming,
    /// Serves.
    Serving,
    /// Finishes what it has and takes no new calls.
    Draining,
}

impl From<Phase> for view::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Warming => view::Phase::Warming,
            Phase::Serving => view::Phase::Serving,
            Phase::Draining => view::Phase::Draining,
        }
    }
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the service it serves.
    pub service: SmolStr,
    /// Name of its class among the configuration's `upstreams`.
    pub class: SmolStr,
    /// Where it takes calls (HTTP/1.1), on this host.
    pub address: net::SocketAddr,
    /// Calls it runs at once.
    pub slots: u16,
    /// Connections it accepts.
    pub connections: u16,
    /// Life cycle.
    pub phase: Phase,
}

/// What is wrong with an announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Its address is not one of this host.
    #[error("the upstream's address is not one of this host")]
    Address,
    /// It offers no slot or no connection.
    #[error("an upstream needs at least one slot and one connection")]
    Empty,
    /// The configuration has no such service. The announcement is kept.
    #[error("the configuration has no such service; kept until one brings it")]
    Service,
    /// The service has no such class of upstreams. The announcement is kept.
    #[error("the service has no such class of upstreams; kept until one comes")]
    Class,
}

impl Fault {
    /// Whether the announcement may hold under a later configuration.
    pub const fn pending(self) -> bool {
        matches!(self, Fault::Class | Fault::Service)
    }
}

/// The announcement that holds, if one does.
#[derive(Debug)]
pub struct Desk {
    host: net::IpAddr,
    lease: time::Duration,
    /// The last announcement and when its lease ends.
    held: Option<(Announcement, clock::Instant)>,
}

impl Desk {
    /// A desk on the host with address `host`; announcements hold for `lease`.
    pub const fn new(host: net::IpAddr, lease: time::Duration) -> Self {
        Self { host, lease, held: None }
    }

    /// Whether `peer` may announce: this host's own address or loopback.
    pub fn admits(&self, peer: net::IpAddr) -> bool {
        peer == self.host || peer.is_loopback()
    }

    /// Takes an announcement or its renewal.
    ///
    /// # Errors
    ///
    /// Names what is wrong with it under `mesh`; it is kept when [`Fault::pending`].
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: clock::Instant,
        mesh: &mesh::Mesh,
    ) -> Result<(), Fault> {
        if !self.admits(announcement.address.ip()) {
            return Err(Fault::Address);
        }
        if announcement.slots == 0 || announcement.connections == 0 {
            return Err(Fault::Empty);
        }
        let found = class(&announcement, mesh).map(|_| ());
        self.held = Some((announcement, now + self.lease));
        found
    }

    /// Takes the announcement back.
    pub fn withdraw(&mut self) {
        self.held = None;
    }

    /// Drops the announcement when its lease has ended.
    pub fn expire(&mut self, now: clock::Instant) {
        self.held.take_if(|(_, until)| *until <= now);
    }

    /// The upstream as `mesh` allows it: within the limits of its class, and only if the mesh has
    /// its service and class.
    pub fn local(&self, mesh: &mesh::Mesh) -> Option<node::Local> {
        let (announcement, _) = self.held.as_ref()?;
        let class = class(announcement, mesh).ok()?;
        let upstream = view::Upstream {
            service: announcement.service.clone(),
            class: announcement.class.clone(),
            phase: announcement.phase.into(),
            slots: announcement.slots.min(class.slots),
            connections: announcement.connections.min(class.connections),
        };
        Some(node::Local { address: announcement.address, upstream })
    }
}

/// The class that `announcement` names.
fn class<'a>(announcement: &Announcement, mesh: &'a mesh::Mesh) -> Result<&'a mesh::Class, Fault> {
    if !mesh.services.iter().any(|s| s.name == announcement.service) {
        return Err(Fault::Service);
    }
    let matches = |c: &&mesh::Class| {
        c.name == announcement.class && mesh.service(c.service).name == announcement.service
    };
    mesh.classes.iter().find(matches).ok_or(Fault::Class)
}
