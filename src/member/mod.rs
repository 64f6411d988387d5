//! Membership: which hosts belong to the mesh, and in what state each of them is.
//!
//! [`Member`] is a pure state machine; [`shell`] runs it on its thread. Hosts probe each other as
//! in SWIM, gossip each record and claim a bounded number of times, and repair what was lost by
//! comparing digests of ranges of the table. `docs/design/membership.md` gives reasons and figures.

use std::io;
use std::net;
use std::sync::Arc;
use std::time;

use rand::SeedableRng as _;
use rand::rngs;

use crate::clock;
use crate::configs;
use crate::host;
use crate::leave;
use crate::node;
use crate::quarantine;
use crate::version;
use crate::view;

mod detect;
pub mod directory;
mod gossip;
mod join;
mod leaves;
mod probe;
mod quarantine_sync;
mod repair;
pub mod shell;
mod standing;
mod table;
mod updates;
pub mod wire;
mod zones;

#[cfg(test)]
mod tests;

/// Length of the prefix of a configuration's digest that a probe carries.
pub const HASH_BYTES: usize = 4;

/// Time between two removals of expired hosts and quarantine entries.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A peer runs another configuration than this node: a newer, an older or a conflicting one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionMismatch {
    /// The peer.
    pub host: host::HostId,
    /// Version of the configuration that the peer runs.
    pub version: version::Version,
    /// First bytes of the digest of that configuration.
    pub hash: [u8; HASH_BYTES],
}

/// Why the membership duty ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket can't be bound.
    #[error("can't receive membership datagrams on {address}")]
    Bind {
        /// Address of the socket.
        address: net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// This node now runs the configuration with this version id.
    Applied(version::VersionId),
    /// An authenticated datagram arrived.
    Datagram(Box<wire::Datagram>),
    /// The upstream beside this node announced itself or changed; `None` when it is gone.
    Local(Option<Arc<view::Upstream>>),
    /// This node acknowledges a leaving of the upstream beside it.
    Left(leave::Leave),
    /// The process entered another stage.
    Stage(node::Stage),
    /// The directory returned its list of hosts.
    Listed(Vec<directory::Listed>),
    /// The upstream beside this node crashed under calls, or an upstream answered a request.
    Report(quarantine::Report),
    /// The time given by [`Member::wake`] has come.
    Tick,
}

/// An output of the state machine, for the shell to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Notify the distribution duty of a peer that runs another configuration.
    VersionMismatch(VersionMismatch),
    /// Send a datagram.
    Send {
        /// Receiver.
        to: host::HostId,
        /// Content.
        datagram: wire::Datagram,
    },
}

/// The membership state machine of one host.
pub struct Member {
    id: host::HostId,
    locality: Arc<view::Locality>,
    settings: configs::member::Member,
    rng: rngs::Xoshiro256PlusPlus,
    now: clock::Instant,
    /// Version id of the configuration this node runs.
    running: version::VersionId,
    /// The upstream as it announced itself to this node; `None` while there is none.
    local: Option<Arc<view::Upstream>>,
    stage: node::Stage,
    /// Invariant: always contains this host's own entry.
    table: table::Table,
    /// When the table last changed.
    changed: clock::Instant,
    /// All present hosts except this one, in no particular order.
    peers: Vec<host::HostId>,
    updates: updates::Queue,
    burst: gossip::Burst,
    prober: probe::Prober,
    zones: zones::Zones,
    detect: detect::Timers,
    repair: repair::Repair,
    join: join::Join,
    quarantine: quarantine_sync::Quarantine,
    leaves: leaves::Leaves,
    /// Whether the leavings on this host have changed since [`Member::take_own_leaves`].
    own_leaves_changed: bool,
    standing: standing::Standing,
    /// Sequence number of the last ping or ping request.
    sequence: u32,
    /// Whether the view has changed since [`Member::view`] was last called.
    dirty: bool,
    out: Vec<Action>,
}

impl Member {
    /// A host that starts to join the mesh at `now`. `incarnation` must be higher than every
    /// earlier one on the same address; callers pass the wall-clock time of the start.
    pub fn new(settings: &configs::Node, seed: u64, incarnation: u64, now: clock::Instant) -> Self {
        let id = host::HostId::new(settings.listen);
        let locality =
            view::Locality { region: settings.region.clone(), zone: settings.zone.clone() };
        let mut member = Self {
            id,
            locality: Arc::new(locality),
            settings: settings.member.clone(),
            rng: rngs::Xoshiro256PlusPlus::seed_from_u64(seed),
            now,
            running: version::VersionId::default(),
            local: None,
            stage: node::Stage::Run,
            table: table::Table::default(),
            changed: now,
            peers: Vec::new(),
            updates: updates::Queue::default(),
            burst: gossip::Burst::default(),
            prober: probe::Prober::default(),
            zones: zones::Zones::default(),
            detect: detect::Timers::default(),
            repair: repair::Repair::default(),
            join: join::Join::new(id, &settings.join, now),
            quarantine: quarantine_sync::Quarantine::new(id, incarnation),
            leaves: leaves::Leaves::default(),
            own_leaves_changed: false,
            standing: standing::Standing::default(),
            sequence: 0,
            dirty: true,
            out: Vec::new(),
        };
        member.announce((incarnation, 1), updates::Priority::Plain);
        member.start_timers();
        member
    }

    /// Handles `event` at `now` and returns the actions to carry out. After the end of the process
    /// events are ignored.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        self.advance(now);
        if self.stage != node::Stage::End {
            self.apply(event);
            self.run_timers();
        }
        std::mem::take(&mut self.out)
    }

    /// The latest time at which the next [`Event::Tick`] is due.
    pub fn wake(&self) -> clock::Instant {
        let mut wake = self.prober.wake().min(self.detect.wake());
        let others =
            [self.zones.wake(), self.burst.wake(), self.join.wake(), self.join.unconfirmed_at()];
        for other in others {
            wake = other.map_or(wake, |w| w.min(wake));
        }
        wake
    }

    /// Whether [`Member::view`] would return another view than at its last call.
    pub fn has_changed(&self) -> bool {
        self.dirty
    }

    /// All known hosts except those that left, as this host sees them.
    pub fn view(&mut self) -> view::View {
        self.dirty = false;
        let has_left = |e: &table::Entry| e.claim == Some(wire::Claim::Left);
        let known = self.table.iter().filter(|(_, e)| !has_left(e));
        let hosts = known.map(|(id, entry)| self.host(id, entry)).collect();
        view::View { standing: self.standing.get(), ..view::View::new(hosts) }
    }

    /// Whether this host may act as a member of the mesh.
    pub fn standing(&self) -> view::Standing {
        self.standing.get()
    }

    /// The number of hosts that are neither dead nor have left, this one included.
    pub fn present_count(&self) -> usize {
        self.table.present_count()
    }

    fn host(&self, id: host::HostId, entry: &table::Entry) -> view::Host {
        let zone_lost = self.zones.is_unreachable(&entry.record.locality.zone) && id != self.id;
        let health = match entry.claim {
            _ if zone_lost => view::Health::Unreachable,
            None if self.is_unconfirmed(entry) => view::Health::Suspect,
            None => view::Health::Alive,
            Some(wire::Claim::Suspect) => view::Health::Suspect,
            Some(wire::Claim::Dead | wire::Claim::Left) => view::Health::Unreachable,
        };
        view::Host {
            id,
            locality: Arc::clone(&entry.record.locality),
            incarnation: entry.record.incarnation,
            health,
            upstream: entry.record.upstream.clone(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Applied(version_id) => self.running = version_id,
            Event::Datagram(datagram) => self.receive(&datagram),
            Event::Local(upstream) => {
                self.local = upstream;
                self.refresh_record();
            }
            Event::Stage(node::Stage::End) => self.leave(),
            Event::Stage(stage) => {
                self.stage = stage;
                self.refresh_record();
            }
            Event::Left(leave) => self.acknowledge_leave(leave),
            Event::Listed(hosts) => self.merge_listed(hosts),
            Event::Report(report) => self.report(report),
            Event::Tick => {}
        }
    }

    fn run_timers(&mut self) {
        self.run_join();
        self.run_unconfirmed();
        self.run_probes();
        self.run_detection();
        self.run_burst();
    }

    /// Advances the time. A long gap since the last event means that the process was paused: others
    /// may have declared it dead meanwhile, so its standing has to be confirmed.
    fn advance(&mut self, now: clock::Instant) {
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        let probe = time::Duration::from_millis(self.settings.probe_ms);
        if gap > time::Duration::from_millis(self.settings.pause_ms).max(2 * probe) {
            self.compensate_pause(gap);
            self.change_standing(standing::Event::Paused { proof: self.sequence + 1 });
            self.confirm_standing();
        }
    }

    fn change_standing(&mut self, event: standing::Event) {
        if self.standing.handle(event) {
            self.dirty = true;
            log::info!(standing:? = self.standing.get(), cause:? = event; "standing changed");
        }
    }

    /// Incarnation and serial of this host's own record.
    fn record_version(&self) -> (u64, u32) {
        let own = self.table.get(self.id);
        own.map(|e| (e.record.incarnation, e.record.serial)).unwrap_or_default()
    }

    /// The upstream as this host announces it: draining as soon as the process drains.
    fn upstream(&self) -> Option<Arc<view::Upstream>> {
        let local = self.local.as_ref()?;
        if self.stage < node::Stage::Drain || local.phase == view::Phase::Draining {
            return Some(Arc::clone(local));
        }
        Some(Arc::new(view::Upstream {
            phase: view::Phase::Draining,
            ..view::Upstream::clone(local)
        }))
    }

    /// Replaces this host's own record and queues it for gossip.
    fn announce(&mut self, (incarnation, serial): (u64, u32), rank: updates::Priority) {
        let locality = Arc::clone(&self.locality);
        let record = table::Record { incarnation, serial, locality, upstream: self.upstream() };
        if self.table.merge(self.id, record, self.now) == table::Change::Unchanged {
            // There is no incarnation above the highest one.
            return;
        }
        self.changed = self.now;
        self.dirty = true;
        self.queue_update(updates::Topic::Record(self.id), rank, 0);
    }

    /// Announces a new record if the upstream differs from the one in the current record.
    fn refresh_record(&mut self) {
        let old = self.table.get(self.id).and_then(|e| e.record.upstream.clone());
        let new = self.upstream();
        if old != new {
            let (incarnation, serial) = self.record_version();
            self.announce(
                (incarnation, serial + 1),
                gossip::priority(old.as_deref(), new.as_deref()),
            );
        }
    }

    /// Refutes claims and records of `incarnation` by announcing a higher one.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.announce((incarnation.saturating_add(1), 1), updates::Priority::Urgent);
    }

    /// Notifies a few hosts that this one leaves the mesh for good.
    fn leave(&mut self) {
        self.stage = node::Stage::End;
        let (incarnation, _) = self.record_version();
        for to in self.sample(self.fanout() as usize, self.id) {
            let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
            packer.claim(self.id, incarnation, wire::Claim::Left);
            self.out.push(Action::Send { to, datagram: packer.finish() });
        }
    }
}
