//! The decisions of the distribution: a state machine without sockets, clock or threads.
//!
//! This file holds the state and takes events apart; `learn` decides what follows
//! from a version newly held, `answer` what follows from other nodes' messages.

use std::collections;
use std::fmt;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs;
use smol_str::SmolStr;

use crate::clock;
use crate::configs;
use crate::fold::{reader, rules, snapshot};
use crate::host;
use crate::logs;
use crate::mesh;
use crate::spread::message;
use crate::spread::peers;
use crate::spread::pull;
use crate::spread::push;
use crate::spread::recovery;
use crate::spread::replica;
use crate::spread::start;
use crate::spread::tail;
use crate::version;
use crate::view;

/// Name of one transfer asked of this node.
pub type Transfer = u64;

/// What happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Another node sent a datagram.
    Datagram {
        /// Its sender.
        host: host::HostId,
        /// What it says.
        datagram: message::Datagram,
    },
    /// A parcel answered to a transfer was sent, or its asker has gone.
    Ended,
    /// Another node asks for a transfer.
    Fetch {
        /// Name of the transfer.
        transfer: Transfer,
        /// The request.
        fetch: message::Fetch,
    },
    /// A transfer that this node asked for has ended; `None` when it failed.
    Fetched {
        /// The serving host.
        host: host::HostId,
        /// Its answer.
        served: Option<message::Served>,
    },
    /// Membership heard what another host runs.
    Heard {
        /// The other host.
        host: host::HostId,
        /// What it runs.
        version: version::Version,
    },
    /// A read of the log has ended; `None` when it failed.
    Read {
        /// What it gave.
        batch: Option<logs::Batch>,
        /// Wall-clock time, in milliseconds since the Unix epoch.
        unix_millis: u64,
    },
    /// Time has passed.
    Tick,
    /// The known hosts have changed.
    View(Arc<view::View>),
}

/// What a node does.
#[derive(Debug)]
pub enum Action {
    /// Answer a transfer asked of this node.
    Answer {
        /// Name of the transfer.
        transfer: Transfer,
        /// The answer.
        served: message::Served,
    },
    /// Append a snapshot to the log.
    Append(Bytes),
    /// Ask `host` for a transfer.
    Fetch {
        /// The serving host.
        host: host::HostId,
        /// What this node holds.
        have: version::Version,
    },
    /// Read the log.
    Read(tail::Read),
    /// Run this configuration from now on.
    Run(Arc<mesh::Applied>),
    /// Send a datagram.
    Send {
        /// To whom.
        host: host::HostId,
        /// What it says.
        datagram: message::Datagram,
    },
}

/// Who a node is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This host.
    pub host: host::HostId,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether hosts are configured to join through.
    pub join: bool,
    /// Longest wait of one read of the log for a record.
    pub wait: time::Duration,
    /// How long the log keeps a record at least.
    pub retention: time::Duration,
}

/// The distribution as one node decides it.
///
/// Invariants: `running` never goes back and never exceeds what `replica` holds; nothing runs
/// below `floor`, the highest version this host is known to have run in an earlier life.
pub struct Spread {
    pub(super) identity: Identity,
    pub(super) settings: configs::spread::Spread,
    pub(super) rng: rngs::StdRng,
    pub(super) peers: peers::Peers,
    pub(super) replica: replica::Replica,
    pub(super) start: start::Machine,
    pub(super) tail: tail::Tail,
    pub(super) reader: reader::Reader<rules::Builtin>,
    /// Epoch of the last read of the log.
    pub(super) epoch: Option<logs::Epoch>,
    pub(super) recovery: recovery::Recovery,
    pub(super) snapshots: snapshot::Policy,
    pub(super) push: push::Push,
    pub(super) pull: pull::Pull,
    pub(super) running: version::VersionId,
    pub(super) told: version::Version,
    pub(super) floor: version::Version,
    pub(super) witness: Option<clock::Instant>,
    pub(super) serving: u8,
    pub(super) served: collections::VecDeque<host::HostId>,
    pub(super) origin: clock::Instant,
    pub(super) actions: Vec<Action>,
}

impl fmt::Debug for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Spread")
            .field("host", &self.identity.host)
            .field("phase", &self.start.phase())
            .field("held", &self.held().version)
            .field("running", &self.running.version)
            .field("told", &self.told)
            .field("floor", &self.floor)
            .field("witness", &self.witness)
            .field("role", &self.role())
            .field("tail", &self.tail)
            .field("push", &self.push)
            .field("pull", &self.pull)
            .finish_non_exhaustive()
    }
}

impl Spread {
    /// A node that starts at `now`; `seed` fixes its random choices.
    pub fn new(
        identity: Identity,
        settings: configs::spread::Spread,
        seed: u64,
        now: clock::Instant,
    ) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let share = rand::RngExt::random_range(&mut rng, 0.0..1.0);
        let limits = start::Limits::new(&settings, identity.join, share);
        Self {
            peers: peers::Peers::new(identity.host),
            replica: replica::Replica::new(settings.keep),
            start: start::Machine::new(limits),
            tail: tail::Tail::new(&settings, identity.wait),
            reader: reader::Reader::new(rules::Builtin),
            epoch: None,
            recovery: recovery::Recovery::default(),
            snapshots: snapshot::Policy::new(identity.retention, seed),
            push: push::Push::new(&settings),
            pull: pull::Pull::new(),
            running: version::VersionId::default(),
            told: version::Version::NONE,
            floor: version::Version::NONE,
            witness: None,
            serving: 0,
            served: collections::VecDeque::new(),
            origin: now,
            actions: Vec::new(),
            identity,
            settings,
            rng,
        }
    }

    /// Takes an event and gives what to do, in order.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        match event {
            Event::Datagram { host, datagram } => self.datagram(host, datagram, now),
            Event::Ended => self.serving = self.serving.saturating_sub(1),
            Event::Fetch { transfer, fetch } => self.serve(transfer, &fetch),
            Event::Fetched { host, served } => self.fetched(host, served, now),
            Event::Heard { host, version } => self.heard(host, version, now),
            Event::Read { batch: Some(batch), unix_millis } => self.read(&batch, unix_millis, now),
            Event::Read { batch: None, .. } => self.unread(now),
            Event::Tick => {}
            Event::View(view) => self.peers.update(&view, &self.identity.zone),
        }
        self.settle(start::Event::Tick, now);
        self.tick_push(now);
        self.tick_pull(now);
        self.tick_tail(now);
        self.tick_recovery(now);
        self.advance(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due at the latest, if nothing else happens before.
    pub fn wake(&self, now: clock::Instant) -> Option<clock::Instant> {
        let starting = !self.settled();
        let start = starting.then(|| now + START_TICK);
        let tail = self.tail.due(self.role());
        [start, self.push.due(), self.pull.due(), self.recovery.due(), tail, self.witness]
            .into_iter()
            .flatten()
            .min()
    }

    /// What this node runs.
    pub const fn running(&self) -> version::VersionId {
        self.running
    }

    /// What this node holds; it may wait to run it.
    pub fn held(&self) -> version::VersionId {
        self.replica.version_id()
    }

    /// Whether the node has started: it knows what it may run.
    pub fn settled(&self) -> bool {
        self.start.phase() == start::Phase::Settled
    }

    /// What this node does about the log.
    pub fn role(&self) -> tail::Role {
        let ready = [start::Phase::Confirming, start::Phase::Widening, start::Phase::Settled];
        // What a node began to read before it knew of others it reads to its end: found in the middle
        // of it by the directory, nodes waited a second for others that waited as well.
        let began = !self.settled() && self.reader.bounds().is_some();
        match self.peers.rank() {
            _ if !ready.contains(&self.start.phase()) => tail::Role::Idle,
            _ if began => tail::Role::Follow,
            0 => tail::Role::Follow,
            rank if rank < usize::from(self.settings.readers) => tail::Role::Standby,
            _ => tail::Role::Idle,
        }
    }

    pub(super) fn send(&mut self, host: host::HostId, datagram: message::Datagram) {
        self.actions.push(Action::Send { host, datagram });
    }

    /// Lets the start go on, and does what its new phase asks for.
    pub(super) fn settle(&mut self, event: start::Event, now: clock::Instant) {
        let before = self.start.phase();
        if before == start::Phase::Settled {
            return;
        }
        let facts = start::Facts {
            now: clock::Instant::ZERO + now.since(self.origin),
            others: self.peers.others(),
            held: self.held().version,
            told: self.told,
            reader: self.peers.rank() < usize::from(self.settings.readers),
        };
        let after = self.start.handle(event, facts);
        if after == before {
            return;
        }
        match after {
            start::Phase::Asking | start::Phase::Widening => self.ask(),
            // A reader learns the same by judging the log to its end.
            start::Phase::Confirming if self.role() == tail::Role::Idle => self.tail.confirm(),
            _ => {}
        }
    }

    fn ask(&mut self) {
        let most = self.start.asked();
        for host in self.peers.ask(most, &mut self.rng) {
            self.send(host, message::Datagram::Ask);
        }
    }
}

/// Time between two looks at the start's limits.
const START_TICK: time::Duration = time::Duration::from_millis(10);
