//! Taking over the table from another host, page by page, and giving it to others.

use std::net;
use std::time;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;

use crate::clock;
use crate::host;
use crate::member;
use crate::member::detect;
use crate::member::directory;
use crate::member::gossip;
use crate::member::standing;
use crate::member::table;
use crate::member::updates;
use crate::member::wire;

/// Time for which a host is taken for what the directory says of it without being heard from. After a
/// start of all of 295 hosts half of them are heard from within two seconds.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Hosts greeted of those that a look has found: one that answers tells of the others.
const MAX_GREETED: usize = 8;

/// A page that was asked for.
#[derive(Clone, Copy, Debug)]
struct Asked {
    peer: host::HostId,
    deadline: clock::Instant,
}

/// How far this host has joined, and what it can give to others that join.
#[derive(Clone, Debug)]
pub struct Join {
    /// Configured hosts but this one.
    seeds: Vec<host::HostId>,
    /// Whether the directory has yet to say who is there.
    awaits_directory: bool,
    done: bool,
    /// Whether the table was taken over from a host that had joined.
    confirmed: bool,
    /// When hosts that are known from the directory alone come into doubt.
    unconfirmed_at: Option<clock::Instant>,
    asked: Option<Asked>,
    /// Hash from which the table is still missing.
    next_hash: u32,
    attempt: u32,
    next_attempt: clock::Instant,
    /// Host to ask next; a random seed when there is none.
    next_peer: Option<host::HostId>,
    /// When a host that has joined answered last, or this one was started.
    progress: clock::Instant,
    /// Pages that may be given now.
    tokens: f64,
    refilled: clock::Instant,
}

impl Join {
    /// A host called `id` that has not joined yet and knows `addresses`.
    pub fn new(id: host::HostId, addresses: &[net::SocketAddr], now: clock::Instant) -> Self {
        let seeds = addresses.iter().copied().map(host::HostId::new).filter(|&h| h != id);
        Self {
            seeds: seeds.collect(),
            awaits_directory: false,
            done: false,
            confirmed: false,
            unconfirmed_at: None,
            asked: None,
            next_hash: 0,
            attempt: 0,
            next_attempt: now,
            next_peer: None,
            progress: now,
            tokens: f64::INFINITY,
            refilled: now,
        }
    }

    /// When something is due next.
    pub fn wake(&self) -> Option<clock::Instant> {
        let due = self.asked.map_or(self.next_attempt, |a| a.deadline);
        (!self.done).then_some(due)
    }

    /// When hosts that are known from the directory alone come into doubt, if there are any.
    pub fn unconfirmed_at(&self) -> Option<clock::Instant> {
        self.unconfirmed_at
    }

    /// Whether the table was taken over.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The configured hosts but this one.
    pub fn addresses(&self) -> impl Iterator<Item = host::HostId> {
        self.seeds.iter().copied()
    }

    /// Puts the first attempt off by `wait`.
    pub fn delay(&mut self, wait: time::Duration) {
        self.next_attempt = self.next_attempt + wait;
    }

    /// Takes a token for one page, of which there are `rate` in a second.
    fn draw(&mut self, rate: f64, now: clock::Instant) -> bool {
        let grown = now.since(self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + grown).min(rate);
        self.refilled = now;
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

impl member::Member {
    /// Asks for the next page when it is time to.
    pub(super) fn run_join(&mut self) {
        if self.join.done {
            return;
        }
        let alone = self.now.since(self.join.progress) >= detect::millis(self.settings.alone_ms);
        if (self.join.seeds.is_empty() && !self.join.awaits_directory) || alone {
            self.finish_join(standing::Event::Alone);
            return;
        }
        if self.join.asked.take_if(|a| a.deadline <= self.now).is_some() {
            self.back_off(None);
        }
        if self.join.asked.is_none() && self.join.next_attempt <= self.now {
            self.ask_page();
        }
    }

    /// Makes a host that starts wait for the directory before it believes to be alone.
    pub fn await_directory(&mut self) {
        self.join.awaits_directory = true;
    }

    /// Takes the hosts that the directory lists, with what they say of themselves until they are heard
    /// from. After a start of all of 295 hosts at once each knows all the others with its first look;
    /// by pages and news alone it knew 45% of them 1.5 s later, and 73% after 5 s (virtual time).
    pub(super) fn merge_listed(&mut self, hosts: Vec<directory::Listed>) {
        self.join.awaits_directory = false;
        let mut strangers = Vec::new();
        for directory::Listed { host, profile } in hosts {
            if host == self.id {
                self.check_own_profile(profile);
                continue;
            }
            if !self.join.done {
                self.join.seeds.push(host);
            }
            if self.table.get(host).is_none() {
                strangers.push(host);
            }
            if let Some(profile) = profile {
                self.presume(host, profile);
            }
        }
        match self.join.done {
            true => self.greet(&strangers),
            false => self.run_join(),
        }
    }

    /// A host that starts with a clock behind that of its life before would not be believed.
    fn check_own_profile(&mut self, profile: Option<directory::Profile>) {
        let before = profile.map_or(0, |profile| profile.incarnation);
        if before >= self.own_version().0 {
            self.raise_incarnation(before);
        }
    }

    /// Takes `host` for what it said when it was listed; whatever is heard of it goes before that.
    fn presume(&mut self, host: host::HostId, profile: directory::Profile) {
        let record = table::Record {
            incarnation: profile.incarnation,
            serial: 0,
            locality: profile.locality.into(),
            upstream: profile.upstream.map(Into::into),
        };
        let change = self.table.merge(host, record, self.now);
        self.apply_change(host, change, updates::Priority::Plain, gossip::Source::Page);
        self.join.unconfirmed_at.get_or_insert(self.now + CONFIRM_TIMEOUT);
    }

    /// Whether a host that is known from the directory alone is likely to be gone: the mesh did not
    /// name it, or it was not heard from for a while. Such a host may still get calls, but nobody
    /// counts on it for others: a node that came back counted on hosts that had left while the
    /// directory could not be told, and left the reading of the log to them.
    pub(super) fn is_unconfirmed(&self, entry: &table::Entry) -> bool {
        let late = self.now.since(entry.since) >= CONFIRM_TIMEOUT;
        entry.record.serial == 0 && (self.join.confirmed || late)
    }

    /// Publishes that hosts have come into doubt.
    pub(super) fn run_unconfirmed(&mut self) {
        self.dirty |= self.join.unconfirmed_at.take_if(|due| *due <= self.now).is_some();
    }

    /// Tells this host to a few that it did not know, so that two parts of a mesh which lost each other
    /// come together again.
    fn greet(&mut self, strangers: &[host::HostId]) {
        let some: Vec<_> = strangers.sample(&mut self.rng, MAX_GREETED).copied().collect();
        for host in some {
            self.send_digest(host, wire::Prefix::default());
        }
    }

    fn ask_page(&mut self) {
        let seed = self.join.seeds.choose(&mut self.rng).copied();
        if let Some(peer) = self.join.next_peer.take().or(seed) {
            self.pull(peer);
        }
    }

    fn pull(&mut self, peer: host::HostId) {
        let deadline = self.now + 2 * detect::millis(self.settings.answer_ms);
        self.join.asked = Some(Asked { peer, deadline });
        self.send(peer, wire::Body::Pull { cursor: self.join.next_hash });
    }

    /// Waits a random time, up to a limit that doubles with each attempt, before asking again.
    fn back_off(&mut self, instead: Option<host::HostId>) {
        let doubled = self.settings.join_ms << self.join.attempt.min(10);
        let most = detect::millis(doubled.min(self.settings.join_most_ms));
        self.join.attempt += 1;
        self.join.next_peer = instead;
        self.join.next_attempt = self.now + most.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// `from` has no page to give now.
    pub(super) fn page_refused(&mut self, from: host::HostId, instead: Option<host::HostId>) {
        if self.join.asked.take_if(|a| a.peer == from).is_some() {
            self.join.progress = self.now;
            self.back_off(instead.filter(|&id| id != self.id));
        }
    }

    /// A page came from `from`.
    pub(super) fn receive_page(&mut self, from: host::HostId, next: Option<u32>, settled: bool) {
        if self.join.done || self.join.asked.take_if(|a| a.peer == from).is_none() {
            return;
        }
        if settled {
            // Hosts that all join at once must not wait for each other for ever.
            self.join.progress = self.now;
            self.join.attempt = 0;
        }
        match next {
            Some(cursor) => {
                self.join.next_hash = cursor;
                self.pull(from);
            }
            None if settled => self.finish_join(standing::Event::Joined),
            None => {
                self.join.next_hash = 0;
                self.back_off(None);
            }
        }
    }

    fn finish_join(&mut self, event: standing::Event) {
        self.join.done = true;
        self.join.confirmed = event == standing::Event::Joined;
        self.join.asked = None;
        self.dirty = true;
        log::info!(hosts = self.table.present(), how:? = event; "joined the mesh");
        self.change_standing(event);
        // What was sent so far went to the hosts asked for pages.
        self.queue_update(updates::Topic::Record(self.id), updates::Priority::Plain, 0);
    }

    /// Gives `to` the page of the table from `cursor` on, or says who else may.
    pub(super) fn send_page(&mut self, to: host::HostId, cursor: u32) {
        if !self.join.draw(f64::from(self.settings.pages), self.now) {
            let instead = self.sample(1, to).pop();
            self.send(to, wire::Body::Busy { instead });
            return;
        }
        let settled = self.join.done;
        let room = wire::Body::Page { next: Some(u32::MAX), settled };
        let mut packer = wire::Packer::new(self.id, room);
        let mut next = None;
        if cursor == 0 {
            self.quarantine.pack(&mut packer, self.now);
        }
        for (hash, id, entry) in self.table.starting_at(cursor) {
            if !entry.record.pack(id, &mut packer) {
                next = Some(hash);
                break;
            }
        }
        let mut datagram = packer.finish();
        datagram.body = wire::Body::Page { next, settled };
        self.out.push(member::Action::Send { to, datagram });
    }
}
