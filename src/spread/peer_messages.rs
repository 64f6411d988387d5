//! Handlers for messages of other nodes: announcements, pushes, queries and requests.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::delta;
use crate::host;
use crate::spread::decision::{Action, Spread, TransferId};
use crate::spread::dissemination;
use crate::spread::message;
use crate::spread::pull;
use crate::spread::start;
use crate::version;

/// Hosts served last that are remembered, so that a busy node can name another one to ask.
const MAX_RECENTLY_SERVED: usize = 8;

impl Spread {
    /// Membership reported that another host runs `version`.
    pub(super) fn handle_version_report(
        &mut self,
        host: host::HostId,
        version: version::Version,
        now: clock::Instant,
    ) {
        self.record_version(host, version);
        let delay = time::Duration::from_millis(self.settings.pull_ms);
        self.plan_pull(host, version, delay, now);
    }

    /// Dispatches a datagram to its handler.
    pub(super) fn handle_datagram(
        &mut self,
        host: host::HostId,
        datagram: message::Datagram,
        now: clock::Instant,
    ) {
        match datagram {
            message::Datagram::Ack { version } => self.record_version(host, version),
            message::Datagram::Announce { version_id, forwarding } => {
                self.handle_announce(host, version_id, forwarding, now)
            }
            message::Datagram::Query => self.handle_query(host),
            message::Datagram::Push { update, forwarding } => {
                self.handle_push(host, &update, forwarding, now)
            }
            message::Datagram::QueryReply { version_id, highest_run } => {
                self.handle_query_reply(host, version_id, highest_run, now)
            }
            message::Datagram::Request { have } => self.handle_request(host, have),
            message::Datagram::Renew { version, hops } => {
                self.record_version(host, version);
                self.handle_renewal((host, version), hops, now)
            }
        }
    }

    /// Records that `host` holds `version`. If that is at least the version held here, `host` is
    /// the witness that this node waited for.
    fn record_version(&mut self, host: host::HostId, version: version::Version) {
        self.peers.record(host, version);
        self.push.acknowledged(host, version);
        if version >= self.held().version {
            self.witness_deadline = None;
        }
    }

    /// Plans to pull `version` or a newer one from `host` after a random delay of up to
    /// `max_delay`.
    pub(super) fn plan_pull(
        &mut self,
        host: host::HostId,
        version: version::Version,
        max_delay: time::Duration,
        now: clock::Instant,
    ) {
        if version <= self.held().version {
            return;
        }
        self.pull.raise_target(version);
        if self.pull.state() == pull::State::Idle {
            self.pull.plan(host, max_delay, now, &mut self.rng);
        }
    }

    fn handle_announce(
        &mut self,
        host: host::HostId,
        version_id: version::VersionId,
        forwarding: message::Forwarding,
        now: clock::Instant,
    ) {
        self.record_version(host, version_id.version);
        if version_id.version <= self.held().version {
            self.handle_known_version(host, forwarding, now);
            return;
        }
        self.pull.raise_target(version_id.version);
        self.remember_forwarding(version_id.version, forwarding);
        if !self.pull.busy(now) {
            self.start_fetch(host, now);
        }
    }

    fn start_fetch(&mut self, host: host::HostId, now: clock::Instant) {
        let limit = time::Duration::from_millis(self.settings.transfer_ms);
        self.pull.fetch_started(host, now, now + limit);
        let have = self.held().version;
        self.actions.push(Action::Fetch { host, have });
    }

    fn handle_query(&mut self, host: host::HostId) {
        let highest_run = self.peers.highest_run(host);
        let version_id = self.held();
        self.peers.restarted(host);
        self.send(host, message::Datagram::QueryReply { version_id, highest_run });
    }

    fn handle_query_reply(
        &mut self,
        host: host::HostId,
        version_id: version::VersionId,
        highest_run: version::Version,
        now: clock::Instant,
    ) {
        self.min_version = self.min_version.max(highest_run);
        self.reported = self.reported.max(version_id.version);
        self.record_version(host, version_id.version);
        self.plan_pull(host, version_id.version, time::Duration::ZERO, now);
        self.advance_start(start::Event::Answered, now);
    }

    fn handle_push(
        &mut self,
        host: host::HostId,
        update: &message::Update,
        forwarding: message::Forwarding,
        now: clock::Instant,
    ) {
        self.record_version(host, update.version_id.version);
        if update.version_id.version <= self.held().version {
            self.handle_known_version(host, forwarding, now);
            return;
        }
        self.pull.raise_target(update.version_id.version);
        self.remember_forwarding(update.version_id.version, forwarding);
        match self.apply_update(host, update, now) {
            true => self.acknowledge(host, forwarding),
            false if forwarding != message::Forwarding::Reply => self.request_from(host, now),
            false => self.pull_failed(host, None, now),
        }
    }

    /// Handles a push or announcement of a version that this node already holds.
    fn handle_known_version(
        &mut self,
        host: host::HostId,
        forwarding: message::Forwarding,
        now: clock::Instant,
    ) {
        self.acknowledge(host, forwarding);
        if forwarding != message::Forwarding::Reply {
            self.forward(self.replica.previous_version(), now);
        }
    }

    fn remember_forwarding(&mut self, version: version::Version, forwarding: message::Forwarding) {
        if forwarding != message::Forwarding::Reply {
            self.pull.remember_forwarding(version, forwarding);
        }
    }

    fn acknowledge(&mut self, host: host::HostId, forwarding: message::Forwarding) {
        if forwarding == message::Forwarding::ForwardAck {
            let version = self.held().version;
            self.send(host, message::Datagram::Ack { version });
        }
    }

    /// Applies an update; false when it can't be used.
    fn apply_update(
        &mut self,
        host: host::HostId,
        update: &message::Update,
        now: clock::Instant,
    ) -> bool {
        let base = match update.patch {
            delta::Patch::Delta(_) => update.base,
            _ => self.held().version,
        };
        match self.replica.apply(update) {
            Ok(true) => self.version_held(base, dissemination::Source::Peer(host), now),
            Ok(false) => {}
            Err(error) => {
                let version = update.version_id.version.number();
                log::info!(version, error:% = error; "could not apply an update from {host}");
                return false;
            }
        }
        true
    }

    /// Requests the newest version from `host`, unless a transfer is in progress.
    fn request_from(&mut self, host: host::HostId, now: clock::Instant) {
        if self.pull.busy(now) {
            return;
        }
        let wait = self.settings.retry().mul_f64(self.rng.random_range(0.75..1.25));
        self.pull.requested(host, now + wait);
        let have = self.held().version;
        self.send(host, message::Datagram::Request { have });
    }

    fn handle_request(&mut self, host: host::HostId, have: version::Version) {
        self.record_version(host, have);
        if have < self.held().version {
            self.send_held(host, have, message::Forwarding::Reply);
        }
    }

    /// Retries a pull from `host` that gave no newer version; `other` is a host to try instead.
    fn pull_failed(
        &mut self,
        host: host::HostId,
        other: Option<host::HostId>,
        now: clock::Instant,
    ) {
        self.pull.failed(host);
        if self.pull.target() <= self.held().version {
            return;
        }
        let next = other.filter(|&o| o != self.identity.host && !self.pull.tried().contains(&o));
        self.retry_pull(next, now);
    }

    /// Plans another pull, from `next` or else from any host known to hold the target version.
    fn retry_pull(&mut self, next: Option<host::HostId>, now: clock::Instant) {
        let Some(next) = next.or_else(|| self.other_holder()) else {
            self.pull.give_up(self.held().version);
            return;
        };
        let max_delay = self.pull.max_delay(self.settings.retry());
        self.pull.plan(next, max_delay, now, &mut self.rng);
    }

    /// A host that holds the target version, preferably one whose pull has not failed.
    fn other_holder(&mut self) -> Option<host::HostId> {
        let target = self.pull.target();
        let untried = self.peers.holder(target, self.pull.tried(), &mut self.rng);
        untried.or_else(|| self.peers.holder(target, &[], &mut self.rng))
    }

    /// Sends the planned request when it is due, or retries elsewhere when a request has timed out.
    pub(super) fn tick_pull(&mut self, now: clock::Instant) {
        match self.pull.state() {
            pull::State::Planned { host, due } if due <= now => self.request_from(host, now),
            pull::State::Requested { host, due } | pull::State::Fetching { host, due, .. }
                if due <= now =>
            {
                self.pull.failed(host);
                self.retry_pull(None, now);
            }
            _ => {}
        }
    }

    /// Handles the end of a transfer that this node requested; `None` when it failed.
    pub(super) fn handle_fetched(
        &mut self,
        host: host::HostId,
        served: Option<message::FetchReply>,
        now: clock::Instant,
    ) {
        let expected = self.pull.is_fetching_from(host);
        match served {
            Some(message::FetchReply::Update(update)) => {
                let forwarding = self.pull.forwarding(update.version_id.version);
                if self.apply_update(host, &update, now) {
                    self.acknowledge(host, forwarding.unwrap_or(message::Forwarding::Reply));
                }
                if expected && self.pull.is_fetching_from(host) {
                    self.pull_failed(host, None, now);
                }
            }
            Some(message::FetchReply::Busy { other }) if expected => {
                self.pull_failed(host, other, now)
            }
            Some(message::FetchReply::UpToDate) | None if expected => {
                self.pull_failed(host, None, now)
            }
            _ => {}
        }
    }

    /// Handles another node's request for a transfer.
    pub(super) fn handle_fetch(&mut self, transfer: TransferId, fetch: &message::Fetch) {
        self.record_version(fetch.host, fetch.have);
        self.push.fetched(fetch.host);
        let reply = self.fetch_reply(fetch);
        self.actions.push(Action::Reply { transfer, reply });
    }

    fn fetch_reply(&mut self, fetch: &message::Fetch) -> message::FetchReply {
        if fetch.have >= self.held().version {
            return message::FetchReply::UpToDate;
        }
        if self.transfers_served >= self.settings.transfers {
            let other = self.recently_served.pop_front();
            self.recently_served.extend(other);
            return message::FetchReply::Busy { other };
        }
        let Some(update) = self.replica.update_from(fetch.have) else {
            return message::FetchReply::UpToDate;
        };
        self.transfers_served += 1;
        self.recently_served.push_back(fetch.host);
        if self.recently_served.len() > MAX_RECENTLY_SERVED {
            self.recently_served.pop_front();
        }
        message::FetchReply::Update(update)
    }
}
