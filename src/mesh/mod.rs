//! The accepted configuration in the form that the rest of the program uses.
//!
//! A [`Mesh`] is built from the border types after all checks, and only as a whole; every key in it
//! refers to an item that it contains.

use std::collections;
use std::sync::Arc;
use std::time;

use http::header;
use smol_str::SmolStr;

use crate::api_key;
use crate::quota;
use crate::rollout;
use crate::version;

pub mod check;
pub mod fault;
pub mod find;

/// Key of a [`Organisation`] in its mesh.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct OrganisationKey(pub u16);

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

/// Lowest priority of an organisation that a configuration allows.
pub const LOWEST_PRIORITY: u8 = 15;

/// How urgent the calls of an organisation of `priority` are; the greatest is the most urgent. Calls
/// whose organisation is not known are as urgent as those of the lowest priority.
pub fn organisation_urgency(priority: Option<u8>) -> u8 {
    priority.map_or(0, |priority| LOWEST_PRIORITY.saturating_sub(priority))
}

/// An organisation: it is charged for the calls that its services serve, and makes calls with its
/// API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Unique name.
    pub name: SmolStr,
    /// The name as a header value.
    pub header: header::HeaderValue,
    /// Identifies it in messages between nodes whose configurations may differ.
    pub id: quota::OrganisationId,
    /// Limit on the calls that it makes over all nodes together; `None` for no limit.
    pub limit: Option<quota::Limit>,
    /// Rank of its calls, which goes before that of their kinds; 0 is the most urgent.
    pub priority: u8,
}

/// Service-level objectives of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objectives {
    /// Share of calls to be served completely, above 0 and below 1.
    pub availability: f64,
    /// A call slower than this counts against the latency objective.
    pub latency: time::Duration,
    /// Share of the served calls that must end within `latency`, above 0 and below 1.
    pub share: f64,
    /// Period over which the error budget is counted.
    pub window: time::Duration,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: SmolStr,
    /// Organisation that is charged for its calls.
    pub organisation: OrganisationKey,
    /// Longest time a call may take when the caller gives no deadline.
    pub timeout: time::Duration,
    /// Number of calls that may wait at each upstream's node for a slot.
    pub queue: u16,
    /// Retries allowed per hundred calls.
    pub retries: u8,
    /// Service-level objectives.
    pub objectives: Objectives,
}

/// A kind of call of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Name, unique within its service.
    pub name: SmolStr,
    /// Service it belongs to.
    pub service: ServiceKey,
    /// Worth of one completely served call; a kind with a higher weight is admitted first.
    pub weight: u32,
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
    /// Largest request body accepted, in bytes.
    pub body: u64,
    /// Priority among the kinds of the service; 0 is the most urgent.
    pub priority: u8,
    /// Longest time a call may take; `None` for the timeout of the service.
    pub timeout: Option<time::Duration>,
    /// Time within which an answer has its full worth; `None` for the latency objective of the
    /// service.
    pub latency: Option<time::Duration>,
    /// Maximum number of upstreams that one call may be sent to, at least 1; `None` for the node's
    /// setting.
    pub attempts: Option<u8>,
}

/// One part of a split route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Service that serves this part of the calls.
    pub service: ServiceKey,
    /// Relative share of the calls, in proportion to the weights of the other parts.
    pub weight: u32,
}

/// Limits on the requests of callers; `None` leaves a limit to the node's settings.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: Option<usize>,
    /// Largest body of a request, in bytes; it applies besides the limit of the kind.
    pub body: Option<u64>,
    /// Longest time that a head may take to arrive.
    pub arrival: Option<time::Duration>,
    /// Longest time that a connection may stay idle.
    pub idle: Option<time::Duration>,
}

/// A class of upstreams of one service, with limits for each of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Class {
    /// Unique name.
    pub name: SmolStr,
    /// Service that its upstreams serve.
    pub service: ServiceKey,
    /// Maximum number of concurrent calls, even if an upstream announces more.
    pub slots: u16,
    /// Maximum number of connections, even if an upstream announces more.
    pub connections: u16,
    /// Time over which the share of calls of a new upstream grows to its full size.
    pub warmup: time::Duration,
}

/// A route from a request to a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: SmolStr,
    /// `Host` header that it matches, without port and in lower case; `None` matches every host.
    pub host: Option<SmolStr>,
    /// Path prefix that it matches, by complete segments; with a trailing slash it matches only the
    /// paths below it.
    pub path: SmolStr,
    /// Methods that it matches; empty matches every method.
    pub methods: Vec<http::Method>,
    /// Service of `kind`.
    pub service: ServiceKey,
    /// Kind of the calls that it matches.
    pub kind: KindKey,
    /// Longest time a call may take; `None` for that of `kind`.
    pub timeout: Option<time::Duration>,
    /// Time within which an answer has its full worth; `None` for that of `kind`.
    pub latency: Option<time::Duration>,
    /// Maximum number of upstreams that one call may be sent to, at least 1; `None` for that of
    /// `kind`.
    pub attempts: Option<u8>,
    /// Class whose upstreams run its calls; `None` allows every upstream of the service.
    pub class: Option<ClassKey>,
    /// Services that share its calls by weight; empty when `service` serves them all. Invariant:
    /// the weights are not all zero.
    pub split: Vec<Part>,
    /// Whether callers need no API key.
    pub public: bool,
}

/// An order to move a service to another version of its upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rollout {
    /// Name of the service. It is not a key, as an order stays valid over several configurations,
    /// each with keys of its own.
    pub service: SmolStr,
    /// The order.
    pub order: rollout::Order,
}

impl Rollout {
    /// Whether `other` orders the same for the same service.
    pub fn is_like(&self, other: &Self) -> bool {
        self.service == other.service && self.order.has_same_goal(&other.order)
    }
}

/// A complete configuration.
///
/// Only [`check::check`] makes one. Invariants: every key in an item is a valid index into the
/// arena of its type; the arenas are not changed afterwards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mesh {
    /// Number of the file's format.
    pub format: u32,
    /// Whether callers need no API key on any route.
    pub open: bool,
    /// Limits on the requests of callers.
    pub limits: Limits,
    /// Arena of organisations.
    pub organisations: Vec<Organisation>,
    /// Arena of services.
    pub services: Vec<Service>,
    /// Arena of kinds.
    pub kinds: Vec<Kind>,
    /// Arena of classes of upstreams.
    pub classes: Vec<Class>,
    /// Arena of routes.
    pub routes: Vec<Route>,
    /// Roll-out orders, at most one for each service.
    pub rollouts: Vec<Rollout>,
    /// Index of `routes` by host and path.
    index: find::Index,
    /// Index of `organisations` by the digests of their keys.
    keys: collections::HashMap<api_key::Digest, OrganisationKey>,
    /// Index of `organisations` by name.
    names: collections::HashMap<SmolStr, OrganisationKey>,
}

impl Mesh {
    /// The organisation of `key`, a key of this mesh.
    pub fn organisation(&self, key: OrganisationKey) -> &Organisation {
        &self.organisations[usize::from(key.0)]
    }

    /// The organisation to which an API key with this digest belongs.
    pub fn organisation_of_key(&self, digest: api_key::Digest) -> Option<OrganisationKey> {
        self.keys.get(&digest).copied()
    }

    /// The organisation with this name.
    pub fn organisation_named(&self, name: &str) -> Option<OrganisationKey> {
        self.names.get(name).copied()
    }

    /// Whether callers need an API key, except on public routes.
    pub const fn requires_keys(&self) -> bool {
        self.format > check::FORMAT_4 && !self.open
    }

    /// The service of `key`, a key of this mesh.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[usize::from(key.0)]
    }

    /// The kind of `key`, a key of this mesh.
    pub fn kind(&self, key: KindKey) -> &Kind {
        &self.kinds[usize::from(key.0)]
    }

    /// Longest time that a call on the route `key` may take, if it sets one.
    pub fn max_timeout(&self, key: RouteKey) -> Option<time::Duration> {
        let route = self.route(key);
        route.timeout.or(self.kind(route.kind).timeout)
    }

    /// Longest time that a call on the route `key` may take when the caller gives no deadline.
    pub fn timeout(&self, key: RouteKey) -> time::Duration {
        let service = self.service(self.route(key).service);
        self.max_timeout(key).unwrap_or(service.timeout)
    }

    /// Time within which an answer to a call on the route `key` has its full worth, if it sets one.
    pub fn latency(&self, key: RouteKey) -> Option<time::Duration> {
        let route = self.route(key);
        route.latency.or(self.kind(route.kind).latency)
    }

    /// Maximum number of upstreams that a call on the route `key` may be sent to, if it sets one.
    pub fn attempts(&self, key: RouteKey) -> Option<u8> {
        let route = self.route(key);
        route.attempts.or(self.kind(route.kind).attempts)
    }

    /// Largest body of a call of the kind `key`, in bytes.
    pub fn body(&self, key: KindKey) -> u64 {
        self.limits.body.unwrap_or(u64::MAX).min(self.kind(key).body)
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

/// The configuration that a node runs; an update replaces it as a whole.
#[derive(Clone, Debug, Default)]
pub struct Applied {
    /// Id of the version from which `mesh` was built.
    pub version_id: version::VersionId,
    /// The configuration; empty while the version in `version_id` is [`version::Version::NONE`].
    pub mesh: Arc<Mesh>,
}
