//! The plan of a fleet: its hosts, processes and settings.

use std::env;
use std::path;

use smol_str::SmolStr;

use crate::bench::fleet;
use crate::configs;

/// Paths of the two programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `dandelionspool`.
    pub node: path::PathBuf,
    /// `dandelionspool-bench`.
    pub bench: path::PathBuf,
}

impl Programs {
    /// The programs in the directory of the current one, where cargo puts them.
    pub fn beside() -> Result<Self, fleet::Error> {
        let own = env::current_exe().map_err(|e| fleet::Error::File("/proc/self/exe".into(), e))?;
        let dir = own.parent().unwrap_or(path::Path::new("."));
        let dir = if dir.ends_with("deps") { dir.parent().unwrap_or(dir) } else { dir };
        Ok(Self { node: dir.join("dandelionspool"), bench: dir.join("dandelionspool-bench") })
    }
}

/// A group of hosts whose upstreams have the same settings.
#[derive(Clone, Debug)]
pub struct Group {
    pub(super) service: SmolStr,
    pub(super) class: SmolStr,
    pub(super) count: usize,
    pub(super) slots: u16,
    pub(super) connections: u16,
    pub(super) cold_ms: u64,
    pub(super) grace_ms: u64,
    pub(super) mean_ms: f64,
    pub(super) means: Vec<(SmolStr, f64)>,
    pub(super) crash: Option<SmolStr>,
}

impl Group {
    /// `count` hosts with an upstream of `service` each: 9 slots, 130 connections, 10 ms a call.
    pub fn new(service: &str, count: usize) -> Self {
        Self {
            service: SmolStr::new(service),
            class: SmolStr::new(service),
            count,
            slots: 9,
            connections: 130,
            cold_ms: 0,
            grace_ms: 3000,
            mean_ms: 10.0,
            means: Vec::new(),
            crash: None,
        }
    }

    /// Class in the configuration; the service's name by default.
    pub fn class(mut self, class: &str) -> Self {
        self.class = SmolStr::new(class);
        self
    }

    /// Maximum number of concurrent calls of each upstream.
    pub fn slots(mut self, slots: u16) -> Self {
        self.slots = slots;
        self
    }

    /// Maximum number of open connections of each upstream.
    pub fn connections(mut self, connections: u16) -> Self {
        self.connections = connections;
        self
    }

    /// Length of the cold start of each upstream, in milliseconds.
    pub fn cold_ms(mut self, millis: u64) -> Self {
        self.cold_ms = millis;
        self
    }

    /// How long each upstream still accepts calls after it announced its drain, in milliseconds.
    pub fn grace_ms(mut self, millis: u64) -> Self {
        self.grace_ms = millis;
        self
    }

    /// Mean time of a call, in milliseconds.
    pub fn mean_ms(mut self, millis: f64) -> Self {
        self.mean_ms = millis;
        self
    }

    /// Path prefix of the calls that crash the upstream that runs them.
    pub fn crash(mut self, prefix: &str) -> Self {
        self.crash = Some(SmolStr::new(prefix));
        self
    }

    /// Mean time of calls under the path `prefix`, in milliseconds.
    pub fn mean_of(mut self, prefix: &str, millis: f64) -> Self {
        self.means.push((SmolStr::new(prefix), millis));
        self
    }
}

/// The plan of a fleet, built by chained setters.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) programs: Programs,
    pub(super) regions: usize,
    pub(super) zones: usize,
    pub(super) groups: Vec<Group>,
    pub(super) plain: usize,
    pub(super) settings: configs::Node,
    pub(super) configuration: Option<path::PathBuf>,
    pub(super) log_arguments: Vec<String>,
    pub(super) nodes: bool,
    pub(super) faults: bool,
}

impl Plan {
    /// A plan for a log stand-in only, with one region of four availability zones.
    pub fn new(programs: Programs) -> Self {
        Self {
            programs,
            regions: 1,
            zones: 4,
            groups: Vec::new(),
            plain: 0,
            settings: configs::Node::default(),
            configuration: None,
            log_arguments: Vec::new(),
            nodes: true,
            faults: false,
        }
    }

    /// Number of regions, to which the zones are assigned in turn.
    pub fn regions(mut self, regions: usize) -> Self {
        self.regions = regions.max(1);
        self
    }

    /// Total number of availability zones, to which the hosts are assigned in turn.
    pub fn zones(mut self, zones: usize) -> Self {
        self.zones = zones.max(1);
        self
    }

    /// Adds hosts with an upstream and a node each.
    pub fn group(mut self, group: Group) -> Self {
        self.groups.push(group);
        self
    }

    /// Number of hosts with a node but no upstream; they come last.
    pub fn hosts(mut self, count: usize) -> Self {
        self.plain = count;
        self
    }

    /// Settings of every node; the fleet fills in addresses, region, zone, join list and log.
    pub fn settings(mut self, settings: configs::Node) -> Self {
        self.settings = settings;
        self
    }

    /// Configuration file that is published before the nodes start.
    pub fn configuration(mut self, file: impl Into<path::PathBuf>) -> Self {
        self.configuration = Some(file.into());
        self
    }

    /// Further arguments of the log stand-in.
    pub fn log_arguments(mut self, arguments: &[&str]) -> Self {
        self.log_arguments = arguments.iter().map(ToString::to_string).collect();
        self
    }

    /// Whether the hosts have nodes; without them, upstreams can be measured alone.
    pub fn nodes(mut self, nodes: bool) -> Self {
        self.nodes = nodes;
        self
    }

    /// Puts every host and the log behind a fault proxy.
    pub fn faults(mut self) -> Self {
        self.faults = true;
        self
    }

    /// Number of hosts.
    pub fn host_count(&self) -> usize {
        self.plain + self.groups.iter().map(|g| g.count).sum::<usize>()
    }

    /// Number of processes, including the log stand-in and the fault proxy.
    pub fn process_count(&self) -> usize {
        let upstreams: usize = self.groups.iter().map(|g| g.count).sum();
        let nodes = if self.nodes { self.host_count() } else { 0 };
        1 + usize::from(self.faults) + upstreams + nodes
    }
}
