//! Simulation of a fleet in virtual time: nodes' state machines with a network, log and membership
//! in memory.
//!
//! Every applied configuration is checked against the invariants; see [`Net::check`].

use std::cmp;
use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use smol_str::{SmolStr, format_smolstr};

use crate::clock;
use crate::configs;
use crate::host;
use crate::mesh;
use crate::spread::decision::{Action, Event, Identity, Spread, TransferId};
use crate::spread::read_schedule;
use crate::spread::tests::source;
use crate::version;
use crate::view;

mod links;

/// Time between two probes of one node.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time until a crash, a pause or a cut between regions shows in all views.
const DETECTION_TIME: time::Duration = time::Duration::from_secs(3);

/// A scheduled step of the simulation.
#[derive(Debug)]
enum Item {
    Event { node: usize, incarnation: u64, event: Event },
    Probe { node: usize },
    Tick { node: usize },
    EndWait { node: usize, ticket: u64 },
    Views,
}

struct Queued {
    at: clock::Instant,
    order: u64,
    item: Item,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A simulated host with its process.
pub struct Node {
    /// Id of the host.
    pub id: host::HostId,
    /// Region and zone of the host.
    pub locality: Arc<view::Locality>,
    /// State machine of the process; `None` while no process runs.
    pub core: Option<Spread>,
    /// The version that the process runs.
    pub running: version::VersionId,
    /// The highest version that any process of the host has run.
    pub ran: version::Version,
    incarnation: u64,
    queued: Vec<Event>,
    paused: bool,
    tick: clock::Instant,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bytes of datagrams and transfers sent.
    pub bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Transfers served with an update.
    pub transfers: u64,
    /// Transfers refused.
    pub busy: u64,
    /// Highest number of transfers served by one host at once.
    pub max_serving: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Bytes of records read.
    pub read_bytes: u64,
}

/// The simulated fleet.
pub struct Net {
    /// The hosts.
    pub nodes: Vec<Node>,
    /// The log.
    pub source: source::Source,
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Whether the regions can reach each other.
    pub connected: bool,
    /// Nodes that can't reach the log.
    pub without_log: collections::HashSet<usize>,
    /// Counts so far.
    pub counts: Counts,
    /// The current instant.
    pub now: clock::Instant,
    settings: configs::spread::Spread,
    queue: collections::BinaryHeap<Queued>,
    order: u64,
    rng: rngs::StdRng,
    waiting: collections::BTreeMap<usize, (u64, read_schedule::Read)>,
    serving: collections::HashMap<usize, u64>,
    fetches: collections::HashMap<TransferId, usize>,
    transfer: TransferId,
    views: bool,
}

impl Net {
    /// A fleet of `zones` zones with `hosts` hosts each, two zones to a region, that all start at
    /// once.
    pub fn new(zones: u8, hosts: u8, settings: configs::spread::Spread, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            source: source::Source::default(),
            loss: 0.0,
            duplication: 0.0,
            connected: true,
            without_log: collections::HashSet::new(),
            counts: Counts::default(),
            now: clock::Instant::from_millis(1),
            settings,
            queue: collections::BinaryHeap::new(),
            order: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
            waiting: collections::BTreeMap::new(),
            serving: collections::HashMap::new(),
            fetches: collections::HashMap::new(),
            transfer: 0,
            views: true,
        };
        for zone in 0..zones {
            let locality = Arc::new(view::Locality {
                region: format_smolstr!("region-{}", zone / 2),
                zone: format_smolstr!("zone-{zone}"),
            });
            (0..hosts).for_each(|h| net.add_node(net::Ipv4Addr::new(127, 9, zone, h), &locality));
        }
        (0..net.nodes.len()).for_each(|n| net.start(n));
        net.schedule(net.now, Item::Views);
        net
    }

    fn add_node(&mut self, ip: net::Ipv4Addr, locality: &Arc<view::Locality>) {
        self.nodes.push(Node {
            id: host::HostId::new((ip, 7100).into()),
            locality: Arc::clone(locality),
            core: None,
            running: version::VersionId::default(),
            ran: version::Version::NONE,
            incarnation: 0,
            queued: Vec::new(),
            paused: false,
            tick: clock::Instant::ZERO,
        });
    }

    /// Adds a host to the zone of `like` and starts it.
    pub fn add(&mut self, like: usize) -> usize {
        let index = self.nodes.len();
        let locality = Arc::clone(&self.nodes[like].locality);
        self.add_node(net::Ipv4Addr::new(127, 10, 0, index as u8), &locality);
        self.start(index);
        self.schedule(self.now, Item::Views);
        index
    }

    /// Ends the process of `node` without notice.
    pub fn kill(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        host.core = None;
        host.incarnation += 1;
        host.running = version::VersionId::default();
        host.queued.clear();
        host.paused = false;
        self.waiting.remove(&node);
        self.serving.remove(&node);
        self.schedule(self.now + DETECTION_TIME, Item::Views);
    }

    /// Starts a process on `node`, which must have none.
    pub fn start(&mut self, node: usize) {
        let id = self.nodes[node].id;
        let identity = Identity {
            host: id,
            zone: self.nodes[node].locality.zone.clone(),
            join: true,
            wait: time::Duration::from_secs(10),
            retention: time::Duration::from_secs(86_400),
        };
        let seed = self.rng.random();
        let core = Spread::new(identity, self.settings.clone(), seed, self.now);
        self.nodes[node].core = Some(core);
        self.nodes[node].tick = clock::Instant::ZERO;
        let delay = self.rng.random_range(0..1000);
        self.schedule(self.now + time::Duration::from_millis(delay), Item::Probe { node });
        self.schedule(self.now + time::Duration::from_millis(30), Item::Views);
        self.schedule(self.now, Item::Tick { node });
    }

    /// Pauses the process of `node`.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.schedule(self.now + DETECTION_TIME, Item::Views);
    }

    /// Resumes a paused process, which then gets the events of the pause.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let incarnation = self.nodes[node].incarnation;
        for event in std::mem::take(&mut self.nodes[node].queued) {
            self.schedule(self.now, Item::Event { node, incarnation, event });
        }
        self.schedule(self.now, Item::Tick { node });
        self.schedule(self.now, Item::Views);
    }

    /// Appends a configuration based on the current version and returns the new current version.
    pub fn publish(&mut self, file: &[u8]) -> version::Version {
        let base = self.source.current().version;
        self.append_publish(base, file);
        self.source.current().version
    }

    /// Appends a publish and answers the reads that wait for a record.
    pub fn append_publish(&mut self, base: version::Version, file: &[u8]) {
        let millis = self.now.as_micros() / 1000;
        self.source.append_publish(base, file, millis);
        self.wake_readers();
    }

    /// Appends configuration `number` as accepted by the log itself and returns its version.
    pub fn publish_accepted(&mut self, number: u64, file: &[u8]) -> version::Version {
        let millis = self.now.as_micros() / 1000;
        self.source.append_accepted(number, file, millis);
        self.wake_readers();
        self.source.current().version
    }

    /// Advances time until `done` is true and returns the time it took; `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: time::Duration,
        done: impl Fn(&Net) -> bool,
    ) -> Option<time::Duration> {
        let begin = self.now;
        while !done(self) {
            if !self.step(begin + limit) {
                return None;
            }
        }
        Some(self.now.since(begin))
    }

    /// Advances time by `span`.
    pub fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Whether every running node has applied `version`.
    pub fn all_run(&self, version: version::Version) -> bool {
        self.live().all(|n| n.running.version == version)
    }

    /// The state of the running nodes that have not applied `version`, for assertion messages.
    pub fn behind(&self, version: version::Version) -> String {
        let behind = self.live().filter(|n| n.running.version != version);
        behind.filter_map(|n| n.core.as_ref()).map(|c| format!("{c:?}\n")).collect()
    }

    /// The nodes that have a process which is not paused.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.core.is_some() && !n.paused)
    }

    fn schedule(&mut self, at: clock::Instant, item: Item) {
        self.order += 1;
        self.queue.push(Queued { at, order: self.order, item });
    }

    fn step(&mut self, end: clock::Instant) -> bool {
        if self.queue.peek().is_none_or(|q| q.at > end) {
            return false;
        }
        let Some(queued) = self.queue.pop() else { return false };
        self.now = self.now.max(queued.at);
        match queued.item {
            Item::Event { node, incarnation, event }
                if self.nodes[node].incarnation == incarnation =>
            {
                self.deliver(node, event);
            }
            Item::Event { .. } => {}
            Item::Probe { node } => self.probe(node),
            Item::Tick { node } if !self.nodes[node].paused => self.deliver(node, Event::Tick),
            Item::Tick { .. } => {}
            Item::EndWait { node, ticket } => {
                if let Some((_, read)) = self.waiting.get(&node).filter(|w| w.0 == ticket).copied()
                {
                    self.waiting.remove(&node);
                    self.answer_read(node, read);
                }
            }
            Item::Views => self.update_views(),
        }
        true
    }

    fn deliver(&mut self, node: usize, event: Event) {
        if self.nodes[node].paused {
            self.nodes[node].queued.push(event);
            return;
        }
        if matches!(event, Event::TransferSent) {
            self.serving.entry(node).and_modify(|n| *n -= 1);
        }
        let now = self.now;
        let Some(core) = &mut self.nodes[node].core else { return };
        let actions = core.handle(event, now);
        let wake = core.next_wake(now);
        for action in actions {
            self.perform(node, action);
        }
        let tick = self.nodes[node].tick;
        if let Some(wake) = wake {
            assert!(wake > now, "{} would spin", self.nodes[node].id);
            if tick <= now || wake < tick {
                self.nodes[node].tick = wake;
                self.schedule(wake, Item::Tick { node });
            }
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Reply { transfer, reply } => self.answer_fetch(node, transfer, reply),
            Action::Append(body) => self.append_snapshot(body),
            Action::Fetch { host, have } => self.fetch(node, host, have),
            Action::Read(read) => self.read(node, read),
            Action::ReportUnusable(_) => {}
            Action::Run(applied) => self.run(node, &applied),
            Action::Send { host, datagram } => self.send(node, host, &datagram),
        }
    }

    fn run(&mut self, node: usize, applied: &mesh::Applied) {
        let before = self.nodes[node].running.version;
        self.nodes[node].running = applied.version_id;
        self.check(node, before, applied);
        self.nodes[node].ran = self.nodes[node].ran.max(applied.version_id.version);
    }

    /// Checks the invariants when a node applies a configuration: it goes forward, also across
    /// restarts, and is the complete file of an accepted version.
    fn check(&self, node: usize, before: version::Version, applied: &mesh::Applied) {
        let (id, version_id) = (self.nodes[node].id, applied.version_id);
        assert!(
            version_id.version > before,
            "{id} goes from {before} back to {}",
            version_id.version
        );
        let ran = self.nodes[node].ran;
        assert!(
            version_id.version >= ran,
            "{id} has run {ran} and now runs {}",
            version_id.version
        );
        let accepted = self.source.accepted(version_id.version);
        let file = accepted.expect("only accepted versions run");
        assert_eq!(version::Digest::of(file), version_id.digest, "{id} runs another file");
        let expected = mesh::check::check(file).expect("accepted files are valid");
        assert_eq!(*applied.mesh, expected, "{id} runs a part of {}", version_id.version);
    }

    /// Simulates a membership probe, in which both nodes learn the version that the other runs.
    fn probe(&mut self, node: usize) {
        self.schedule(self.now + PROBE_INTERVAL, Item::Probe { node });
        let other = self.rng.random_range(0..self.nodes.len());
        let lost = self.rng.random_bool(self.loss);
        let alive = |n: &Node| n.core.is_some() && !n.paused;
        if lost || other == node || !self.reaches(node, other) {
            return;
        }
        if !alive(&self.nodes[node]) || !alive(&self.nodes[other]) {
            return;
        }
        for (to, of) in [(node, other), (other, node)] {
            let version = self.nodes[of].running.version;
            if version == self.nodes[to].running.version {
                continue;
            }
            let event = Event::VersionReported { host: self.nodes[of].id, version };
            let (at, incarnation) = (self.delay(), self.nodes[to].incarnation);
            self.schedule(at, Item::Event { node: to, incarnation, event });
        }
    }

    /// Gives every node a view of the hosts it reaches; see [`DETECTION_TIME`].
    fn update_views(&mut self) {
        if !self.views {
            return;
        }
        for node in 0..self.nodes.len() {
            let hosts = (0..self.nodes.len()).map(|other| self.host_seen(node, other)).collect();
            let view = Arc::new(view::View::new(hosts));
            self.deliver(node, Event::View(view));
        }
    }

    fn host_seen(&self, by: usize, other: usize) -> view::Host {
        let host = &self.nodes[other];
        let up = host.core.is_some() && !host.paused && self.reaches(by, other);
        view::Host {
            id: host.id,
            locality: Arc::clone(&host.locality),
            incarnation: host.incarnation,
            health: if up { view::Health::Alive } else { view::Health::Unreachable },
            upstream: None,
        }
    }

    /// Cuts or restores the network between regions; views show it after [`DETECTION_TIME`].
    pub fn set_connected(&mut self, connected: bool) {
        self.connected = connected;
        self.schedule(self.now + DETECTION_TIME, Item::Views);
    }

    /// The availability zone of `node`.
    pub fn zone(&self, node: usize) -> SmolStr {
        self.nodes[node].locality.zone.clone()
    }
}
