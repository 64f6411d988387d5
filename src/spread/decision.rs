//! The logic of the distribution: a state machine without sockets, clock or threads.
//!
//! This file holds the state and dispatches events; `dissemination` decides when a new version
//! runs and where it is pushed, `peer_messages` handles other nodes' messages, and `log_reads`
//! handles reads of the log.

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
use crate::spread::lease;
use crate::spread::message;
use crate::spread::peers;
use crate::spread::pull;
use crate::spread::push;
use crate::spread::read_schedule;
use crate::spread::recovery;
use crate::spread::replica;
use crate::spread::start;
use crate::version;
use crate::view;

/// Identifies one transfer requested from this node.
pub type TransferId = u64;

/// An input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// Another node sent a datagram.
    Datagram {
        /// The sender.
        host: host::HostId,
        /// The content.
        datagram: message::Datagram,
    },
    /// The reply to a transfer that carried an update was sent, or its connection has closed.
    TransferSent,
    /// Another node requested a transfer.
    Fetch {
        /// Identifies the transfer.
        transfer: TransferId,
        /// The request.
        fetch: message::Fetch,
    },
    /// A transfer that this node requested has ended.
    Fetched {
        /// The serving host.
        host: host::HostId,
        /// Its reply; `None` when the transfer failed.
        served: Option<message::FetchReply>,
    },
    /// Membership reported that another host runs a different version.
    VersionReported {
        /// The other host.
        host: host::HostId,
        /// The version that it runs.
        version: version::Version,
    },
    /// A read of the log has ended.
    Read {
        /// The records read; `None` when the read failed.
        batch: Option<logs::Batch>,
        /// Wall-clock time, in milliseconds since the Unix epoch.
        unix_millis: u64,
    },
    /// A deadline may have passed; see [`Spread::next_wake`].
    Tick,
    /// The known hosts have changed.
    View(Arc<view::View>),
}

/// An output of the state machine, for the caller to perform.
#[derive(Debug)]
pub enum Action {
    /// Reply to a transfer that another node requested.
    Reply {
        /// Identifies the transfer.
        transfer: TransferId,
        /// The reply.
        reply: message::FetchReply,
    },
    /// Append a snapshot to the log.
    Append(Bytes),
    /// Request a transfer from `host`.
    Fetch {
        /// The host that is to serve it.
        host: host::HostId,
        /// The version that this node holds.
        have: version::Version,
    },
    /// Read the log.
    Read(read_schedule::Read),
    /// Report whether the newest version that the log has accepted can't be applied.
    ReportUnusable(bool),
    /// Apply this configuration.
    Run(Arc<mesh::Applied>),
    /// Send a datagram.
    Send {
        /// The receiver.
        host: host::HostId,
        /// The content.
        datagram: message::Datagram,
    },
}

/// What the state machine has to know about its own node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// This host.
    pub host: host::HostId,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Whether the settings name hosts to join through.
    pub join: bool,
    /// How long one read of the log waits for a new record.
    pub wait: time::Duration,
    /// Minimum time for which the log keeps a record.
    pub retention: time::Duration,
}

/// The state of the distribution at one node.
///
/// Invariants: `running` never goes back and never exceeds the version that `replica` holds; no
/// version runs below `min_version`.
pub struct Spread {
    pub(super) identity: Identity,
    pub(super) settings: configs::spread::Spread,
    pub(super) rng: rngs::StdRng,
    pub(super) peers: peers::Peers,
    pub(super) replica: replica::Replica,
    pub(super) start: start::Machine,
    pub(super) schedule: read_schedule::ReadSchedule,
    pub(super) reader: reader::Reader<rules::Builtin>,
    /// Epoch of the last read of the log.
    pub(super) epoch: Option<logs::Epoch>,
    pub(super) recovery: recovery::Recovery,
    pub(super) lease: lease::Lease,
    pub(super) snapshots: snapshot::Policy,
    pub(super) push: push::Push,
    pub(super) pull: pull::Pull,
    pub(super) running: version::VersionId,
    /// Highest version that the hosts queried at start have reported.
    pub(super) reported: version::Version,
    /// Highest version that this host is known to have run before its restart.
    pub(super) min_version: version::Version,
    /// Until when a version read from the log waits for a witness, another host that holds it.
    pub(super) witness_deadline: Option<clock::Instant>,
    pub(super) transfers_served: u8,
    pub(super) recently_served: collections::VecDeque<host::HostId>,
    pub(super) started_at: clock::Instant,
    pub(super) actions: Vec<Action>,
}

impl fmt::Debug for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Spread")
            .field("host", &self.identity.host)
            .field("phase", &self.start.phase())
            .field("held", &self.held().version)
            .field("running", &self.running.version)
            .field("reported", &self.reported)
            .field("min_version", &self.min_version)
            .field("witness_deadline", &self.witness_deadline)
            .field("role", &self.role())
            .field("lease", &self.lease)
            .field("schedule", &self.schedule)
            .field("push", &self.push)
            .field("pull", &self.pull)
            .finish_non_exhaustive()
    }
}

impl Spread {
    /// The state of a node that starts at `now`; `seed` determines its random choices.
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
            schedule: read_schedule::ReadSchedule::new(&settings, identity.wait),
            reader: reader::Reader::new(rules::Builtin),
            epoch: None,
            recovery: recovery::Recovery::default(),
            lease: lease::Lease::default(),
            snapshots: snapshot::Policy::new(identity.retention, seed),
            push: push::Push::new(&settings),
            pull: pull::Pull::new(),
            running: version::VersionId::default(),
            reported: version::Version::NONE,
            min_version: version::Version::NONE,
            witness_deadline: None,
            transfers_served: 0,
            recently_served: collections::VecDeque::new(),
            started_at: now,
            actions: Vec::new(),
            identity,
            settings,
            rng,
        }
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: Event, now: clock::Instant) -> Vec<Action> {
        match event {
            Event::Datagram { host, datagram } => self.handle_datagram(host, datagram, now),
            Event::TransferSent => self.transfers_served = self.transfers_served.saturating_sub(1),
            Event::Fetch { transfer, fetch } => self.handle_fetch(transfer, &fetch),
            Event::Fetched { host, served } => self.handle_fetched(host, served, now),
            Event::VersionReported { host, version } => {
                self.handle_version_report(host, version, now)
            }
            Event::Read { batch: Some(batch), unix_millis } => {
                self.handle_read(&batch, unix_millis, now)
            }
            Event::Read { batch: None, .. } => self.handle_failed_read(now),
            Event::Tick => {}
            Event::View(view) => self.peers.update(&view, &self.identity.zone),
        }
        self.advance_start(start::Event::Tick, now);
        self.tick_push(now);
        self.tick_pull(now);
        self.tick_lease(now);
        self.tick_reads(now);
        self.tick_recovery(now);
        self.run_held(now);
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due, if no other event comes before.
    pub fn next_wake(&self, now: clock::Instant) -> Option<clock::Instant> {
        let starting = !self.started();
        let start = starting.then(|| now + START_CHECK_INTERVAL);
        let tail = self.schedule.due(self.role());
        let lease = self.lease_due();
        let (push, pull, recovery) = (self.push.due(), self.pull.due(), self.recovery.due());
        [start, push, pull, recovery, lease, tail, self.witness_deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// The version that this node runs.
    pub const fn running(&self) -> version::VersionId {
        self.running
    }

    /// The newest version that this node holds, even if it does not run it yet.
    pub fn held(&self) -> version::VersionId {
        self.replica.version_id()
    }

    /// Whether the start is complete, so that the node may run the version it holds.
    pub fn started(&self) -> bool {
        self.start.phase() == start::Phase::Started
    }

    /// This node's part in reading the log.
    pub fn role(&self) -> read_schedule::Role {
        let ready = [start::Phase::Confirming, start::Phase::AskingMore, start::Phase::Started];
        // A node that began to read the log before it knew other hosts reads on to the end. If
        // nodes stopped when the directory showed them others, each would wait a second for others
        // that wait too.
        let reading = !self.started() && self.reader.bounds().is_some();
        match self.peers.rank() {
            _ if !ready.contains(&self.start.phase()) => read_schedule::Role::Idle,
            0 if self.peers.other_count() == 0 => read_schedule::Role::Lone,
            _ if reading => read_schedule::Role::Follow,
            0 => read_schedule::Role::Follow,
            rank if rank < usize::from(self.settings.readers) => read_schedule::Role::Standby,
            _ if self.lease.has_expired() => read_schedule::Role::Follow,
            _ => read_schedule::Role::Idle,
        }
    }

    pub(super) fn send(&mut self, host: host::HostId, datagram: message::Datagram) {
        self.actions.push(Action::Send { host, datagram });
    }

    /// Passes `event` to the start and performs the entry action of the phase it leads to.
    pub(super) fn advance_start(&mut self, event: start::Event, now: clock::Instant) {
        let before = self.start.phase();
        if before == start::Phase::Started {
            return;
        }
        let facts = start::Facts {
            now: clock::Instant::ZERO + now.since(self.started_at),
            other_hosts: self.peers.other_count(),
            held: self.held().version,
            reported: self.reported,
            is_reader: self.peers.rank() < usize::from(self.settings.readers),
        };
        let after = self.start.handle(event, facts);
        if after == before {
            return;
        }
        match after {
            start::Phase::Asking | start::Phase::AskingMore => self.query_peers(),
            // A reader needs no such read: it replays the log to its end.
            start::Phase::Confirming if self.role() == read_schedule::Role::Idle => {
                self.schedule.request_confirmation()
            }
            _ => {}
        }
    }

    fn query_peers(&mut self) {
        let max_hosts = self.start.query_count();
        for host in self.peers.query_targets(max_hosts, &mut self.rng) {
            self.send(host, message::Datagram::Query);
        }
    }
}

/// Time between checks of the start's time limits.
const START_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);
