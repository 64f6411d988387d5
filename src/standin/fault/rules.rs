//! Rules that say which faults apply between which hosts.

use std::net;
use std::time;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// Faults to inject. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each datagram and each write, in milliseconds.
    pub delay_ms: u64,
    /// Maximum random addition to a datagram's delay, in milliseconds; reorders datagrams.
    pub jitter_ms: u64,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, 0 to 1.
    pub twice: f64,
    /// Loses every datagram, resets every connection and refuses new ones.
    pub cut: bool,
    /// Half-open: loses every datagram; connections stay open and carry nothing.
    pub hang: bool,
    /// Maximum bytes per second in each direction of a connection; 0 is unlimited.
    pub rate: usize,
    /// Resets a connection once this many bytes have gone back to the caller; 0 is never.
    pub cut_after: u64,
}

/// Faults for the traffic from some hosts to others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Base addresses of the sending hosts; empty matches all. The sender of a connection is never
    /// known, so only an empty list matches it.
    pub from: Vec<net::SocketAddr>,
    /// Base addresses of the receiving hosts, or listening addresses of links; empty matches all.
    pub to: Vec<net::SocketAddr>,
    /// Destination ports as offsets from the base port; empty matches all.
    pub ports: Vec<u16>,
    /// Faults that apply to this traffic.
    pub faults: Faults,
}

/// Source and destination of a datagram or connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Base address of the sending host; `None` if unknown.
    pub from: Option<net::SocketAddr>,
    /// Base address of the receiving host, or listening address of the link.
    pub to: net::SocketAddr,
    /// Destination port as an offset from the base port; 0 for a link.
    pub port: u16,
}

impl Rule {
    fn matches(&self, route: Route) -> bool {
        let from = self.from.is_empty() || route.from.is_some_and(|from| self.from.contains(&from));
        let to = self.to.is_empty() || self.to.contains(&route.to);
        from && to && (self.ports.is_empty() || self.ports.contains(&route.port))
    }
}

/// The faults on `route`: those of the first rule that matches.
pub fn faults(rules: &[Rule], route: Route) -> Faults {
    rules.iter().find(|rule| rule.matches(route)).map(|rule| rule.faults).unwrap_or_default()
}

impl Faults {
    /// The delay of each copy of one datagram; empty when it is lost.
    pub fn copies<R: rand::Rng>(&self, rng: &mut R) -> Vec<time::Duration> {
        if self.cut || self.hang || rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return Vec::new();
        }
        let count = if rng.random_bool(self.twice.clamp(0.0, 1.0)) { 2 } else { 1 };
        let delays = (0..count).map(|_| self.delay_ms + rng.random_range(0..=self.jitter_ms));
        delays.map(time::Duration::from_millis).collect()
    }
}
