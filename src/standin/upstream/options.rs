//! Settings of an upstream stand-in.

use std::net;
use std::time;

use smol_str::SmolStr;

/// Settings of a [`Server`](super::Server), built by chained setters.
#[derive(Clone, Debug)]
pub struct Options {
    pub(super) address: net::SocketAddr,
    pub(super) control: net::SocketAddr,
    pub(super) admin: Option<net::SocketAddr>,
    pub(super) service: SmolStr,
    pub(super) class: SmolStr,
    pub(super) slots: u16,
    pub(super) connections: u16,
    pub(super) cold: time::Duration,
    pub(super) grace: time::Duration,
    pub(super) mean: time::Duration,
    pub(super) means: Vec<(SmolStr, time::Duration)>,
    pub(super) crash: Option<SmolStr>,
    pub(super) seed: u64,
}

impl Options {
    /// An upstream of `service` that listens for calls at `address` and for control on the next
    /// port; with port 0, on two free ports. The defaults are 9 slots, 130 connections, 10 ms per
    /// call and no cold start.
    pub fn new(address: net::SocketAddr, service: &str) -> Self {
        let port = if address.port() == 0 { 0 } else { address.port().wrapping_add(1) };
        Self {
            address,
            control: net::SocketAddr::new(address.ip(), port),
            admin: None,
            service: SmolStr::new(service),
            class: SmolStr::new(service),
            slots: 9,
            connections: 130,
            cold: time::Duration::ZERO,
            grace: time::Duration::from_secs(3),
            mean: time::Duration::from_millis(10),
            means: Vec::new(),
            crash: None,
            seed: 0,
        }
    }

    /// Admin address of the node to which it announces itself; by default it does not.
    pub fn admin(mut self, admin: net::SocketAddr) -> Self {
        self.admin = Some(admin);
        self
    }

    /// Name of its class in the configuration; the service's name by default.
    pub fn class(mut self, class: &str) -> Self {
        self.class = SmolStr::new(class);
        self
    }

    /// Maximum number of concurrent calls; it sheds the others.
    pub fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Maximum number of open connections; it closes further ones at once.
    pub fn connections(mut self, connections: u16) -> Self {
        self.connections = connections;
        self
    }

    /// Length of the cold start. Calls take four times as long at first, falling linearly to once.
    pub fn cold(mut self, cold: time::Duration) -> Self {
        self.cold = cold;
        self
    }

    /// How long it still accepts calls after it has announced its drain.
    pub fn grace(mut self, grace: time::Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Mean time of a call; times are uniformly distributed from 0.5 to 1.5 times the mean.
    pub fn mean(mut self, mean: time::Duration) -> Self {
        self.mean = mean;
        self
    }

    /// Mean time of calls whose path starts with `prefix`; the first matching prefix applies.
    pub fn mean_of(mut self, prefix: &str, mean: time::Duration) -> Self {
        self.means.push((SmolStr::new(prefix), mean));
        self
    }

    /// Exits the process instead of responding to a call whose path starts with `prefix`.
    pub fn crash(mut self, prefix: &str) -> Self {
        self.crash = Some(SmolStr::new(prefix));
        self
    }

    /// Seed of the call times and of the random faults.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Whether a call at `path` exits the process.
    pub(super) fn crashes(&self, path: &str) -> bool {
        self.crash.as_ref().is_some_and(|prefix| path.starts_with(prefix.as_str()))
    }

    /// Time of the call `id` at `path` when warm, which depends on the seed only.
    pub(super) fn time_of(&self, path: &str, id: &str) -> time::Duration {
        let own = self.means.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()));
        let mean = own.map_or(self.mean, |(_, mean)| *mean);
        mean.mul_f64(0.5 + share(self.seed, "time", id))
    }
}

/// A pseudo-random number in 0..1 for `id`; each `purpose` has a sequence of its own.
pub(super) fn share(seed: u64, purpose: &str, id: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(purpose.as_bytes());
    hasher.update(id.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    f64::from(u32::from_le_bytes(first)) / (f64::from(u32::MAX) + 1.0)
}
