//! Runs nodes in virtual time, with a modelled network and membership.

use std::cmp;
use std::collections;
use std::net;
use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::bench::quotas::case;
use crate::bench::quotas::tally;
use crate::bench::quotas::ways;
use crate::clock;
use crate::host;
use crate::quota;
use crate::quota::borrower;
use crate::view;

/// Length of a run. Nodes start at its beginning, callers come from [`CALLERS`] on.
const LENGTH: time::Duration = time::Duration::from_secs(30);

/// When the first callers come.
const CALLERS: time::Duration = time::Duration::from_secs(4);

/// When the fault of the case strikes.
const FAULT: time::Duration = time::Duration::from_secs(10);

/// How long nodes are cut off.
const CUT: time::Duration = time::Duration::from_secs(6);

/// How long killed nodes are down.
const DOWN: time::Duration = time::Duration::from_secs(2);

/// Time from a change of a node to the moment at which the first other one knows it.
const DETECTION: time::Duration = time::Duration::from_millis(1200);

/// Time from then on until the last one knows it.
const SPREAD: time::Duration = time::Duration::from_millis(600);

/// Bounds of the time that a datagram takes, in microseconds.
const DELAY_US: std::ops::Range<u64> = 200..4000;

/// Share of the datagrams that are lost in a lossy network, and otherwise.
const LOSS: [f64; 2] = [0.33, 0.001];

/// Something that happens at one time.
enum Event<M> {
    /// A caller comes; the next one follows.
    Caller,
    /// A call that waits is decided again at the latest.
    Again { node: usize, call: u64 },
    /// A message arrives.
    Message { from: usize, to: usize, message: M },
    /// The nodes do what they do at intervals.
    Tick,
    /// A node learns which others it can reach.
    See { node: usize },
    /// The fault strikes.
    Fault,
    /// The fault ends.
    Repair,
}

struct Scheduled<M> {
    at: clock::Instant,
    /// Keeps events of the same time in order.
    number: u64,
    event: Event<M>,
}

impl<M> PartialEq for Scheduled<M> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl<M> Eq for Scheduled<M> {}

impl<M> PartialOrd for Scheduled<M> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Scheduled<M> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A call that waits.
struct Waiting {
    call: u64,
    arrived: clock::Instant,
}

struct Model<'a, N: ways::Node> {
    case: &'a case::Case,
    setup: ways::Setup,
    nodes: Vec<N>,
    up: Vec<bool>,
    cut: Vec<bool>,
    waiting: Vec<Vec<Waiting>>,
    events: collections::BinaryHeap<Scheduled<N::Message>>,
    number: u64,
    calls: u64,
    now: clock::Instant,
    rng: rngs::SmallRng,
    tally: tally::Tally,
    locality: Arc<view::Locality>,
}

/// Runs `case` with nodes of the way `N`.
pub fn run<N: ways::Node>(case: &case::Case, seed: u64) -> tally::Figures {
    let mut model = Model::<N>::new(case, seed);
    while let Some(scheduled) = model.events.pop() {
        if scheduled.at.since(clock::Instant::ZERO) >= LENGTH {
            break;
        }
        model.now = scheduled.at;
        model.handle(scheduled.event);
    }
    let tolerance = model.setup.tolerance;
    let seconds = (LENGTH - CALLERS).as_secs_f64();
    let limit = |at| limit(case, at);
    model.tally.figures(limit, &tolerance, case.nodes, seconds)
}

/// The limit in force at `now`, which binds spans that begin then. A lower one binds after the spans
/// that began before.
fn limit(case: &case::Case, now: clock::Instant) -> quota::Limit {
    let lowered = case.load == case::Load::Lowered && now.since(clock::Instant::ZERO) >= FAULT;
    let rate = f64::from(case.rate) / if lowered { 5.0 } else { 1.0 };
    quota::Limit { rate, burst: rate }
}

impl<'a, N: ways::Node> Model<'a, N> {
    fn new(case: &'a case::Case, seed: u64) -> Self {
        let hosts: Vec<host::HostId> = (0..case.nodes)
            .map(|index| {
                let [_, _, high, low] = u32::try_from(index).unwrap_or(u32::MAX).to_be_bytes();
                let ip = net::Ipv4Addr::new(10, 0, high, low);
                host::HostId::new(net::SocketAddr::from((ip, 7100)))
            })
            .collect();
        let tolerance =
            quota::Tolerance { window: time::Duration::from_secs(5), over: 0.1, slack: 20.0 };
        let setup = ways::Setup { hosts, tolerance };
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let now = clock::Instant::ZERO;
        let start = |me| N::start(me, &setup, limit(case, now), now, rng.random());
        let nodes = (0..case.nodes).map(start).collect();
        let locality = view::Locality { region: "region".into(), zone: "zone".into() };
        let mut model = Self {
            case,
            setup,
            nodes,
            up: vec![true; case.nodes],
            cut: vec![false; case.nodes],
            waiting: (0..case.nodes).map(|_| Vec::new()).collect(),
            events: collections::BinaryHeap::new(),
            number: 0,
            calls: 0,
            now,
            rng,
            tally: tally::Tally::default(),
            locality: Arc::new(locality),
        };
        model.schedule(CALLERS, Event::Caller);
        model.schedule(ways::TICK, Event::Tick);
        model.schedule(FAULT, Event::Fault);
        model.notice(time::Duration::ZERO);
        model
    }

    fn schedule(&mut self, after: time::Duration, event: Event<N::Message>) {
        self.number += 1;
        let at = self.now + after;
        self.events.push(Scheduled { at, number: self.number, event });
    }

    /// Lets all nodes notice, from `after` on, what has changed.
    fn notice(&mut self, after: time::Duration) {
        for node in 0..self.case.nodes {
            let spread = SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(after + spread, Event::See { node });
        }
    }

    fn handle(&mut self, event: Event<N::Message>) {
        match event {
            Event::Caller => self.call(),
            Event::Again { node, call } => {
                if let Some(index) = self.waiting[node].iter().position(|w| w.call == call) {
                    let waiting = self.waiting[node].remove(index);
                    self.decide(node, waiting, true);
                }
            }
            Event::Message { from, to, message } => self.receive(from, to, message),
            Event::Tick => {
                for node in 0..self.case.nodes {
                    let mut out = Vec::new();
                    self.nodes[node].tick(self.now, &mut out);
                    self.send(node, out);
                }
                self.schedule(ways::TICK, Event::Tick);
            }
            Event::See { node } => self.see(node),
            Event::Fault => self.strike(),
            Event::Repair => self.repair(),
        }
    }

    /// A caller comes to a node that is up.
    fn call(&mut self) {
        let second = self.now.since(clock::Instant::ZERO).as_secs_f64();
        let rate = f64::from(self.case.rate) * self.case.load.demand(second);
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        self.schedule(time::Duration::from_secs_f64(gap), Event::Caller);
        let node = self.pick();
        if !self.up[node] {
            return;
        }
        self.tally.ask();
        self.calls += 1;
        let waiting = Waiting { call: self.calls, arrived: self.now };
        self.decide(node, waiting, false);
    }

    /// The node to which a caller comes.
    fn pick(&mut self) -> usize {
        let nodes = self.case.nodes;
        let moved = self.case.load == case::Load::Shift
            && self.now.since(clock::Instant::ZERO) >= FAULT
            && self.rng.random_range(0..2) == 0;
        let among = if moved { nodes.div_ceil(3) } else { nodes };
        self.rng.random_range(0..among)
    }

    fn decide(&mut self, node: usize, waiting: Waiting, again: bool) {
        let mut out = Vec::new();
        let take = self.nodes[node].take(again, self.now, &mut out);
        self.send(node, out);
        match take {
            borrower::Take::Allowed(_) => self.tally.allow(waiting.arrived, self.now),
            borrower::Take::Refused { .. } | borrower::Take::Unready => {}
            borrower::Take::Wait { until } => {
                let call = waiting.call;
                self.waiting[node].push(waiting);
                self.schedule(until.since(self.now), Event::Again { node, call });
            }
        }
    }

    fn send(&mut self, from: usize, out: ways::Outbox<N::Message>) {
        for (to, message) in out {
            self.tally.send(N::size(&message));
            let [lossy, usual] = LOSS;
            let loss = if self.case.load == case::Load::Lossy { lossy } else { usual };
            if self.rng.random_range(0.0..1.0) >= loss {
                let delay = time::Duration::from_micros(self.rng.random_range(DELAY_US));
                self.schedule(delay, Event::Message { from, to, message });
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: N::Message) {
        if !self.up[to] || self.is_cut(from, to) {
            return;
        }
        let mut out = Vec::new();
        let answered = self.nodes[to].receive(from, message, self.now, &mut out);
        self.send(to, out);
        if answered {
            for waiting in std::mem::take(&mut self.waiting[to]) {
                self.decide(to, waiting, true);
            }
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && (self.cut[one] || self.cut[other])
    }

    /// Shows a node which others it can reach.
    fn see(&mut self, node: usize) {
        let host = |index: usize| view::Host {
            id: self.setup.hosts[index],
            locality: Arc::clone(&self.locality),
            incarnation: 1,
            health: if self.up[index] && !self.is_cut(node, index) {
                view::Health::Alive
            } else {
                view::Health::Unreachable
            },
            upstream: None,
        };
        let view = view::View::new((0..self.case.nodes).map(host).collect());
        if self.up[node] {
            self.nodes[node].see(&view, self.now);
        }
    }

    fn strike(&mut self) {
        let nodes = self.case.nodes;
        match self.case.load {
            case::Load::Cut => {
                (0..nodes / 10).for_each(|node| self.cut[node] = true);
                self.schedule(CUT, Event::Repair);
            }
            case::Load::Halved | case::Load::Restarted => {
                let killed = if self.case.load == case::Load::Halved { nodes / 2 } else { nodes };
                (0..killed).for_each(|node| self.up[node] = false);
                self.waiting[..killed].iter_mut().for_each(Vec::clear);
                self.schedule(DOWN, Event::Repair);
            }
            case::Load::Lowered => {
                let limit = limit(self.case, self.now);
                self.nodes.iter_mut().for_each(|node| node.set_limit(limit, self.now));
            }
            case::Load::Usual | case::Load::Hot | case::Load::Shift | case::Load::Lossy => return,
        }
        self.notice(DETECTION);
    }

    fn repair(&mut self) {
        for node in 0..self.case.nodes {
            self.cut[node] = false;
            if !std::mem::replace(&mut self.up[node], true) {
                let (limit, seed) = (limit(self.case, self.now), self.rng.random());
                self.nodes[node] = N::start(node, &self.setup, limit, self.now, seed);
            }
        }
        self.notice(DETECTION);
    }
}
