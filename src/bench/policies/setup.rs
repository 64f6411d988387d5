//! The modelled site: hosts, configuration and times.

use std::net;
use std::sync::Arc;
use std::time;

use smol_str::SmolStr;

use crate::admit;
use crate::bench::policies::case;
use crate::host;
use crate::mesh;
use crate::pick;
use crate::rollout;
use crate::view;

/// Upstreams; each has its host, which is an entry too.
pub(super) const HOSTS: usize = 9;
/// Entries where many hosts call the service.
const MANY: usize = 180;
/// Slots of an upstream.
pub(super) const SLOTS: u16 = 9;
/// Slots that a lying upstream really has.
pub(super) const LYING_SLOTS: u16 = 3;
/// Calls that wait at an upstream.
pub(super) const QUEUE: u16 = 18;
/// Mean service time, in microseconds.
pub(super) const SERVICE: f64 = 10_000.0;
/// How much longer a slow upstream takes.
pub(super) const SLOW: f64 = 10.0;
/// How much longer a cold upstream takes at first.
pub(super) const COLD: f64 = 5.0;
/// Time over which a cold upstream becomes warm.
pub(super) const WARMUP: time::Duration = time::Duration::from_secs(5);
/// One way within an availability zone, in microseconds.
pub(super) const NEAR: u64 = 50;
/// One way between availability zones, in microseconds.
pub(super) const FAR: u64 = 500;
/// Share of the calls that are orders.
pub(super) const ORDERS: f64 = 0.15;
/// Time before the first call that is counted, in microseconds.
pub(super) const LEAD: u64 = 500_000;

/// What every call asks for.
pub(super) const TARGET: pick::Target =
    pick::Target { service: mesh::ServiceKey(0), class: None, group: rollout::VersionGroup::Any };

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const CONNECTIONS: u16 = 130;

/// A kind of call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    /// Idempotent and light.
    Browse,
    /// Not idempotent and heavy.
    Order,
}

impl Kind {
    /// Its number at the gates.
    pub(super) const fn number(self) -> admit::Kind {
        match self {
            Self::Browse => admit::Kind(0),
            Self::Order => admit::Kind(1),
        }
    }

    /// Worth of one call served whole.
    pub(super) const fn weight(self) -> u32 {
        match self {
            Self::Browse => 1,
            Self::Order => 10,
        }
    }

    /// How long a caller waits.
    pub(super) const fn patience(self) -> time::Duration {
        match self {
            Self::Browse => time::Duration::from_millis(300),
            Self::Order => time::Duration::from_millis(1000),
        }
    }
}

/// Hosts at which calls come in.
pub(super) fn entries(fault: case::Fault) -> usize {
    if fault == case::Fault::Many { MANY } else { HOSTS }
}

/// The zone of the host with `index`.
pub(super) const fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// One way between two hosts, in microseconds.
pub(super) const fn way(from: usize, to: usize) -> u64 {
    if from % ZONES.len() == to % ZONES.len() { NEAR } else { FAR }
}

/// The identity of the host with `index`.
pub(super) fn id(index: usize) -> host::HostId {
    let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
    host::HostId::new(net::SocketAddr::from(([127, 0, 0, last], 7100)))
}

/// The index of the host called `id`.
pub(super) fn index(id: host::HostId) -> usize {
    match id.member_addr().ip() {
        net::IpAddr::V4(ip) => usize::from(ip.octets()[3]) - 1,
        net::IpAddr::V6(_) => 0,
    }
}

/// Where the host with `index` stands.
pub(super) fn place(index: usize) -> view::Locality {
    view::Locality { region: SmolStr::new_static("south"), zone: SmolStr::new_static(zone(index)) }
}

/// What the membership says; it knows of a cold upstream and of no other fault.
pub(super) fn view(fault: case::Fault) -> view::View {
    view::View::new((0..HOSTS).map(|index| host(index, fault)).collect())
}

fn host(index: usize, fault: case::Fault) -> view::Host {
    let cold = index == 0 && fault == case::Fault::Cold;
    let upstream = view::Upstream {
        service: SmolStr::new_static("shop"),
        class: SmolStr::new_static("shop"),
        phase: if cold { view::Phase::Warming } else { view::Phase::Serving },
        slots: SLOTS,
        connections: CONNECTIONS,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    };
    view::Host {
        id: id(index),
        locality: Arc::new(place(index)),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(Arc::new(upstream)),
    }
}

/// The configuration: one service with one class.
pub(super) fn mesh() -> mesh::Mesh {
    let objectives = mesh::Objectives {
        availability: 0.99,
        latency: time::Duration::from_millis(100),
        share: 0.99,
        window: time::Duration::from_secs(3600),
    };
    let service = mesh::Service {
        name: SmolStr::new_static("shop"),
        organisation: mesh::OrganisationKey(0),
        timeout: time::Duration::from_secs(1),
        queue: QUEUE,
        retries: 10,
        objectives,
    };
    let class = mesh::Class {
        name: SmolStr::new_static("shop"),
        service: mesh::ServiceKey(0),
        slots: SLOTS,
        connections: CONNECTIONS,
        warmup: WARMUP,
    };
    let mut mesh = mesh::Mesh::default();
    mesh.services = vec![service];
    mesh.classes = vec![class];
    mesh
}
