//! Simulated network of hosts in virtual time, with the faults of UDP.

use std::cmp;
use std::collections;
use std::net;
use std::time;

use dandelionspool::clock;
use dandelionspool::configs;
use dandelionspool::host;
use dandelionspool::member;
use dandelionspool::member::wire;
use dandelionspool::seal;
use dandelionspool::view;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Wall-clock time at the start of virtual time, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// The zones of the mesh, each as a pair of region and zone.
pub const ZONES: [(&str, &str); 4] =
    [("north", "north-a"), ("north", "north-b"), ("north", "north-c"), ("south", "south-a")];

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplicate: f64,
    /// Shortest and longest delay, in microseconds; a wide range reorders datagrams.
    pub delay: (u64, u64),
    /// Whether pings, acks and gossip lose their items.
    pub mute: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self { loss: 0.0, duplicate: 0.0, delay: (400, 700), mute: false }
    }
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    Deliver { to: usize, message: Vec<u8> },
    Wake(usize),
}

/// One host.
pub struct Host {
    pub id: host::HostId,
    pub member: Option<member::Member>,
    pub paused: bool,
    /// Number of the partition; only hosts with the same number reach each other.
    pub partition: u8,
    /// Bytes sent.
    pub sent: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Version mismatches found.
    pub mismatches: u64,
    /// Number of processes started on this host.
    pub generation: u64,
    settings: configs::Node,
    wake: clock::Instant,
}

/// The network with its hosts.
pub struct Net {
    pub now: clock::Instant,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    rng: rngs::Xoshiro256PlusPlus,
    queue: collections::BinaryHeap<cmp::Reverse<(clock::Instant, u64, Step)>>,
    steps: u64,
    ids: collections::HashMap<host::HostId, usize>,
    seal: seal::Seal,
}

/// Identity of host `index`.
pub fn id(index: usize) -> host::HostId {
    let ip = net::Ipv4Addr::from_bits(0x0a00_0001 + index as u32);
    host::HostId::new(net::SocketAddr::from((ip, 7100)))
}

/// Settings of host `index`: three join addresses, zones in turn.
pub fn settings(index: usize) -> configs::Node {
    let (region, zone) = ZONES[index % ZONES.len()];
    configs::Node {
        mesh: "mesh".into(),
        key: "key".into(),
        listen: id(index).member_addr(),
        region: region.into(),
        zone: zone.into(),
        join: (0..3).map(|i| id(i).member_addr()).collect(),
        ..configs::Node::default()
    }
}

/// The upstream of host `index`.
pub fn upstream(index: usize, phase: view::Phase) -> view::Upstream {
    let service = smol_str::format_smolstr!("service-{}", index % 13);
    let class = smol_str::format_smolstr!("class-{}", index % 13);
    view::Upstream {
        service,
        class,
        phase,
        slots: 9,
        connections: 130,
        incarnation: 0,
        version: Default::default(),
        trial: Default::default(),
    }
}

impl Net {
    /// A network of `count` hosts that all start within the first second.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with(count, seed, |_| {})
    }

    /// Like [`Net::new`], with the settings changed by `change`.
    pub fn with(count: usize, seed: u64, change: impl Fn(&mut configs::Node)) -> Self {
        let mut net = Self {
            now: clock::Instant::from_millis(10),
            hosts: Vec::new(),
            faults: Faults::default(),
            rng: rngs::Xoshiro256PlusPlus::seed_from_u64(seed),
            queue: collections::BinaryHeap::new(),
            steps: 0,
            ids: collections::HashMap::new(),
            seal: seal::Seal::new("mesh", "key"),
        };
        for index in 0..count {
            let mut settings = settings(index);
            change(&mut settings);
            net.add(settings);
        }
        net
    }

    /// A network whose hosts all know each other and have sent all updates.
    pub fn settled(count: usize, seed: u64) -> Self {
        let mut net = Self::new(count, seed);
        let agreed = (0..60).any(|_| {
            net.run(time::Duration::from_secs(1));
            net.agrees()
        });
        assert!(agreed, "seed {seed}: the views did not converge");
        net.run(time::Duration::from_secs(30));
        net
    }

    /// Adds and starts a host.
    pub fn add(&mut self, settings: configs::Node) -> usize {
        let index = self.hosts.len();
        let id = host::HostId::new(settings.listen);
        self.ids.insert(id, index);
        self.hosts.push(Host {
            id,
            member: None,
            paused: false,
            partition: 0,
            sent: 0,
            datagrams: 0,
            mismatches: 0,
            generation: 0,
            settings,
            wake: clock::Instant::ZERO,
        });
        self.start(index);
        index
    }

    /// Starts or restarts host `index` with a new process.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let incarnation = EPOCH_MS + self.now.as_micros() / 1000;
        let host = &mut self.hosts[index];
        host.generation += 1;
        let mut member = member::Member::new(&host.settings, seed, incarnation, self.now);
        if host.settings.join.is_empty() {
            member.await_directory();
        }
        host.member = Some(member);
        let local = upstream(index, view::Phase::Serving);
        self.handle(index, member::Event::Local(Some(local.into())));
    }

    /// Ends the process of host `index` without notice to the others.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].member = None;
    }

    /// Advances virtual time by `span`.
    pub fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|step| step.0.0 <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Advances virtual time in steps of 100 ms until `done`, at most by `limit`. Returns the time
    /// this took; `None` at the limit.
    pub fn until(
        &mut self,
        limit: time::Duration,
        mut done: impl FnMut(&mut Net) -> bool,
    ) -> Option<time::Duration> {
        let begin = self.now;
        while self.now.since(begin) <= limit {
            if done(self) {
                return Some(self.now.since(begin));
            }
            self.run(time::Duration::from_millis(100));
        }
        None
    }

    fn step(&mut self) {
        let Some(cmp::Reverse((at, _, step))) = self.queue.pop() else { return };
        self.now = at;
        match step {
            Step::Deliver { to, message } => self.deliver(to, &message),
            Step::Wake(index) => self.wake(index),
        }
    }

    fn wake(&mut self, index: usize) {
        if self.hosts[index].wake == self.now && !self.hosts[index].paused {
            self.handle(index, member::Event::Tick);
        }
    }

    /// Delivers `message` to host `to`, as its shell does.
    pub fn deliver(&mut self, to: usize, message: &[u8]) {
        if self.hosts[to].paused {
            let later = self.now + time::Duration::from_millis(50);
            self.push(later, Step::Deliver { to, message: message.to_vec() });
            return;
        }
        let Ok(body) = self.seal.open(message) else { return };
        let Ok(datagram) = wire::decode(body) else { return };
        self.handle(to, member::Event::Datagram(Box::new(datagram)));
    }

    /// Lets host `index` handle `event` and carries out its actions.
    pub fn handle(&mut self, index: usize, event: member::Event) {
        let Some(member) = &mut self.hosts[index].member else { return };
        let actions = member.handle(event, self.now);
        let wake = member.wake().max(self.now + time::Duration::from_micros(1));
        for action in actions {
            match action {
                member::Action::VersionMismatch(_) => self.hosts[index].mismatches += 1,
                member::Action::Send { to, datagram } => self.send(index, to, datagram),
            }
        }
        let host = &mut self.hosts[index];
        if host.wake <= self.now || wake < host.wake {
            host.wake = wake;
            self.push(wake, Step::Wake(index));
        }
    }

    fn send(&mut self, from: usize, to: host::HostId, mut datagram: wire::Datagram) {
        let gossip = matches!(
            datagram.body,
            wire::Body::Ack { .. } | wire::Body::Gossip | wire::Body::Ping { .. }
        );
        if self.faults.mute && gossip {
            datagram.items.clear();
        }
        let message = self.seal.seal(&wire::encode(&datagram).unwrap());
        assert!(message.len() <= wire::MAX_BYTES, "{} bytes", message.len());
        self.hosts[from].sent += message.len() as u64;
        self.hosts[from].datagrams += 1;
        let Some(&to) = self.ids.get(&to) else { return };
        if self.hosts[from].partition != self.hosts[to].partition {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplicate));
        for _ in 0..copies {
            if !self.rng.random_bool(self.faults.loss) {
                let (low, high) = self.faults.delay;
                let delay = time::Duration::from_micros(self.rng.random_range(low..=high));
                self.push(self.now + delay, Step::Deliver { to, message: message.clone() });
            }
        }
    }

    fn push(&mut self, at: clock::Instant, step: Step) {
        self.steps += 1;
        self.queue.push(cmp::Reverse((at, self.steps, step)));
    }

    /// Resumes a paused host; datagrams that arrived in the meantime are delivered now.
    pub fn resume(&mut self, index: usize) {
        self.hosts[index].paused = false;
        self.handle(index, member::Event::Tick);
    }

    /// The views of all running hosts that are not paused.
    pub fn views(&mut self) -> Vec<(usize, view::View)> {
        let hosts = self.hosts.iter_mut().enumerate().filter(|(_, h)| !h.paused);
        hosts.filter_map(|(i, h)| Some((i, h.member.as_mut()?.view()))).collect()
    }

    /// Whether every running host sees exactly the running hosts as alive.
    pub fn agrees(&mut self) -> bool {
        let running: Vec<_> =
            self.hosts.iter().filter(|s| s.member.is_some()).map(|s| s.id).collect();
        self.views().iter().all(|(_, view)| {
            let alive = view.hosts.iter().filter(|h| h.health == view::Health::Alive);
            let alive: collections::HashSet<_> = alive.map(|h| h.id).collect();
            alive.len() == running.len() && running.iter().all(|id| alive.contains(id))
        })
    }

    /// The number of pairs of a running host and a host that it sees as unreachable.
    pub fn unreachable(&mut self) -> usize {
        let views = self.views();
        let hosts = views.iter().flat_map(|(_, v)| &v.hosts);
        hosts.filter(|h| h.health == view::Health::Unreachable).count()
    }

    /// Partitions the network into the hosts for which `other` holds and the rest.
    pub fn cut(&mut self, other: impl Fn(&configs::Node) -> bool) {
        self.hosts.iter_mut().for_each(|s| s.partition = u8::from(other(&s.settings)));
    }

    /// The standing of host `index`.
    pub fn standing(&self, index: usize) -> Option<view::Standing> {
        self.hosts[index].member.as_ref().map(member::Member::standing)
    }

    /// How each other running host sees host `index`; `None` where it does not know it.
    pub fn seen(&mut self, index: usize) -> Vec<Option<view::Host>> {
        let id = self.hosts[index].id;
        let views = self.views();
        let others = views.iter().filter(|(i, _)| *i != index);
        others.map(|(_, v)| v.host(id).cloned()).collect()
    }

    /// Bytes sent so far by all hosts.
    pub fn sent(&self) -> u64 {
        self.hosts.iter().map(|s| s.sent).sum()
    }
}
