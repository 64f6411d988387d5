//! What an upstream is made of.

use std::net;
use std::time;

use smol_str::SmolStr;

/// Settings of an [`Server`](super::Server), built by chained setters.
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
    /// An upstream of `service` that takes calls at `address` and control on the port after it
    /// (port 0 gives two free ones). 9 slots, 130 connections, 10 ms a call, warm from the start.
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

    /// Announces itself to the node whose admin address is `admin`.
    pub fn admin(mut self, admin: net::SocketAddr) -> Self {
        self.admin = Some(admin);
        self
    }

    /// Name of its class in the configuration; the service's name by default.
    pub fn class(mut self, class: &str) -> Self {
        self.class = SmolStr::new(class);
        self
    }

    /// Calls it runs at once; it sheds those beyond.
    pub fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Connections it keeps open; it closes those beyond at once.
    pub fn connections(mut self, connections: u16) -> Self {
        self.connections = connections;
        self
    }

    /// Time after its start in which calls take up to four times as long, falling linearly.
    pub fn cold(mut self, cold: time::Duration) -> Self {
        self.cold = cold;
        self
    }

    /// How long it still runs calls after it has announced that it drains.
    pub fn grace(mut self, grace: time::Duration) -> Self {
        self.grace = grace;
        self
    }

    /// Mean time of a call; times are spread evenly from half to one and a half of it.
    pub fn mean(mut self, mean: time::Duration) -> Self {
        self.mean = mean;
        self
    }

    /// Mean time of calls whose path starts with `prefix`; the first match counts.
    pub fn mean_of(mut self, prefix: &str, mean: time::Duration) -> Self {
        self.means.push((SmolStr::new(prefix), mean));
        self
    }

    /// Ends the process in place of an answer to calls whose path starts with `prefix`.
    pub fn crash(mut self, prefix: &str) -> Self {
        self.crash = Some(SmolStr::new(prefix));
        self
    }

    /// Seed of the service times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Whether a call at `path` ends the process.
    pub(super) fn crashes(&self, path: &str) -> bool {
        self.crash.as_ref().is_some_and(|prefix| path.starts_with(prefix.as_str()))
    }

    /// Time the call `id` at `path` takes when warm: the same for the same seed.
    pub(super) fn time_of(&self, path: &str, id: &str) -> time::Duration {
        let own = self.means.iter().find(|(prefix, _)| path.starts_with(prefix.as_str()));
        let mean = own.map_or(self.mean, |(_, mean)| *mean);
        mean.mul_f64(0.5 + share(self.seed, "time", id))
    }
}

/// A number in 0..1 that depends on `seed`, `duty` and `id` only.
pub(super) fn share(seed: u64, duty: &str, id: &str) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(duty.as_bytes());
    hasher.update(id.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    f64::from(u32::from_le_bytes(first)) / (f64::from(u32::MAX) + 1.0)
}
