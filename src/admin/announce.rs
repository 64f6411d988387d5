//! Announcements of the upstream beside this node.
//!
//! An announcement holds for a lease and is renewed as a heartbeat. It is checked against the
//! configuration that is applied; one that names a service or class the configuration lacks is
//! refused but kept, so that it holds as soon as a configuration brings them.

use std::collections;
use std::net;
use std::time;

use serde::{Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;

use crate::clock;
use crate::mesh;
use crate::node;
use crate::rollout;
use crate::view;

/// Life cycle of an upstream, as announced.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Started a moment ago.
    Warming,
    /// Serves.
    #[serde(alias = "in-service")]
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
///
/// Fields that are not named here are ignored: upstreams may say more than a node knows of. Some
/// names have a second spelling, with a hyphen, for a platform that uses the first for something
/// else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Service it serves.
    pub service: SmolStr,
    /// Class of upstreams it belongs to; without it the class named like the service.
    #[serde(default)]
    pub class: SmolStr,
    /// Where its node calls it.
    pub address: net::SocketAddr,
    /// Availability zone it believes to be in; for the logs alone.
    #[serde(default)]
    pub zone: SmolStr,
    /// Version of its software, by which a roll-out tells it from others.
    #[serde(default)]
    pub version: SmolStr,
    /// Calls it runs at once.
    #[serde(alias = "upstream-slots")]
    pub slots: u16,
    /// Connections it accepts; without it as many as its class allows.
    #[serde(default = "unlimited")]
    pub connections: u16,
    /// How far it is in its life.
    #[serde(alias = "current-phase")]
    pub phase: Phase,
    /// For how much longer it is slow after its start, in milliseconds.
    #[serde(alias = "warmup-ms", default)]
    pub warmup_ms: u64,
    /// Grows with each announcement of one instance, so that one that comes late is known; 0 where
    /// the instance does not count.
    #[serde(default)]
    pub sequence: u64,
    /// When this life of the instance began, in milliseconds since the Unix epoch; `None` where it
    /// doesn't say. Compared with other lives of the instance alone, never with a clock.
    #[serde(
        default,
        deserialize_with = "required_number",
        skip_serializing_if = "Option::is_none"
    )]
    pub born: Option<u64>,
}

/// What an upstream says when it withdraws.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Withdrawal {
    /// The life that ends, as in [`Announcement::born`].
    #[serde(default, deserialize_with = "required_number")]
    pub born: Option<u64>,
}

/// A number that has to be one where it is given.
fn required_number<'de, D: Deserializer<'de>>(number: D) -> Result<Option<u64>, D::Error> {
    u64::deserialize(number).map(Some)
}

const fn unlimited() -> u16 {
    u16::MAX
}

impl Announcement {
    fn class(&self) -> &SmolStr {
        if self.class.is_empty() { &self.service } else { &self.class }
    }

    /// Its phase, taking one that is still slow for warming.
    fn phase(&self) -> view::Phase {
        match self.phase {
            Phase::Serving if self.warmup_ms > 0 => view::Phase::Warming,
            phase => phase.into(),
        }
    }
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
    /// It comes from an instance that has gone, or before a later one of the same instance.
    #[error("the instance has gone, or has announced itself anew since; nothing changes")]
    Stale,
    /// It names no upstream that could be used, while another announcement holds that does.
    #[error("the configuration has no such upstream, and another one holds; nothing changes")]
    Foreign,
}

impl Fault {
    /// Whether the announcement may hold under a later configuration.
    pub const fn pending(self) -> bool {
        matches!(self, Fault::Class | Fault::Service)
    }

    /// Whether the instance has nothing to mend: saying the same again would change nothing.
    pub const fn needs_no_correction(self) -> bool {
        self.pending() || matches!(self, Fault::Foreign | Fault::Stale)
    }
}

/// Instances that have gone and are remembered. A backend's late announcements come within seconds,
/// and a host replaces its upstream a few times an hour at most.
const MAX_ENDED: usize = 32;

/// An announcement that holds.
#[derive(Debug)]
struct Current {
    instance: SmolStr,
    announcement: Announcement,
    incarnation: u32,
    until: clock::Instant,
}

/// A life of an instance. Later lives compare greater; one that doesn't say when it began is taken
/// for the first.
type StartTime = Option<u64>;

/// Stands for every life of an instance, whenever it began.
const ANY_START: StartTime = Some(u64::MAX);

/// An instance that has gone.
#[derive(Debug)]
struct Ended {
    instance: SmolStr,
    /// The last of its lives that is known to have ended.
    born: StartTime,
}

/// The announcement that holds, if one does.
#[derive(Debug)]
pub struct Registry {
    host: net::IpAddr,
    lease: time::Duration,
    /// The last announcement.
    current: Option<Current>,
    /// Instances that have gone, the latest last. Invariant: `held` is a later life than any of
    /// them.
    ended: collections::VecDeque<Ended>,
    /// Lives announced so far.
    incarnations: u32,
    /// The last life announced.
    last: Option<(SmolStr, StartTime)>,
}

impl Registry {
    /// A desk on the host with address `host`; announcements hold for `lease`.
    pub const fn new(host: net::IpAddr, lease: time::Duration) -> Self {
        Self {
            host,
            lease,
            current: None,
            ended: collections::VecDeque::new(),
            incarnations: 0,
            last: None,
        }
    }

    /// Whether `peer` may announce: this host's own address or loopback.
    pub fn admits(&self, peer: net::IpAddr) -> bool {
        peer == self.host || peer.is_loopback()
    }

    /// Takes an announcement of `instance` or its renewal.
    ///
    /// # Errors
    ///
    /// Names what is wrong with it under `mesh`; it is kept when [`Fault::pending`].
    pub fn announce(
        &mut self,
        instance: &SmolStr,
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
        if self.is_stale(instance, &announcement) {
            return Err(Fault::Stale);
        }
        let found = class(&announcement, mesh).map(|_| ());
        if found.is_err() && self.local(mesh).is_some() {
            return Err(Fault::Foreign);
        }
        let until = now + self.lease;
        let life = self.life(instance, announcement.born);
        let held = Current { instance: instance.clone(), announcement, incarnation: life, until };
        if let Some(old) = self.current.replace(held).filter(|old| old.instance != *instance) {
            self.record_end(old.instance, ANY_START);
        }
        found
    }

    /// Takes back what the life of `instance` that `born` names has announced, and every later
    /// announcement that it sent before; without `born`, the life that is known.
    pub fn withdraw(&mut self, instance: &SmolStr, born: Option<u64>) {
        let known = self.current.as_ref().filter(|held| held.instance == *instance);
        let known = known.map(|held| held.announcement.born);
        let ended = born.or(known.unwrap_or(ANY_START));
        self.current.take_if(|held| held.instance == *instance && held.announcement.born <= ended);
        self.record_end(instance.clone(), ended);
    }

    /// The number of the life of `instance` that began at `born`.
    fn life(&mut self, instance: &SmolStr, born: StartTime) -> u32 {
        let same = |(name, when): &(SmolStr, StartTime)| name == instance && *when == born;
        if !self.last.as_ref().is_some_and(same) {
            self.incarnations = self.incarnations.wrapping_add(1);
            self.last = Some((instance.clone(), born));
        }
        self.incarnations
    }

    fn is_stale(&self, instance: &SmolStr, new: &Announcement) -> bool {
        let held = self.current.as_ref().filter(|held| held.instance == *instance);
        let later = held.is_some_and(|held| {
            let old = &held.announcement;
            (old.born, old.sequence) > (new.born, new.sequence)
        });
        later || self.ended.iter().any(|gone| gone.instance == *instance && gone.born >= new.born)
    }

    /// Remembers that the lives of `instance` up to `born` have ended. Upstreams without a name can't
    /// be told apart.
    fn record_end(&mut self, instance: SmolStr, born: StartTime) {
        if instance.is_empty() {
            return;
        }
        if let Some(gone) = self.ended.iter_mut().find(|gone| gone.instance == instance) {
            gone.born = gone.born.max(born);
            return;
        }
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { instance, born });
    }

    /// Drops the announcement when its lease has ended.
    pub fn expire(&mut self, now: clock::Instant) {
        self.current.take_if(|held| held.until <= now);
    }

    /// The upstream as `mesh` allows it: within the limits of its class, and only if the mesh has
    /// its service and class.
    pub fn local(&self, mesh: &mesh::Mesh) -> Option<node::LocalUpstream> {
        let Current { instance, announcement, incarnation: life, .. } = self.current.as_ref()?;
        let class = class(announcement, mesh).ok()?;
        let upstream = view::Upstream {
            service: announcement.service.clone(),
            class: announcement.class().clone(),
            phase: announcement.phase(),
            slots: announcement.slots.min(class.slots),
            connections: announcement.connections.min(class.connections),
            incarnation: *life,
            version: announcement.version.clone(),
            trial: rollout::TrialReport::default(),
        };
        Some(node::LocalUpstream {
            address: announcement.address,
            instance: instance.clone(),
            upstream,
        })
    }
}

/// The class that `announcement` names.
fn class<'a>(announcement: &Announcement, mesh: &'a mesh::Mesh) -> Result<&'a mesh::Class, Fault> {
    if !mesh.services.iter().any(|s| s.name == announcement.service) {
        return Err(Fault::Service);
    }
    let matches = |c: &&mesh::Class| {
        c.name == *announcement.class() && mesh.service(c.service).name == announcement.service
    };
    mesh.classes.iter().find(matches).ok_or(Fault::Class)
}
