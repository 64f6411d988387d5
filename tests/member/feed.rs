//! One host of a large mesh with simulated peers, to find its cost without running the other hosts.

use std::collections;
use std::time;

use dandelionspool::clock;
use dandelionspool::host;
use dandelionspool::member;
use dandelionspool::member::wire;
use dandelionspool::seal;
use dandelionspool::view;

use crate::net;

/// First incarnation of the simulated hosts.
const FIRST_INCARNATION: u64 = 1_700_000_000_000;

/// Traffic of one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Datagrams sent.
    pub datagrams: u64,
}

/// One host with its simulated peers.
pub struct Feed {
    pub member: member::Member,
    pub now: clock::Instant,
    pub tally: Tally,
    count: usize,
    rounds: usize,
    replies: collections::VecDeque<wire::Datagram>,
    running: wire::Running,
}

impl Feed {
    /// A host that has joined a mesh of `count` hosts, itself included.
    pub fn new(count: usize) -> Self {
        let now = clock::Instant::from_millis(10);
        let mut settings = net::settings(0);
        settings.join = vec![net::id(1).member_addr()];
        let mut feed = Self {
            member: member::Member::new(&settings, 1, FIRST_INCARNATION, now),
            now,
            tally: Tally::default(),
            count,
            rounds: 0,
            replies: collections::VecDeque::new(),
            running: wire::Running::default(),
        };
        let local = net::upstream(0, view::Phase::Serving);
        feed.handle(member::Event::Local(Some(local.into())));
        while feed.member.present_count() < count {
            feed.advance(time::Duration::from_millis(100));
        }
        feed
    }

    /// Advances the time by one second, in which one peer pings this host.
    pub fn second(&mut self) {
        self.rounds += 1;
        let from = self.peer(self.rounds);
        let body = wire::Body::Ping { sequence: self.rounds as u32, running: self.running };
        self.receive(wire::Datagram { from, body, names: Vec::new(), items: Vec::new() });
        self.advance(time::Duration::from_secs(1));
    }

    /// Simulates the gossip of a record of host `index`, in the incarnation of that number after
    /// the first, by `copies` peers.
    pub fn gossip(&mut self, index: usize, incarnation: u64, phase: view::Phase, copies: usize) {
        for copy in 0..copies {
            let from = self.peer(index + 7 * copy);
            let mut packer = wire::Packer::new(from, wire::Body::Gossip);
            pack(&mut packer, index, FIRST_INCARNATION + incarnation, phase);
            self.receive(packer.finish());
        }
    }

    fn peer(&self, number: usize) -> host::HostId {
        net::id(1 + number % (self.count - 1))
    }

    fn advance(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.member.wake() <= end {
            self.now = self.member.wake().max(self.now + time::Duration::from_micros(1));
            self.handle(member::Event::Tick);
        }
        self.now = end;
    }

    fn receive(&mut self, datagram: wire::Datagram) {
        let bytes = wire::encode(&datagram).unwrap();
        self.tally.received += (bytes.len() + seal::TAG_BYTES) as u64;
        let datagram = wire::decode(&bytes).unwrap();
        self.handle(member::Event::Datagram(Box::new(datagram)));
    }

    fn handle(&mut self, event: member::Event) {
        for action in self.member.handle(event, self.now) {
            if let member::Action::Send { to, datagram } = action {
                let bytes = wire::encode(&datagram).unwrap().len() + seal::TAG_BYTES;
                self.tally.sent += bytes as u64;
                self.tally.datagrams += 1;
                self.answer(to, &datagram);
            }
        }
        while let Some(reply) = self.replies.pop_front() {
            self.receive(reply);
        }
    }

    /// Queues the reply of the simulated host `to` to `datagram`.
    fn answer(&mut self, to: host::HostId, datagram: &wire::Datagram) {
        match datagram.body {
            wire::Body::Ping { sequence, running } => {
                self.running = running;
                let body = wire::Body::Ack { sequence, running };
                let (names, items) = (Vec::new(), Vec::new());
                self.replies.push_back(wire::Datagram { from: to, body, names, items });
            }
            wire::Body::Pull { cursor } => self.replies.push_back(self.page(to, cursor as usize)),
            _ => {}
        }
    }

    /// The page of host `from` that begins with host `index`.
    fn page(&self, from: host::HostId, index: usize) -> wire::Datagram {
        let body = wire::Body::Page { next: Some(u32::MAX), joined: true };
        let mut packer = wire::Packer::new(from, body);
        let first = index.max(1);
        let fitted = |i: &usize| pack(&mut packer, *i, FIRST_INCARNATION, view::Phase::Serving);
        let packed = (first..self.count).take_while(fitted).count();
        let next = first + packed;
        let next = (next < self.count).then_some(next as u32);
        let mut datagram = packer.finish();
        datagram.body = wire::Body::Page { next, joined: true };
        datagram
    }
}

fn pack(packer: &mut wire::Packer, index: usize, incarnation: u64, phase: view::Phase) -> bool {
    let (region, zone) = net::ZONES[index % net::ZONES.len()];
    let locality = view::Locality { region: region.into(), zone: zone.into() };
    let upstream = net::upstream(index, phase).into();
    let serial = 1 + phase as u32;
    packer.record(net::id(index), (incarnation, serial), &locality, Some(&upstream))
}
