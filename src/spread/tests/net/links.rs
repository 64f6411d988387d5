//! Datagrams, transfers and reads of the log, with their delays and losses.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::host;
use crate::logs;
use crate::seal;
use crate::spread::decision::{Event, Transfer};
use crate::spread::message;
use crate::spread::tail;
use crate::spread::tests::net::{Item, Net};
use crate::version;

/// One-way delay of the network, in microseconds.
const DELAY: (u64, u64) = (200, 3000);

impl Net {
    pub(super) fn snapshot(&mut self, body: bytes::Bytes) {
        if self.source.up {
            self.source.put(body, self.now.as_micros() / 1000);
            self.wake_waits();
        }
    }

    /// Wakes the reads that wait for a record.
    pub fn wake_waits(&mut self) {
        for (node, (_, read)) in std::mem::take(&mut self.waits) {
            self.answer_read(node, read);
        }
    }

    pub(super) fn index(&self, host: host::HostId) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == host)
    }

    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.joined || self.nodes[from].locality.region == self.nodes[to].locality.region
    }

    pub(super) fn delay(&mut self) -> clock::Instant {
        self.now + time::Duration::from_micros(self.rng.random_range(DELAY.0..DELAY.1))
    }

    pub(super) fn send(&mut self, from: usize, host: host::HostId, datagram: &message::Datagram) {
        let push = matches!(datagram, message::Datagram::Push { .. });
        let sender = (!push).then(|| self.nodes[from].id);
        let envelope = message::Envelope { host: sender, datagram: datagram.clone() };
        let size = postcard::to_stdvec(&envelope).expect("encodes").len() + seal::TAG_BYTES;
        assert!(size <= usize::from(self.settings.datagram_bytes), "a datagram of {size} bytes");
        self.counts.bytes += size as u64;
        self.counts.datagrams += 1;
        let Some(to) = self.index(host) else { return };
        let copies = 1 + usize::from(self.rng.random_bool(self.double));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) || !self.reaches(from, to) {
                continue;
            }
            let event = Event::Datagram { host: self.nodes[from].id, datagram: datagram.clone() };
            let (at, life) = (self.delay(), self.nodes[to].life);
            self.put(at, Item::Event { node: to, life, event });
        }
    }

    pub(super) fn fetch(&mut self, from: usize, host: host::HostId, have: version::Version) {
        let to = self.index(host).filter(|&t| self.reaches(from, t));
        let to = to.filter(|&t| self.nodes[t].core.is_some());
        let Some(to) = to else {
            let event = Event::Fetched { host, served: None };
            let life = self.nodes[from].life;
            return self.put(
                self.now + time::Duration::from_millis(50),
                Item::Event { node: from, life, event },
            );
        };
        self.transfer += 1;
        self.fetches.insert(self.transfer, from);
        let fetch = message::Fetch { host: self.nodes[from].id, have };
        let event = Event::Fetch { transfer: self.transfer, fetch };
        let (at, life) = (self.delay(), self.nodes[to].life);
        self.put(at, Item::Event { node: to, life, event });
    }

    pub(super) fn answer_fetch(
        &mut self,
        from: usize,
        transfer: Transfer,
        served: message::Served,
    ) {
        let size = postcard::to_stdvec(&served).expect("encodes").len();
        self.counts.bytes += size as u64;
        let Some(to) = self.fetches.remove(&transfer) else { return };
        // A connection at 100 Mbit/s.
        let done = self.delay() + time::Duration::from_nanos(80 * size as u64);
        if matches!(served, message::Served::Busy { .. }) {
            self.counts.busy += 1;
        }
        if matches!(served, message::Served::Parcel(_)) {
            self.counts.transfers += 1;
            let serving = self.serving.entry(from).or_default();
            *serving += 1;
            self.counts.most = self.counts.most.max(*serving);
            let life = self.nodes[from].life;
            self.put(done, Item::Event { node: from, life, event: Event::Ended });
        }
        let event = Event::Fetched { host: self.nodes[from].id, served: Some(served) };
        let life = self.nodes[to].life;
        self.put(done, Item::Event { node: to, life, event });
    }

    pub(super) fn read(&mut self, node: usize, read: tail::Read) {
        self.counts.reads += 1;
        if !self.source.up || self.without_log.contains(&node) {
            let (at, life) = (self.delay(), self.nodes[node].life);
            return self.put(at, Item::Event { node, life, event: self.ended(None) });
        }
        if self.source.next() > read.from || read.wait.is_zero() {
            return self.answer_read(node, read);
        }
        let ticket = self.order;
        self.waits.insert(node, (ticket, read));
        self.put(self.now + read.wait, Item::Unwait { node, ticket });
    }

    pub(super) fn answer_read(&mut self, node: usize, read: tail::Read) {
        let reached = self.source.up && !self.without_log.contains(&node);
        let batch = reached.then(|| self.source.read(read.from));
        let bytes: usize = batch.iter().flat_map(|b| &b.records).map(|r| r.body.len()).sum();
        self.counts.read_bytes += bytes as u64;
        let (at, life) = (self.delay(), self.nodes[node].life);
        self.put(at, Item::Event { node, life, event: self.ended(batch) });
    }

    pub(super) fn ended(&self, batch: Option<logs::Batch>) -> Event {
        Event::Read { batch, unix_millis: self.now.as_micros() / 1000 }
    }
}
