//! Simulated datagrams, transfers and reads of the log, with delays and losses.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::host;
use crate::logs;
use crate::seal;
use crate::spread::decision::{Event, TransferId};
use crate::spread::message;
use crate::spread::read_schedule;
use crate::spread::tests::net::{Item, Net};
use crate::version;

/// Range of the network's one-way delay.
const DELAY_US: (u64, u64) = (200, 3000);

impl Net {
    pub(super) fn append_snapshot(&mut self, body: bytes::Bytes) {
        if self.source.up {
            self.source.append_record(body, self.now.as_micros() / 1000);
            self.wake_readers();
        }
    }

    /// Answers the reads that wait for a record.
    pub fn wake_readers(&mut self) {
        for (node, (_, read)) in std::mem::take(&mut self.waiting) {
            self.answer_read(node, read);
        }
    }

    pub(super) fn node_of(&self, host: host::HostId) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == host)
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.connected || self.nodes[from].locality.region == self.nodes[to].locality.region
    }

    pub(super) fn delay(&mut self) -> clock::Instant {
        self.now + time::Duration::from_micros(self.rng.random_range(DELAY_US.0..DELAY_US.1))
    }

    pub(super) fn send(&mut self, from: usize, host: host::HostId, datagram: &message::Datagram) {
        let push = matches!(datagram, message::Datagram::Push { .. });
        let sender = (!push).then(|| self.nodes[from].id);
        let envelope = message::Envelope { host: sender, datagram: datagram.clone() };
        let size = postcard::to_stdvec(&envelope).expect("encodes").len() + seal::TAG_BYTES;
        assert!(size <= usize::from(self.settings.datagram_bytes), "a datagram of {size} bytes");
        self.counts.bytes += size as u64;
        self.counts.datagrams += 1;
        let Some(to) = self.node_of(host) else { return };
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) || !self.reaches(from, to) {
                continue;
            }
            let event = Event::Datagram { host: self.nodes[from].id, datagram: datagram.clone() };
            let (at, incarnation) = (self.delay(), self.nodes[to].incarnation);
            self.schedule(at, Item::Event { node: to, incarnation, event });
        }
    }

    pub(super) fn fetch(&mut self, from: usize, host: host::HostId, have: version::Version) {
        let to = self.node_of(host).filter(|&t| self.reaches(from, t));
        let to = to.filter(|&t| self.nodes[t].core.is_some());
        let Some(to) = to else {
            let event = Event::Fetched { host, served: None };
            let incarnation = self.nodes[from].incarnation;
            return self.schedule(
                self.now + time::Duration::from_millis(50),
                Item::Event { node: from, incarnation, event },
            );
        };
        self.transfer += 1;
        self.fetches.insert(self.transfer, from);
        let fetch = message::Fetch { host: self.nodes[from].id, have };
        let event = Event::Fetch { transfer: self.transfer, fetch };
        let (at, incarnation) = (self.delay(), self.nodes[to].incarnation);
        self.schedule(at, Item::Event { node: to, incarnation, event });
    }

    pub(super) fn answer_fetch(
        &mut self,
        from: usize,
        transfer: TransferId,
        reply: message::FetchReply,
    ) {
        let size = postcard::to_stdvec(&reply).expect("encodes").len();
        self.counts.bytes += size as u64;
        let Some(to) = self.fetches.remove(&transfer) else { return };
        // Transfer time at 100 Mbit/s.
        let done = self.delay() + time::Duration::from_nanos(80 * size as u64);
        if matches!(reply, message::FetchReply::Busy { .. }) {
            self.counts.busy += 1;
        }
        if matches!(reply, message::FetchReply::Update(_)) {
            self.counts.transfers += 1;
            let serving = self.serving.entry(from).or_default();
            *serving += 1;
            self.counts.max_serving = self.counts.max_serving.max(*serving);
            let incarnation = self.nodes[from].incarnation;
            self.schedule(
                done,
                Item::Event { node: from, incarnation, event: Event::TransferSent },
            );
        }
        let event = Event::Fetched { host: self.nodes[from].id, served: Some(reply) };
        let incarnation = self.nodes[to].incarnation;
        self.schedule(done, Item::Event { node: to, incarnation, event });
    }

    pub(super) fn read(&mut self, node: usize, read: read_schedule::Read) {
        self.counts.reads += 1;
        if !self.source.up || self.without_log.contains(&node) {
            let (at, incarnation) = (self.delay(), self.nodes[node].incarnation);
            return self
                .schedule(at, Item::Event { node, incarnation, event: self.read_event(None) });
        }
        if self.source.next() > read.from || read.wait.is_zero() {
            return self.answer_read(node, read);
        }
        let ticket = self.order;
        self.waiting.insert(node, (ticket, read));
        self.schedule(self.now + read.wait, Item::EndWait { node, ticket });
    }

    pub(super) fn answer_read(&mut self, node: usize, read: read_schedule::Read) {
        let reached = self.source.up && !self.without_log.contains(&node);
        let batch = reached.then(|| self.source.read(read.from));
        let bytes: usize = batch.iter().flat_map(|b| &b.records).map(|r| r.body.len()).sum();
        self.counts.read_bytes += bytes as u64;
        let (at, incarnation) = (self.delay(), self.nodes[node].incarnation);
        self.schedule(at, Item::Event { node, incarnation, event: self.read_event(batch) });
    }

    pub(super) fn read_event(&self, batch: Option<logs::Batch>) -> Event {
        Event::Read { batch, unix_millis: self.now.as_micros() / 1000 }
    }
}
