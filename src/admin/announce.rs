//! Announcements of the upstream beside this node.
//!
//! An announcement is valid for the time of a lease; the upstream renews it as a heartbeat. It is
//! checked against the applied configuration. If that lacks the service or class, the announcement
//! is refused but kept, and takes effect as soon as a configuration contains them.

use std::collections;
use std::net;
use std::time;

use serde::{Deserialize, Deserializer, Serialize};
use smol_str::SmolStr;

use crate::clock;
use crate::leave;
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
    /// Finishes its running calls and takes no new ones.
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

/// The description that an upstream sends of itself.
///
/// Unknown fields are ignored, so that newer upstreams can send more than this node reads. Some
/// fields have a second spelling with a hyphen, for a platform that uses the first one for
/// something else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Service it serves.
    pub service: SmolStr,
    /// Class of upstreams it belongs to; if empty, the class with the name of the service.
    #[serde(default)]
    pub class: SmolStr,
    /// Address at which its node calls it.
    pub address: net::SocketAddr,
    /// Availability zone it assumes to be in; only for logs.
    #[serde(default)]
    pub zone: SmolStr,
    /// Version of its software, which a roll-out uses to distinguish upstreams.
    #[serde(default)]
    pub version: SmolStr,
    /// Maximum number of concurrent calls.
    #[serde(alias = "upstream-slots")]
    pub slots: u16,
    /// Maximum number of connections; by default the limit of its class.
    #[serde(default = "unlimited")]
    pub connections: u16,
    /// Phase of its life cycle.
    #[serde(alias = "current-phase")]
    pub phase: Phase,
    /// Remaining time for which it is slow after its start, in milliseconds.
    #[serde(alias = "warmup-ms", default)]
    pub warmup_ms: u64,
    /// Increases with each announcement of an instance, so that a delayed one is recognised; 0 if
    /// the instance does not count.
    #[serde(default)]
    pub sequence: u64,
    /// Start time of this incarnation of the instance, in milliseconds since the Unix epoch; `None`
    /// if not given. Only compared with other incarnations of the instance, never with a clock.
    #[serde(
        default,
        deserialize_with = "required_number",
        skip_serializing_if = "Option::is_none"
    )]
    pub born: Option<u64>,
}

/// Body of a request by which an upstream withdraws its announcement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Withdrawal {
    /// Start time of the incarnation that ends, as in [`Announcement::born`].
    #[serde(default, deserialize_with = "required_number")]
    pub born: Option<u64>,
}

/// Deserialises a field that may be missing but must be a number if present.
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

    /// Size of its names together, as a host's record has them.
    fn name_bytes(&self) -> usize {
        self.service.len() + self.class().len() + self.version.len()
    }

    /// Whether the instance whose announcement was `before` says here that it leaves, and can be
    /// told from its earlier announcements.
    fn drains_from_now(&self, before: Option<&Current>) -> bool {
        let drained = before.is_some_and(|before| before.announcement.phase == Phase::Draining);
        self.phase == Phase::Draining && self.sequence > 0 && !drained
    }

    /// Its phase; an upstream that serves but is still slow counts as warming.
    fn phase(&self) -> view::Phase {
        match self.phase {
            Phase::Serving if self.warmup_ms > 0 => view::Phase::Warming,
            phase => phase.into(),
        }
    }
}

/// Maximum size of the names of an upstream together, in bytes. A host's record with them has to
/// fit into one datagram, or it would hold up all other records.
const MAX_NAME_BYTES: usize = 600;

/// Why an announcement was not applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Its address does not belong to this host.
    #[error("the upstream's address is not one of this host")]
    Address,
    /// It has no slots or no connections.
    #[error("an upstream needs at least one slot and one connection")]
    Empty,
    /// Its names are too long for the messages between nodes.
    #[error(
        "the names of service, class and version have more than {MAX_NAME_BYTES} bytes together"
    )]
    Names,
    /// The configuration does not contain the service. The announcement is kept.
    #[error("the configuration has no such service; kept until one brings it")]
    Service,
    /// The service does not have the class of upstreams. The announcement is kept.
    #[error("the service has no such class of upstreams; kept until one comes")]
    Class,
    /// Its instance has ended, or a later announcement of the same instance was received before.
    #[error("the instance has gone, or has announced itself anew since; nothing changes")]
    Stale,
    /// The configuration lacks its service or class, while the current announcement is usable.
    #[error("the configuration has no such upstream, and another one holds; nothing changes")]
    Foreign,
}

impl Fault {
    /// Whether the announcement is kept because a later configuration may make it usable.
    pub const fn is_pending(self) -> bool {
        matches!(self, Fault::Class | Fault::Service)
    }

    /// Whether the sender has nothing to correct, so that it is answered with success.
    pub const fn needs_no_correction(self) -> bool {
        self.is_pending() || matches!(self, Fault::Foreign | Fault::Stale)
    }
}

/// Maximum number of ended instances that are remembered. Delayed announcements arrive within
/// seconds, and a host replaces its upstream at most a few times per hour.
const MAX_ENDED: usize = 32;

/// The announcement that is in force.
#[derive(Debug)]
struct Current {
    instance: SmolStr,
    announcement: Announcement,
    incarnation: u32,
    expires_at: clock::Instant,
}

/// Start time of an incarnation of an instance. Later incarnations compare greater; one without a
/// start time counts as the first.
type StartTime = Option<u64>;

/// Start time that covers all incarnations of an instance.
const ANY_START: StartTime = Some(u64::MAX);

/// The current announcement, if there is one, and the instances that have ended.
#[derive(Debug)]
pub struct Registry {
    host: net::IpAddr,
    lease: time::Duration,
    /// The current announcement.
    current: Option<Current>,
    /// Instances that leave or have ended, the latest last, one entry for each. Invariant: none
    /// covers the current announcement.
    ended: collections::VecDeque<leave::Leave>,
    /// Those of them that other nodes were not told of yet.
    unreported: collections::VecDeque<leave::Leave>,
    /// The incarnation that has said in an answer that it leaves, and was reported.
    leaving: Option<u32>,
    /// When the first announcement was taken; `None` before.
    first_at: Option<clock::Instant>,
    /// Number of incarnations announced so far.
    incarnations: u32,
    /// Instance and start time of the incarnation announced last.
    last: Option<(SmolStr, StartTime)>,
}

impl Registry {
    /// Creates a registry on the host with address `host`; announcements expire after `lease`.
    pub const fn new(host: net::IpAddr, lease: time::Duration) -> Self {
        Self {
            host,
            lease,
            current: None,
            ended: collections::VecDeque::new(),
            unreported: collections::VecDeque::new(),
            leaving: None,
            first_at: None,
            incarnations: 0,
            last: None,
        }
    }

    /// Whether `peer` may announce an upstream: only this host's own address and loopback may.
    pub fn admits(&self, peer: net::IpAddr) -> bool {
        peer == self.host || peer.is_loopback()
    }

    /// Applies an announcement of `instance` or its renewal.
    ///
    /// # Errors
    ///
    /// Returns why it is not usable under `mesh`; it is kept if [`Fault::is_pending`].
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
        if announcement.name_bytes() > MAX_NAME_BYTES {
            return Err(Fault::Names);
        }
        if self.is_stale(instance, &announcement) {
            return Err(Fault::Stale);
        }
        let found = class(&announcement, mesh).map(|_| ());
        if found.is_err() && self.local(mesh).is_some() {
            return Err(Fault::Foreign);
        }
        let first_at = *self.first_at.get_or_insert(now);
        if announcement.drains_from_now(self.current.as_ref().filter(|c| c.instance == *instance)) {
            self.record(instance, announcement.born, announcement.sequence);
        }
        let expires_at = now + self.lease;
        let incarnation = self.incarnation(instance, announcement.born);
        let new = Current { instance: instance.clone(), announcement, incarnation, expires_at };
        if let Some(old) = self.current.replace(new).filter(|old| old.instance != *instance) {
            self.record_replaced(&old, now.since(first_at) < self.lease);
        }
        found
    }

    /// Withdraws the announcement of the incarnation of `instance` that started at `born`, and
    /// ignores its delayed announcements from now on. Without `born` this applies to the current
    /// incarnation, or to all if none is known.
    pub fn withdraw(&mut self, instance: &SmolStr, born: Option<u64>) {
        let known = self.current.as_ref().filter(|current| current.instance == *instance);
        let known = known.map(|current| current.announcement.born);
        let ended = born.or(known.unwrap_or(ANY_START));
        self.current
            .take_if(|current| current.instance == *instance && current.announcement.born <= ended);
        self.record(instance, ended, leave::Leave::FINAL);
    }

    /// Records that the current incarnation has said in an answer that it leaves, for good.
    pub fn record_leaving(&mut self) {
        let Some(current) = &self.current else { return };
        if self.leaving.replace(current.incarnation) == Some(current.incarnation) {
            return;
        }
        // Its announcements still renew its lease here, so that only other nodes get the record.
        if let Some(instance) = leave::InstanceHash::of(&current.instance) {
            let (born, sequence) = (current.announcement.born, leave::Leave::FINAL);
            self.unreported.push_back(leave::Leave { instance, born, sequence });
        }
    }

    /// Takes over a leaving that an earlier process of this node acknowledged; `false` if it is
    /// known or is that of an upstream which has told this process so itself.
    pub fn learn(&mut self, leave: leave::Leave) -> bool {
        let told_here = self.current.as_ref().is_some_and(|current| {
            self.leaving == Some(current.incarnation) && is_covered(current, &leave)
        });
        if told_here || !self.add(leave) {
            return false;
        }
        self.current.take_if(|current| is_covered(current, &leave));
        true
    }

    /// A leaving that other nodes were not told of yet.
    pub fn take_unreported(&mut self) -> Option<leave::Leave> {
        self.unreported.pop_front()
    }

    /// Returns the number of the incarnation of `instance` that started at `born`.
    fn incarnation(&mut self, instance: &SmolStr, born: StartTime) -> u32 {
        let same = |(name, when): &(SmolStr, StartTime)| name == instance && *when == born;
        if !self.last.as_ref().is_some_and(same) {
            self.incarnations = self.incarnations.wrapping_add(1);
            self.last = Some((instance.clone(), born));
        }
        self.incarnations
    }

    fn is_stale(&self, instance: &SmolStr, new: &Announcement) -> bool {
        let current = self.current.as_ref().filter(|current| current.instance == *instance);
        let outdated = current.is_some_and(|current| {
            let old = &current.announcement;
            (old.born, old.sequence) > (new.born, new.sequence)
        });
        let Some(hash) = leave::InstanceHash::of(instance) else { return outdated };
        outdated || self.ended.iter().any(|leave| leave.covers(hash, new.born, new.sequence))
    }

    /// Records that `old` was replaced by another instance, and so has ended. A process that has
    /// just started can't tell a late announcement of an ended instance from the first one of a
    /// live instance: `fresh` lets the one that was replaced come back by a later announcement.
    fn record_replaced(&mut self, old: &Current, fresh: bool) {
        let sequence = old.announcement.sequence;
        if fresh && sequence > 0 {
            self.record(&old.instance, old.announcement.born, sequence.saturating_add(1));
        } else {
            self.record(&old.instance, ANY_START, leave::Leave::FINAL);
        }
    }

    /// Records that `instance` leaves or has ended, up to its announcement `sequence` of the
    /// incarnation that started at `born`. Does nothing for instances without a name, which can't
    /// be distinguished.
    fn record(&mut self, instance: &SmolStr, born: StartTime, sequence: u64) {
        let Some(instance) = leave::InstanceHash::of(instance) else { return };
        let leave = leave::Leave { instance, born, sequence };
        if self.add(leave) {
            self.unreported.push_back(leave);
        }
    }

    /// Adds `leave` to the instances that have ended; `false` if that is known.
    fn add(&mut self, leave: leave::Leave) -> bool {
        if self.ended.iter().any(|known| known.includes(&leave)) {
            return false;
        }
        self.ended.retain(|known| known.instance != leave.instance);
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(leave);
        true
    }

    /// Drops the announcement if its lease has expired.
    pub fn expire(&mut self, now: clock::Instant) {
        self.current.take_if(|current| current.expires_at <= now);
    }

    /// Returns the announced upstream, with slots and connections limited to those of its class.
    /// `None` if nothing is announced or `mesh` lacks its service or class.
    pub fn local(&self, mesh: &mesh::Mesh) -> Option<node::LocalUpstream> {
        let Current { instance, announcement, incarnation, .. } = self.current.as_ref()?;
        let class = class(announcement, mesh).ok()?;
        let upstream = view::Upstream {
            service: announcement.service.clone(),
            class: announcement.class().clone(),
            phase: announcement.phase(),
            slots: announcement.slots.min(class.slots),
            connections: announcement.connections.min(class.connections),
            incarnation: *incarnation,
            version: announcement.version.clone(),
            trial: rollout::TrialReport::default(),
        };
        Some(node::LocalUpstream {
            address: announcement.address,
            instance: instance.clone(),
            born: announcement.born,
            upstream,
        })
    }
}

/// Whether `leave` covers the current announcement.
fn is_covered(current: &Current, leave: &leave::Leave) -> bool {
    let Announcement { born, sequence, .. } = current.announcement;
    let instance = leave::InstanceHash::of(&current.instance);
    instance.is_some_and(|instance| leave.covers(instance, born, sequence))
}

/// Returns the class of `announcement` in `mesh`.
fn class<'a>(announcement: &Announcement, mesh: &'a mesh::Mesh) -> Result<&'a mesh::Class, Fault> {
    if !mesh.services.iter().any(|s| s.name == announcement.service) {
        return Err(Fault::Service);
    }
    let matches = |c: &&mesh::Class| {
        c.name == *announcement.class() && mesh.service(c.service).name == announcement.service
    };
    mesh.classes.iter().find(matches).ok_or(Fault::Class)
}
