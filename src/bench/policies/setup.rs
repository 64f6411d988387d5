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

/// Number of upstreams. Each is on a host of its own, which is also an entry node.
pub(super) const HOSTS: usize = 9;
/// Number of entry nodes under [`case::Fault::Many`].
const MANY_ENTRIES: usize = 180;
/// Number of entry nodes under [`case::Fault::Limited`].
const LARGEST_MESH: usize = 2800;
/// When the limited upstream names its limit.
pub(super) const LIMITED_AT_US: u64 = 1_000_000;
/// The limit that it names, in thousandths of a call a second: a quarter of what it could run.
pub(super) const LIMIT_MILLIS: u64 = 225_000;
/// Slots of an upstream.
pub(super) const SLOTS: u16 = 9;
/// Slots that a lying upstream really has.
pub(super) const LYING_SLOTS: u16 = 3;
/// Maximum number of calls that wait at an upstream.
pub(super) const QUEUE_CAPACITY: u16 = 18;
/// Mean time of a call at an upstream.
pub(super) const MEAN_SERVICE_US: f64 = 10_000.0;
/// Factor on the time of a call at a slow upstream.
pub(super) const SLOW_FACTOR: f64 = 10.0;
/// Factor on the time of a call at a cold upstream that has just started.
pub(super) const COLD_FACTOR: f64 = 5.0;
/// Time over which a cold upstream becomes warm.
pub(super) const WARMUP: time::Duration = time::Duration::from_secs(5);
/// One-way network delay within an availability zone.
pub(super) const ZONE_DELAY_US: u64 = 50;
/// One-way network delay between availability zones.
pub(super) const CROSS_ZONE_DELAY_US: u64 = 500;
/// Share of the calls that are orders.
pub(super) const ORDER_SHARE: f64 = 0.15;
/// Time at the start whose calls are not counted.
pub(super) const UNCOUNTED_US: u64 = 500_000;

/// The target of every call.
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

    /// Weight of a served call in the goodput.
    pub(super) const fn weight(self) -> u32 {
        match self {
            Self::Browse => 1,
            Self::Order => 10,
        }
    }

    /// How long a caller waits for the response.
    pub(super) const fn timeout(self) -> time::Duration {
        match self {
            Self::Browse => time::Duration::from_millis(300),
            Self::Order => time::Duration::from_millis(1000),
        }
    }
}

/// Number of entry nodes.
pub(super) fn entries(fault: case::Fault) -> usize {
    match fault {
        case::Fault::Many => MANY_ENTRIES,
        case::Fault::Limited => LARGEST_MESH,
        _ => HOSTS,
    }
}

/// The zone of the host with `index`.
pub(super) const fn zone(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// One-way network delay between two hosts.
pub(super) const fn delay_us(from: usize, to: usize) -> u64 {
    if from % ZONES.len() == to % ZONES.len() { ZONE_DELAY_US } else { CROSS_ZONE_DELAY_US }
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

/// Region and zone of the host with `index`.
pub(super) fn locality(index: usize) -> view::Locality {
    view::Locality { region: SmolStr::new_static("south"), zone: SmolStr::new_static(zone(index)) }
}

/// The membership view, which shows a cold upstream as warming but no other fault.
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
        locality: Arc::new(locality(index)),
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
        queue: QUEUE_CAPACITY,
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
