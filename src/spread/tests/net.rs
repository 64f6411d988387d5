//! A small network, log and membership in memory and in virtual time, for the decisions' tests.
//!
//! Every step checks what must always hold; see [`Net::check`].

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
use crate::spread::decision::{Action, Event, Identity, Spread, Transfer};
use crate::spread::tail;
use crate::spread::tests::source;
use crate::version;
use crate::view;

mod links;

/// Time between two probes of one node.
const PROBE: time::Duration = time::Duration::from_secs(1);
/// Time until the death of a host is known to all.
const DETECT: time::Duration = time::Duration::from_secs(3);

/// Something that happens at its time.
#[derive(Debug)]
enum Item {
    Event { node: usize, life: u64, event: Event },
    Probe { node: usize },
    Tick { node: usize },
    Unwait { node: usize, ticket: u64 },
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

/// One host.
pub struct Node {
    /// Its identity.
    pub id: host::HostId,
    /// Where it stands.
    pub locality: Arc<view::Locality>,
    /// Its decisions, while its process lives.
    pub core: Option<Spread>,
    /// What it runs.
    pub running: version::VersionId,
    /// The highest version any of its lives has run.
    pub ran: version::Version,
    life: u64,
    paused: Vec<Event>,
    asleep: bool,
    tick: clock::Instant,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Bytes of datagrams and transfers sent.
    pub bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Transfers of a whole parcel begun.
    pub transfers: u64,
    /// Transfers refused.
    pub busy: u64,
    /// Most transfers served by one host at once.
    pub most: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Bytes of records read.
    pub read_bytes: u64,
}

/// The whole of it.
pub struct Net {
    /// The hosts.
    pub nodes: Vec<Node>,
    /// The log.
    pub source: source::Source,
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Share of datagrams doubled, from 0 to 1.
    pub double: f64,
    /// Whether regions reach each other.
    pub joined: bool,
    /// Nodes that don't reach the log.
    pub without_log: collections::HashSet<usize>,
    /// Counts so far.
    pub counts: Counts,
    /// The current instant.
    pub now: clock::Instant,
    settings: configs::spread::Spread,
    queue: collections::BinaryHeap<Queued>,
    order: u64,
    rng: rngs::StdRng,
    waits: collections::BTreeMap<usize, (u64, tail::Read)>,
    serving: collections::HashMap<usize, u64>,
    fetches: collections::HashMap<Transfer, usize>,
    transfer: Transfer,
    views: bool,
}

impl Net {
    /// `zones` zones of `hosts` hosts each, two zones a region, all starting at once.
    pub fn new(zones: u8, hosts: u8, settings: configs::spread::Spread, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            source: source::Source::default(),
            loss: 0.0,
            double: 0.0,
            joined: true,
            without_log: collections::HashSet::new(),
            counts: Counts::default(),
            now: clock::Instant::from_millis(1),
            settings,
            queue: collections::BinaryHeap::new(),
            order: 0,
            rng: rngs::StdRng::seed_from_u64(seed),
            waits: collections::BTreeMap::new(),
            serving: collections::HashMap::new(),
            fetches: collections::HashMap::new(),
            transfer: 0,
            views: true,
        };
        for zone in 0..zones {
            let place = Arc::new(view::Locality {
                region: format_smolstr!("region-{}", zone / 2),
                zone: format_smolstr!("zone-{zone}"),
            });
            (0..hosts).for_each(|h| net.place(net::Ipv4Addr::new(127, 9, zone, h), &place));
        }
        (0..net.nodes.len()).for_each(|n| net.start(n));
        net.put(net.now, Item::Views);
        net
    }

    fn place(&mut self, ip: net::Ipv4Addr, place: &Arc<view::Locality>) {
        self.nodes.push(Node {
            id: host::HostId::new((ip, 7100).into()),
            locality: Arc::clone(place),
            core: None,
            running: version::VersionId::default(),
            ran: version::Version::NONE,
            life: 0,
            paused: Vec::new(),
            asleep: false,
            tick: clock::Instant::ZERO,
        });
    }

    /// Adds a host to the zone of `like` and starts it.
    pub fn add(&mut self, like: usize) -> usize {
        let index = self.nodes.len();
        let place = Arc::clone(&self.nodes[like].locality);
        self.place(net::Ipv4Addr::new(127, 10, 0, index as u8), &place);
        self.start(index);
        self.put(self.now, Item::Views);
        index
    }

    /// Kills the process of `node`.
    pub fn kill(&mut self, node: usize) {
        let host = &mut self.nodes[node];
        host.core = None;
        host.life += 1;
        host.running = version::VersionId::default();
        host.paused.clear();
        host.asleep = false;
        self.waits.remove(&node);
        self.serving.remove(&node);
        self.put(self.now + DETECT, Item::Views);
    }

    /// Starts a process on the host of `node`, which has none.
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
        let later = self.rng.random_range(0..1000);
        self.put(self.now + time::Duration::from_millis(later), Item::Probe { node });
        self.put(self.now + time::Duration::from_millis(30), Item::Views);
        self.put(self.now, Item::Tick { node });
    }

    /// Stops the process of `node` without ending it.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].asleep = true;
        self.put(self.now + DETECT, Item::Views);
    }

    /// Lets a stopped process go on; it then finds all that came meanwhile.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].asleep = false;
        let life = self.nodes[node].life;
        for event in std::mem::take(&mut self.nodes[node].paused) {
            self.put(self.now, Item::Event { node, life, event });
        }
        self.put(self.now, Item::Tick { node });
        self.put(self.now, Item::Views);
    }

    /// Appends a configuration with the right base; gives the version it is accepted as.
    pub fn publish(&mut self, file: &[u8]) -> version::Version {
        let base = self.source.current().version;
        self.append(base, file);
        self.source.current().version
    }

    /// Appends a record and wakes who waits for it.
    pub fn append(&mut self, base: version::Version, file: &[u8]) {
        let millis = self.now.as_micros() / 1000;
        self.source.append(base, file, millis);
        self.wake_waits();
    }

    /// Appends the operator's configuration `number`; gives its version.
    pub fn settle(&mut self, number: u64, file: &[u8]) -> version::Version {
        let millis = self.now.as_micros() / 1000;
        self.source.settle(number, file, millis);
        self.wake_waits();
        self.source.current().version
    }

    /// Lets time pass until `done` holds; gives the time it took, `None` beyond `limit`.
    pub fn until(
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

    /// Lets `span` pass.
    pub fn pass(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Whether every live node runs `version`.
    pub fn all_run(&self, version: version::Version) -> bool {
        self.live().all(|n| n.running.version == version)
    }

    /// The live nodes that don't run `version`, for messages of failed tests.
    pub fn behind(&self, version: version::Version) -> String {
        let behind = self.live().filter(|n| n.running.version != version);
        behind.filter_map(|n| n.core.as_ref()).map(|c| format!("{c:?}\n")).collect()
    }

    /// The nodes whose processes live and are not stopped.
    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|n| n.core.is_some() && !n.asleep)
    }

    fn put(&mut self, at: clock::Instant, item: Item) {
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
            Item::Event { node, life, event } if self.nodes[node].life == life => {
                self.feed(node, event);
            }
            Item::Event { .. } => {}
            Item::Probe { node } => self.probe(node),
            Item::Tick { node } if !self.nodes[node].asleep => self.feed(node, Event::Tick),
            Item::Tick { .. } => {}
            Item::Unwait { node, ticket } => {
                if let Some((_, read)) = self.waits.get(&node).filter(|w| w.0 == ticket).copied() {
                    self.waits.remove(&node);
                    self.answer_read(node, read);
                }
            }
            Item::Views => self.show(),
        }
        true
    }

    fn feed(&mut self, node: usize, event: Event) {
        if self.nodes[node].asleep {
            self.nodes[node].paused.push(event);
            return;
        }
        if matches!(event, Event::Ended) {
            self.serving.entry(node).and_modify(|n| *n -= 1);
        }
        let now = self.now;
        let Some(core) = &mut self.nodes[node].core else { return };
        let actions = core.handle(event, now);
        let wake = core.wake(now);
        for action in actions {
            self.perform(node, action);
        }
        let tick = self.nodes[node].tick;
        if let Some(wake) = wake {
            assert!(wake > now, "{} would spin", self.nodes[node].id);
            if tick <= now || wake < tick {
                self.nodes[node].tick = wake;
                self.put(wake, Item::Tick { node });
            }
        }
    }

    fn perform(&mut self, node: usize, action: Action) {
        match action {
            Action::Answer { transfer, served } => self.answer_fetch(node, transfer, served),
            Action::Append(body) => self.snapshot(body),
            Action::Fetch { host, have } => self.fetch(node, host, have),
            Action::Read(read) => self.read(node, read),
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

    /// What must always hold when a node swaps its configuration.
    fn check(&self, node: usize, before: version::Version, applied: &mesh::Applied) {
        let (id, stamp) = (self.nodes[node].id, applied.version_id);
        assert!(stamp.version > before, "{id} goes from {before} back to {}", stamp.version);
        let ran = self.nodes[node].ran;
        assert!(stamp.version >= ran, "{id} has run {ran} and now runs {}", stamp.version);
        let accepted = self.source.accepted(stamp.version);
        let file = accepted.expect("only accepted versions run");
        assert_eq!(version::Digest::of(file), stamp.digest, "{id} runs another file");
        let whole = mesh::check::check(file).expect("accepted files are valid");
        assert_eq!(*applied.mesh, whole, "{id} runs a part of {}", stamp.version);
    }

    /// One probe: both sides hear what the other runs.
    fn probe(&mut self, node: usize) {
        self.put(self.now + PROBE, Item::Probe { node });
        let other = self.rng.random_range(0..self.nodes.len());
        let lost = self.rng.random_bool(self.loss);
        let alive = |n: &Node| n.core.is_some() && !n.asleep;
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
            let event = Event::Heard { host: self.nodes[of].id, version };
            let (at, life) = (self.delay(), self.nodes[to].life);
            self.put(at, Item::Event { node: to, life, event });
        }
    }

    /// Shows every node the hosts it reaches; see [`DETECT`].
    fn show(&mut self) {
        if !self.views {
            return;
        }
        for node in 0..self.nodes.len() {
            let hosts = (0..self.nodes.len()).map(|other| self.seen(node, other)).collect();
            let view = Arc::new(view::View::new(hosts));
            self.feed(node, Event::View(view));
        }
    }

    fn seen(&self, by: usize, other: usize) -> view::Host {
        let host = &self.nodes[other];
        let up = host.core.is_some() && !host.asleep && self.reaches(by, other);
        view::Host {
            id: host.id,
            locality: Arc::clone(&host.locality),
            incarnation: host.life,
            health: if up { view::Health::Alive } else { view::Health::Unreachable },
            upstream: None,
        }
    }

    /// Cuts or joins the regions, which the views show after [`DETECT`].
    pub fn join(&mut self, joined: bool) {
        self.joined = joined;
        self.put(self.now + DETECT, Item::Views);
    }

    /// Names the zone of `node`.
    pub fn zone(&self, node: usize) -> SmolStr {
        self.nodes[node].locality.zone.clone()
    }
}
