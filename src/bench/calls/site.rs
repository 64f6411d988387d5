//! The sites that are modelled, and the runs with their loads and faults.

use std::fmt;
use std::str;

use serde::Serialize;

use crate::bench::fleet;
use crate::bench::load;

/// Slots of each upstream, the same for both sites.
pub(super) const SLOTS: u16 = 9;

/// Host header of the calls; the routes of both examples match every host.
pub(super) const HOST: &str = "site.test";

/// A site whose services and load are modelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Cóndor Andino's catalogue: 9 upstreams.
    Condor,
    /// Cascadia's guest shop: 8 upstreams.
    Cascadia,
}

/// The name is not that of a preset or run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown name")]
pub struct Unknown;

impl str::FromStr for Preset {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        match name {
            "condor" => Ok(Self::Condor),
            "cascadia" => Ok(Self::Cascadia),
            _ => Err(Unknown),
        }
    }
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Condor => "condor",
            Self::Cascadia => "cascadia",
        })
    }
}

impl Preset {
    /// Path of the published configuration, relative to the root of the repository.
    pub(super) fn configuration(self) -> String {
        format!("examples/configurations/{self}.json")
    }

    /// Number of upstreams of the service under load.
    pub(super) const fn upstreams(self) -> usize {
        match self {
            Self::Condor => 9,
            Self::Cascadia => 8,
        }
    }

    /// Path whose calls take no time at the upstream, so that their latency is that of the nodes.
    pub(super) const fn quick(self) -> &'static str {
        match self {
            Self::Condor => "/titles/quick",
            Self::Cascadia => "/lists/quick",
        }
    }

    /// The group of hosts under load.
    pub(super) fn group(self, mean: f64) -> fleet::Group {
        let (service, connections) = match self {
            Self::Condor => ("catalogue", 130),
            Self::Cascadia => ("guest-shop", 120),
        };
        let group = fleet::Group::new(service, self.upstreams()).slots(SLOTS);
        group.connections(connections).mean_ms(mean).mean_of(self.quick(), 0.0)
    }

    /// The flows of calls by kind, with a total of `rate` calls per second.
    pub(super) fn flows(self, rate: f64) -> Vec<load::Flow> {
        let flow = |name, method, path, share: f64, weight| {
            load::Flow::new(name, method, path, rate * share).host(HOST).weight(weight)
        };
        match self {
            Self::Condor => vec![
                flow("browse", "GET", "/titles", 0.9, 1),
                flow("order", "POST", "/orders", 0.1, 20).body(200),
            ],
            Self::Cascadia => vec![
                flow("browse", "GET", "/lists", 0.85, 1),
                flow("reserve", "POST", "/reservations", 0.1, 10).body(200),
                flow("purchase", "POST", "/purchases", 0.05, 25).body(200),
            ],
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// Load in percent of capacity, without a fault.
    Load(u32),
    /// One upstream is five times as slow, at half load.
    Slow,
    /// One upstream reports that it is idle and sheds half of its calls, at half load.
    Lying,
    /// A new version is published in the middle, at half load.
    Change,
    /// One upstream is killed in the middle, at half load.
    Dead,
    /// One upstream drains in the middle, at half load.
    Drain,
}

/// Load of the runs with a fault, in percent of capacity.
const FAULT_LOAD: u32 = 50;

impl Case {
    /// Every run, in an order in which none affects the next.
    pub(super) const ALL: [Case; 9] = [
        Case::Load(50),
        Case::Load(90),
        Case::Load(150),
        Case::Load(200),
        Case::Slow,
        Case::Lying,
        Case::Change,
        Case::Dead,
        Case::Drain,
    ];

    /// Load in percent of the capacity without a fault.
    pub(super) const fn percent(self) -> u32 {
        match self {
            Self::Load(percent) => percent,
            _ => FAULT_LOAD,
        }
    }
}

impl str::FromStr for Case {
    type Err = Unknown;

    fn from_str(name: &str) -> Result<Self, Unknown> {
        match name {
            "slow" => Ok(Self::Slow),
            "lying" => Ok(Self::Lying),
            "change" => Ok(Self::Change),
            "dead" => Ok(Self::Dead),
            "drain" => Ok(Self::Drain),
            percent => percent.parse().map(Self::Load).map_err(|_| Unknown),
        }
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(percent) => write!(f, "{percent}"),
            Self::Slow => f.write_str("slow"),
            Self::Lying => f.write_str("lying"),
            Self::Change => f.write_str("change"),
            Self::Dead => f.write_str("dead"),
            Self::Drain => f.write_str("drain"),
        }
    }
}
