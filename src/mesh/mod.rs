//! The accepted configuration as the rest of the program uses it.
//!
//! A [`Mesh`] is built whole by the checked step from the border types; every key in it points at
//! an item it has.

use std::sync::Arc;
use std::time;

use smol_str::SmolStr;

use crate::version;

pub mod check;
pub mod fault;
pub mod find;

/// Key of a [`Team`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TeamKey(pub u16);

/// Key of a [`Service`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServiceKey(pub u16);

/// Key of a [`Kind`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KindKey(pub u16);

/// Key of a [`Class`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassKey(pub u16);

/// Key of a [`Route`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey(pub u16);

/// A team, charged for the calls its services serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Unique name.
    pub name: SmolStr,
}

/// Service-level objectives of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objectives {
    /// Share of calls to be served whole, above 0 and below 1.
    pub availability: f64,
    /// A call slower than this counts against the latency objective.
    pub latency: time::Duration,
    /// Share of served calls to be within `latency`, above 0 and below 1.
    pub share: f64,
    /// Period over which the budget is counted.
    pub window: time::Duration,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: SmolStr,
    /// Team that is charged.
    pub team: TeamKey,
    /// Longest a call may take when the caller names no deadline.
    pub timeout: time::Duration,
    /// Calls that may wait at each upstream's node for a slot.
    pub queue: u16,
    /// Extra attempts allowed per hundred calls.
    pub retries: u8,
    /// Objectives.
    pub objectives: Objectives,
}

/// A kind of call of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Name, unique within its service.
    pub name: SmolStr,
    /// Service it belongs to.
    pub service: ServiceKey,
    /// Worth of one call served whole; a heavier kind is admitted first.
    pub weight: u32,
    /// Whether running a call twice does no harm.
    pub idempotent: bool,
    /// Largest request body accepted, in bytes.
    pub body: u64,
}

/// A class of upstreams of one service: limits that hold for each of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Unique name.
    pub name: SmolStr,
    /// Service its upstreams serve.
    pub service: ServiceKey,
    /// Most calls at once, however many an upstream announces.
    pub slots: u16,
    /// Most connections, however many an upstream announces.
    pub connections: u16,
    /// Time over which a new upstream's share grows to its full size.
    pub warmup: time::Duration,
}

/// A route from a request to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: SmolStr,
    /// Host header it matches, without port and in lower case; `None` matches every one.
    pub host: Option<SmolStr>,
    /// Path prefix it matches, whole segments only.
    pub path: SmolStr,
    /// Methods it matches; empty matches every one.
    pub methods: Vec<http::Method>,
    /// Service of `kind`.
    pub service: ServiceKey,
    /// Kind of the calls it matches.
    pub kind: KindKey,
    /// Class whose upstreams run its calls; `None` allows every upstream of the service.
    pub class: Option<ClassKey>,
}

/// A whole configuration.
///
/// Made by [`check::check`] alone. Invariants: every key held by an item indexes the arena of its
/// type; the arenas are not changed afterwards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mesh {
    /// Arena of teams.
    pub teams: Vec<Team>,
    /// Arena of services.
    pub services: Vec<Service>,
    /// Arena of kinds.
    pub kinds: Vec<Kind>,
    /// Arena of classes of upstreams.
    pub classes: Vec<Class>,
    /// Arena of routes.
    pub routes: Vec<Route>,
    /// `routes` by host and path.
    index: find::Index,
}

impl Mesh {
    /// The team of `key`, a key of this mesh.
    pub fn team(&self, key: TeamKey) -> &Team {
        &self.teams[usize::from(key.0)]
    }

    /// The service of `key`, a key of this mesh.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }

    /// The kind of `key`, a key of this mesh.
    pub fn kind(&self, key: KindKey) -> &Kind {
        &self.kinds[usize::from(key.0)]
    }

    /// The class of `key`, a key of this mesh.
    pub fn class(&self, key: ClassKey) -> &Class {
        &self.classes[usize::from(key.0)]
    }

    /// The route of `key`, a key of this mesh.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[usize::from(key.0)]
    }
}

/// The configuration a node runs, swapped whole.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// What `mesh` was built from.
    pub stamp: version::Stamp,
    /// The configuration; empty while the stamp's version is [`version::Version::NONE`].
    pub mesh: Arc<Mesh>,
}
