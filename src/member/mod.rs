//! Membership: who is there, and in what state.
//!
//! [`Member`] is the pure decision; [`shell`] is its thread. Hosts probe each other in the manner
//! of SWIM, pass records and claims on a bounded number of times, and mend what was lost by
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
use crate::node;
use crate::quarantine;
use crate::version;
use crate::view;

mod detect;
pub mod directory;
mod gossip;
mod join;
mod probe;
mod quarantined;
mod repair;
pub mod shell;
mod standing;
mod table;
mod updates;
pub mod wire;
mod zones;

#[cfg(test)]
mod tests;

/// Bytes of a configuration's digest that a probe carries.
pub const HASH_BYTES: usize = 4;

/// Time between two looks for hosts to forget.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// A peer runs a configuration that differs from ours: newer, older or another.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionMismatch {
    /// The peer.
    pub host: host::HostId,
    /// Version it runs.
    pub version: version::Version,
    /// First bytes of the digest of what it runs.
    pub hash: [u8; HASH_BYTES],
}

/// Why the membership duty ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't receive membership datagrams on {address}")]
    Bind {
        /// Address of the socket.
        address: net::SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// This node runs another configuration.
    Applied(version::VersionId),
    /// A datagram of this mesh arrived.
    Datagram(Box<wire::Datagram>),
    /// The upstream beside this node announced itself, changed or is gone.
    Local(Option<Arc<view::Upstream>>),
    /// The process is in another stage.
    Stage(node::Stage),
    /// Hosts that the directory lists.
    Listed(Vec<directory::Listed>),
    /// What the calls of this node found out about requests.
    Report(quarantine::Report),
    /// Time has passed.
    Tick,
}

/// What a member wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Tell the distribution duty of a peer that runs something else.
    VersionMismatch(VersionMismatch),
    /// Send a datagram.
    Send {
        /// Receiver.
        to: host::HostId,
        /// Content.
        datagram: wire::Datagram,
    },
}

/// The membership decision of one host.
pub struct Member {
    id: host::HostId,
    locality: Arc<view::Locality>,
    settings: configs::member::Member,
    rng: rngs::Xoshiro256PlusPlus,
    now: clock::Instant,
    /// Configuration this node runs.
    running: version::VersionId,
    /// The upstream as it announced itself.
    local: Option<Arc<view::Upstream>>,
    stage: node::Stage,
    /// Invariant: this host's own entry is always in it.
    table: table::Table,
    /// When the table last changed.
    changed: clock::Instant,
    /// Present hosts but this one, in no order.
    peers: Vec<host::HostId>,
    updates: updates::Queue,
    burst: gossip::Burst,
    prober: probe::Prober,
    zones: zones::Zones,
    detect: detect::Timers,
    repair: repair::Repair,
    join: join::Join,
    quarantine: quarantined::Quarantine,
    standing: standing::Standing,
    /// Number of the last ping or question.
    sequence: u32,
    /// Whether the view differs from the last one taken.
    dirty: bool,
    out: Vec<Action>,
}

impl Member {
    /// A host that joins the mesh at `now`, in an incarnation higher than each before it on the
    /// same address, as `unix_millis` is.
    pub fn new(settings: &configs::Node, seed: u64, incarnation: u64, now: clock::Instant) -> Self {
        let id = host::HostId::new(settings.listen);
        let place = view::Locality { region: settings.region.clone(), zone: settings.zone.clone() };
        let mut member = Self {
            id,
            locality: Arc::new(place),
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
            quarantine: quarantined::Quarantine::new(id, incarnation),
            standing: standing::Standing::default(),
            sequence: 0,
            dirty: true,
            out: Vec::new(),
        };
        member.announce((incarnation, 1), updates::Priority::Plain);
        member.start_timers();
        member
    }

    /// Takes an event at `now` and gives what is to be done.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        self.advance(now);
        if self.stage != node::Stage::End {
            self.take(event);
            self.run_timers();
        }
        std::mem::take(&mut self.out)
    }

    /// When the member wants a [`Event::Tick`] at the latest.
    pub fn wake(&self) -> clock::Instant {
        let mut wake = self.prober.wake().min(self.detect.wake());
        let others =
            [self.zones.wake(), self.burst.wake(), self.join.wake(), self.join.unconfirmed_at()];
        for other in others {
            wake = other.map_or(wake, |w| w.min(wake));
        }
        wake
    }

    /// Whether [`Member::view`] would give another view than last time.
    pub fn has_changed(&self) -> bool {
        self.dirty
    }

    /// The hosts as seen from here.
    pub fn view(&mut self) -> view::View {
        self.dirty = false;
        let left = |e: &table::Entry| e.claim == Some(wire::Claim::Left);
        let known = self.table.iter().filter(|(_, e)| !left(e));
        let hosts = known.map(|(id, entry)| self.host(id, entry)).collect();
        view::View { standing: self.standing.get(), ..view::View::new(hosts) }
    }

    /// This host's standing.
    pub fn standing(&self) -> view::Standing {
        self.standing.get()
    }

    /// How many hosts count as present, this one included.
    pub fn present(&self) -> usize {
        self.table.present()
    }

    fn host(&self, id: host::HostId, entry: &table::Entry) -> view::Host {
        let dark = self.zones.is_unreachable(&entry.record.locality.zone) && id != self.id;
        let health = match entry.claim {
            _ if dark => view::Health::Unreachable,
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

    fn take(&mut self, event: Event) {
        match event {
            Event::Applied(stamp) => self.running = stamp,
            Event::Datagram(datagram) => self.receive(&datagram),
            Event::Local(upstream) => {
                self.local = upstream;
                self.update();
            }
            Event::Stage(node::Stage::End) => self.leave(),
            Event::Stage(stage) => {
                self.stage = stage;
                self.update();
            }
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

    /// Moves time on, and finds out when the process did not run for a while.
    fn advance(&mut self, now: clock::Instant) {
        let gap = now.since(self.now);
        self.now = now.max(self.now);
        let probe = time::Duration::from_millis(self.settings.probe_ms);
        if gap > time::Duration::from_millis(self.settings.pause_ms).max(2 * probe) {
            self.forgive(gap);
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
    fn own_version(&self) -> (u64, u32) {
        let own = self.table.get(self.id);
        own.map(|e| (e.record.incarnation, e.record.serial)).unwrap_or_default()
    }

    /// What this host says of its upstream.
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

    /// Replaces this host's own record and spreads it.
    fn announce(&mut self, (incarnation, serial): (u64, u32), rank: updates::Priority) {
        let place = Arc::clone(&self.locality);
        let record =
            table::Record { incarnation, serial, locality: place, upstream: self.upstream() };
        if self.table.merge(self.id, record, self.now) == table::Change::Unchanged {
            // The highest incarnation can't be outlived.
            return;
        }
        self.changed = self.now;
        self.dirty = true;
        self.queue_update(updates::Topic::Record(self.id), rank, 0);
    }

    /// Spreads this host's own record if its upstream is another than it says.
    fn update(&mut self) {
        let old = self.table.get(self.id).and_then(|e| e.record.upstream.clone());
        let new = self.upstream();
        if old != new {
            let (incarnation, serial) = self.own_version();
            self.announce(
                (incarnation, serial + 1),
                gossip::priority(old.as_deref(), new.as_deref()),
            );
        }
    }

    /// Begins a life above `incarnation`, which others hold against this host.
    fn raise_incarnation(&mut self, incarnation: u64) {
        self.announce((incarnation.saturating_add(1), 1), updates::Priority::Urgent);
    }

    /// Tells a few hosts that this one is gone for good.
    fn leave(&mut self) {
        self.stage = node::Stage::End;
        let (incarnation, _) = self.own_version();
        for to in self.sample(self.fanout() as usize, self.id) {
            let mut packer = wire::Packer::new(self.id, wire::Body::Gossip);
            packer.claim(self.id, incarnation, wire::Claim::Left);
            self.out.push(Action::Send { to, datagram: packer.finish() });
        }
    }
}
