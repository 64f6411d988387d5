//! The lease under which a node relies on others to read the log for it.
//!
//! Few hosts of each availability zone read the log. Membership notices the loss of one host at a
//! time, so that a node whose readers are all lost at once would not read the log for seconds. So
//! readers renew a lease of the hosts of their zone along a tree; a node whose lease has expired
//! reads the log by itself, and renews the leases below it in the tree, whatever has become of
//! those above.
//!
//! A renewal tells the version that its sender holds. It reaches the hosts which the push of that
//! version does not, as hosts that are lost would have forwarded it.

use std::time;

use rand::RngExt;

use crate::clock;
use crate::host;
use crate::spread::decision::Spread;
use crate::spread::message;
use crate::version;

/// Time between two renewals by one reader.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Time for which a lease is valid: two renewals may be lost.
const LEASE_TIME: time::Duration = time::Duration::from_millis(1200);

/// Maximum random time after that, so that the hosts of a zone don't all read at the same instant.
const MAX_EXPIRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Hosts that a renewal passes at most. Nodes with different views of their zone may renew each
/// other's leases in a ring, in which a renewal has to end.
pub const MAX_HOPS: u8 = 8;

/// A node's lease, and its renewals of others.
#[derive(Debug, Default)]
pub struct Lease {
    /// When it expires; `None` before the first check.
    expires: Option<clock::Instant>,
    /// Whether it has expired.
    expired: bool,
    /// When the next renewal of others is due, if this node is a reader.
    next_renewal: clock::Instant,
    /// A version that a renewal told of and that this node does not hold yet.
    told: Option<version::Version>,
}

impl Lease {
    /// Whether this node has to read the log by itself.
    pub const fn has_expired(&self) -> bool {
        self.expired
    }

    /// When the state may change by itself.
    fn due(&self, is_reader: bool) -> Option<clock::Instant> {
        let expiry = self.expires.filter(|_| !self.expired);
        if is_reader { Some(self.next_renewal) } else { expiry }
    }
}

impl Spread {
    /// When the lease expires, or when those of others have to be renewed.
    pub(super) fn lease_due(&self) -> Option<clock::Instant> {
        if !self.started() || self.peers.zone().len() == 1 {
            return None;
        }
        self.lease.due(self.is_reader() || self.lease.expired)
    }

    /// Renews the leases of others if this node reads the log, or checks its own.
    pub(super) fn tick_lease(&mut self, now: clock::Instant) {
        if !self.started() {
            return;
        }
        if self.is_reader() {
            self.lease.expired = false;
            self.lease.expires = None;
        } else if self.lease.expires.is_none() {
            self.extend_lease(now);
        }
        if self.lease.expires.is_some_and(|at| at <= now) && !self.lease.expired {
            log::warn!("no host that reads the log for this one is heard; reading it");
            self.lease.expired = true;
            self.lease.next_renewal = now;
        }
        let held = self.held().version;
        let arrived = self.lease.told.take_if(|told| *told <= held).is_some();
        let renews = self.is_reader() || self.lease.expired;
        if arrived || (renews && self.lease.next_renewal <= now) {
            self.lease.next_renewal = now + RENEWAL_INTERVAL;
            self.renew_below(MAX_HOPS);
        }
    }

    /// Renews the leases of others at once if this node reads the log in place of a lost host.
    pub(super) fn tell_version(&mut self, now: clock::Instant) {
        if self.lease.expired {
            self.lease.next_renewal = now;
        }
    }

    /// Handles a renewal of this node's lease by a host that holds a version; it may pass `hops`
    /// hosts.
    pub(super) fn handle_renewal(
        &mut self,
        (host, version): (host::HostId, version::Version),
        hops: u8,
        now: clock::Instant,
    ) {
        if version > self.held().version {
            self.lease.told = self.lease.told.max(Some(version));
            let delay = time::Duration::from_millis(self.settings.pull_ms);
            self.plan_pull(host, version, delay, now);
        }
        if self.is_reader() {
            return;
        }
        if self.lease.expired {
            log::info!("a host that reads the log for this one is heard again");
        }
        self.lease.expired = false;
        self.extend_lease(now);
        if let Some(hops) = hops.min(MAX_HOPS).checked_sub(1).filter(|hops| *hops > 0) {
            self.renew_below(hops);
        }
    }

    /// Whether this node is one of its zone's hosts that read the log.
    fn is_reader(&self) -> bool {
        self.peers.rank() < usize::from(self.settings.readers)
    }

    fn extend_lease(&mut self, now: clock::Instant) {
        let delay = MAX_EXPIRY_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
        self.lease.expires = Some(now + LEASE_TIME + delay);
    }

    fn renew_below(&mut self, hops: u8) {
        let (fanout, readers) = (self.settings.fanout, self.settings.readers);
        let version = self.held().version;
        for host in self.peers.lease_children(usize::from(fanout), usize::from(readers)) {
            self.send(host, message::Datagram::Renew { version, hops });
        }
    }
}
