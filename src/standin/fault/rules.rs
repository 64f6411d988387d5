//! Which faults hold between which hosts.

use std::net;
use std::time;

use rand::RngExt as _;
use serde::{Deserialize, Serialize};

/// What goes wrong. The default is nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of each datagram and each write, in milliseconds.
    pub delay_ms: u64,
    /// Most added to the delay of a datagram by chance, in milliseconds; reorders them.
    pub jitter_ms: u64,
    /// Share of datagrams lost, 0 to 1.
    pub loss: f64,
    /// Share of datagrams that arrive twice, 0 to 1.
    pub twice: f64,
    /// Loses every datagram, resets every connection and refuses new ones.
    pub cut: bool,
    /// Half-open: loses every datagram; connections stay open and carry nothing.
    pub hang: bool,
    /// Most bytes a second on each direction of a connection; 0 is no bound.
    pub rate: usize,
    /// Resets a connection once it has carried this many bytes back; 0 is never.
    pub cut_after: u64,
}

/// Faults for what goes from some hosts to others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rule {
    /// Base addresses of the hosts it comes from; empty is every one. Connections come from an
    /// unknown host.
    pub from: Vec<net::SocketAddr>,
    /// Base addresses of the hosts, or listening addresses of the links, it goes to; empty is
    /// every one.
    pub to: Vec<net::SocketAddr>,
    /// Ports it goes to, counted from the base port; empty is every one.
    pub ports: Vec<u16>,
    /// What goes wrong.
    pub faults: Faults,
}

/// Where something comes from and goes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Way {
    /// Base address of the host it comes from, if known.
    pub from: Option<net::SocketAddr>,
    /// Base address of the host, or listening address of the link.
    pub to: net::SocketAddr,
    /// Port, counted from the base port.
    pub port: u16,
}

impl Rule {
    fn matches(&self, way: Way) -> bool {
        let from = self.from.is_empty() || way.from.is_some_and(|from| self.from.contains(&from));
        let to = self.to.is_empty() || self.to.contains(&way.to);
        from && to && (self.ports.is_empty() || self.ports.contains(&way.port))
    }
}

/// The faults on `way`: those of the first rule that matches.
pub fn faults(rules: &[Rule], way: Way) -> Faults {
    rules.iter().find(|rule| rule.matches(way)).map(|rule| rule.faults).unwrap_or_default()
}

impl Faults {
    /// Delays after which copies of one datagram arrive; none when it is lost.
    pub fn copies<R: rand::Rng>(&self, rng: &mut R) -> Vec<time::Duration> {
        if self.cut || self.hang || rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return Vec::new();
        }
        let count = if rng.random_bool(self.twice.clamp(0.0, 1.0)) { 2 } else { 1 };
        let delays = (0..count).map(|_| self.delay_ms + rng.random_range(0..=self.jitter_ms));
        delays.map(time::Duration::from_millis).collect()
    }
}
