//! Joining the mesh: copying the table of another host page by page, and serving such pages to
//! others.

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

/// Time after which a host that is known from the directory alone counts as suspect. When all
/// 295 hosts of a mesh start at once, half of them have made contact within two seconds.
const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Unknown hosts of a directory list to which digests are sent: one that answers knows the others.
const MAX_GREETED: usize = 8;

/// A page request that is in flight.
#[derive(Clone, Copy, Debug)]
struct Asked {
    peer: host::HostId,
    deadline: clock::Instant,
}

/// Progress of this host's own join, and the rate limit on the pages it serves to others.
#[derive(Clone, Debug)]
pub struct Join {
    /// Hosts to ask for pages: the configured ones and those the directory lists, except this one.
    seeds: Vec<host::HostId>,
    /// Whether the first list of the directory is still outstanding.
    awaits_directory: bool,
    done: bool,
    /// Whether the table was copied from a host that had joined itself.
    confirmed: bool,
    /// When hosts that are known from the directory alone become suspect; `None` without such
    /// hosts.
    unconfirmed_at: Option<clock::Instant>,
    asked: Option<Asked>,
    /// Lowest hash of the part of the table that is still to be copied.
    next_hash: u32,
    /// Consecutive attempts that brought no page.
    attempt: u32,
    next_attempt: clock::Instant,
    /// Host to ask next; `None` for a random seed.
    next_peer: Option<host::HostId>,
    /// When a joined host last served a page or any host refused one; at first the start.
    progress: clock::Instant,
    /// Pages that may be served now (token bucket).
    tokens: f64,
    refilled: clock::Instant,
}

impl Join {
    /// The state of host `id` before it joins, with the configured `addresses` as seeds.
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

    /// When the next step of the join is due; `None` once it is done.
    pub fn wake(&self) -> Option<clock::Instant> {
        let due = self.asked.map_or(self.next_attempt, |a| a.deadline);
        (!self.done).then_some(due)
    }

    /// When hosts that are known from the directory alone become suspect; `None` without such
    /// hosts.
    pub fn unconfirmed_at(&self) -> Option<clock::Instant> {
        self.unconfirmed_at
    }

    /// Whether the join has ended: the table was copied, or nobody was there to copy it from.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// The hosts to join through, except this one.
    pub fn addresses(&self) -> impl Iterator<Item = host::HostId> {
        self.seeds.iter().copied()
    }

    /// Delays the first attempt by `wait`.
    pub fn delay(&mut self, wait: time::Duration) {
        self.next_attempt = self.next_attempt + wait;
    }

    /// Takes the token for one page; `false` when there is none. `rate` tokens are added in each
    /// second.
    fn take_token(&mut self, rate: f64, now: clock::Instant) -> bool {
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
    /// Asks for the next page when the attempt is due.
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

    /// Makes a host that starts wait for the first list of the directory before it concludes that
    /// it is alone.
    pub fn await_directory(&mut self) {
        self.join.awaits_directory = true;
    }

    /// Merges the hosts that the directory lists, with the profiles they registered, until they
    /// make contact themselves. When all 295 hosts of a mesh start at once, each knows all the
    /// others from its first list; by pages and gossip alone it knew 45% of them after 1.5 s and
    /// 73% after 5 s of virtual time.
    pub(super) fn merge_listed(&mut self, hosts: Vec<directory::Listed>) {
        self.join.awaits_directory = false;
        let mut unknown = Vec::new();
        for directory::Listed { host, profile } in hosts {
            if !host.has_valid_ports() {
                log::warn!(host:% = host; "ignoring an entry of the directory with an invalid port");
                continue;
            }
            if host == self.id {
                self.check_own_profile(profile);
                continue;
            }
            if !self.join.done {
                self.join.seeds.push(host);
            }
            if self.table.get(host).is_none() {
                unknown.push(host);
            }
            if let Some(profile) = profile {
                self.presume(host, profile);
            }
        }
        match self.join.done {
            true => self.greet(&unknown),
            false => self.run_join(),
        }
    }

    /// Raises the incarnation of a host whose clock is behind that of its former process: with a
    /// lower incarnation than the registered one its records would be ignored.
    fn check_own_profile(&mut self, profile: Option<directory::Profile>) {
        let registered = profile.as_ref().map_or(0, |profile| profile.incarnation);
        for leave in profile.into_iter().flat_map(|profile| profile.leaves) {
            self.merge_leave(self.id, leave, 0);
        }
        if registered >= self.record_version().0 {
            self.raise_incarnation(registered);
        }
    }

    /// Adds `host` with its registered profile at serial 0, below every record of its own.
    fn presume(&mut self, host: host::HostId, profile: directory::Profile) {
        let record = table::Record {
            incarnation: profile.incarnation,
            serial: 0,
            locality: profile.locality.into(),
            upstream: profile.upstream.map(Into::into),
        };
        // A record that fits no datagram could not be passed on, and a page that begins with it
        // would never end.
        if !record.pack(host, &mut wire::Packer::new(self.id, wire::Body::Gossip)) {
            log::warn!(host:% = host; "ignoring a host profile of the directory that is too large");
            return;
        }
        let change = self.table.merge(host, record, self.now);
        self.apply_change(host, change, updates::Priority::Plain, gossip::Source::Page);
        self.join.unconfirmed_at.get_or_insert(self.now + CONFIRM_TIMEOUT);
    }

    /// Whether `entry` is known from the directory alone and the host is likely to be gone: the
    /// copied table did not contain it, or it made no contact for a while. Such a host may still
    /// get calls but is not relied on for shared work: a restarted node would otherwise leave the
    /// reading of the log to hosts that left the mesh without being able to deregister.
    pub(super) fn is_unconfirmed(&self, entry: &table::Entry) -> bool {
        let late = self.now.since(entry.since) >= CONFIRM_TIMEOUT;
        entry.record.serial == 0 && (self.join.confirmed || late)
    }

    /// Marks the view as changed once unconfirmed hosts become suspect.
    pub(super) fn run_unconfirmed(&mut self) {
        self.dirty |= self.join.unconfirmed_at.take_if(|due| *due <= self.now).is_some();
    }

    /// Sends digests to a few hosts that were unknown until now, so that two parts of a mesh which
    /// lost each other merge again.
    fn greet(&mut self, unknown: &[host::HostId]) {
        let some: Vec<_> = unknown.sample(&mut self.rng, MAX_GREETED).copied().collect();
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

    /// Delays the next attempt by a random time, up to a limit that doubles with each attempt. The
    /// next attempt goes to `instead`, if given.
    fn back_off(&mut self, instead: Option<host::HostId>) {
        let doubled = self.settings.join_ms << self.join.attempt.min(10);
        let max = detect::millis(doubled.min(self.settings.join_most_ms));
        self.join.attempt += 1;
        self.join.next_peer = instead;
        self.join.next_attempt = self.now + max.mul_f64(self.rng.random_range(0.0..1.0));
    }

    /// Handles the refusal of a page by `from`, which may have named another host to ask.
    pub(super) fn page_refused(&mut self, from: host::HostId, instead: Option<host::HostId>) {
        if self.join.asked.take_if(|a| a.peer == from).is_some() {
            self.join.progress = self.now;
            self.back_off(instead.filter(|&id| id != self.id));
        }
    }

    /// Handles the end of a page from `from`, whose items are merged already.
    pub(super) fn receive_page(&mut self, from: host::HostId, next: Option<u32>, joined: bool) {
        if self.join.done || self.join.asked.take_if(|a| a.peer == from).is_none() {
            return;
        }
        if joined {
            // Only a host that has joined counts: hosts that all join at once must not wait for
            // each other for ever.
            self.join.progress = self.now;
            self.join.attempt = 0;
        }
        match next {
            Some(cursor) => {
                self.join.next_hash = cursor;
                self.pull(from);
            }
            None if joined => self.finish_join(standing::Event::Joined),
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
        log::info!(hosts = self.table.present_count(), how:? = event; "joined the mesh");
        self.change_standing(event);
        // So far this host's record has reached only the hosts that were asked for pages.
        self.queue_update(updates::Topic::Record(self.id), updates::Priority::Plain, 0);
    }

    /// Sends `to` the page of the table from hash `cursor` on, or names another host when the rate
    /// limit is reached.
    pub(super) fn send_page(&mut self, to: host::HostId, cursor: u32) {
        if !self.join.take_token(f64::from(self.settings.pages), self.now) {
            let instead = self.sample(1, to).pop();
            self.send(to, wire::Body::Busy { instead });
            return;
        }
        let joined = self.join.done;
        let room = wire::Body::Page { next: Some(u32::MAX), joined };
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
        datagram.body = wire::Body::Page { next, joined };
        self.out.push(member::Action::Send { to, datagram });
    }
}
