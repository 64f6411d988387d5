//! Settings of a small mesh in one process.

use std::collections;
use std::net;
use std::path;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::configs;
use crate::configs::limits;
use crate::configs::load;
use crate::mesh;
use crate::mesh::fault;

#[cfg(test)]
mod tests;

/// Maximum number of hosts of a small mesh.
pub const MAX_HOSTS: u64 = 250;

/// Maximum value of a duration of an upstream stand-in.
const MAX_DURATION_MS: u64 = 600_000;

/// Settings of a small mesh in one process, on loopback.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Local {
    /// Configuration file published at the start, as a path relative to the settings file.
    pub configuration: path::PathBuf,
    /// Base address of the first host; each further host gets the next IP address.
    pub listen: net::SocketAddr,
    /// Port of each upstream, at the IP address of its host; the control port is the next port.
    pub upstream_port: u16,
    /// Region of every host.
    pub region: SmolStr,
    /// The stand-in for the platform's log service.
    pub log: Log,
    /// Upstreams by the name of their class in the configuration file.
    pub upstreams: collections::BTreeMap<SmolStr, Group>,
    /// Settings of every node; addresses, region, zone, mesh and key are filled in.
    pub node: configs::Node,
}

impl Default for Local {
    fn default() -> Self {
        Self {
            configuration: path::PathBuf::new(),
            listen: net::SocketAddr::from((net::Ipv4Addr::new(127, 7, 0, 1), 7100)),
            upstream_port: 7200,
            region: SmolStr::new_static("region"),
            log: Log::default(),
            upstreams: collections::BTreeMap::new(),
            node: configs::Node::default(),
        }
    }
}

/// Settings of the stand-in for the platform's log service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Address it listens on.
    pub address: net::SocketAddr,
    /// Maximum number of appends per second.
    pub appends: u32,
    /// Time for which a record is retained, in seconds.
    pub retention_s: u64,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from((net::Ipv4Addr::new(127, 7, 0, 1), 7000)),
            appends: 500,
            retention_s: 86_400,
        }
    }
}

/// Upstreams of one class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Group {
    /// Number of upstreams in each availability zone.
    pub zones: collections::BTreeMap<SmolStr, u16>,
    /// Mean duration of a call, in milliseconds.
    pub mean_ms: u64,
    /// Mean duration of calls by path prefix, in milliseconds; the first matching prefix applies.
    pub means_ms: collections::BTreeMap<SmolStr, u64>,
    /// Time after the start during which calls take longer, in milliseconds.
    pub cold_ms: u64,
    /// Time for which calls are still run after a drain was announced, in milliseconds.
    pub grace_ms: u64,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            zones: collections::BTreeMap::new(),
            mean_ms: 10,
            means_ms: collections::BTreeMap::new(),
            cold_ms: 0,
            grace_ms: 3000,
        }
    }
}

/// One host of a small mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Host {
    /// Base address of its node.
    pub listen: net::SocketAddr,
    /// Address of its upstream.
    pub upstream: net::SocketAddr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Class of its upstream, a key of [`Local::upstreams`].
    pub class: SmolStr,
    /// Key of the class in the mesh for which the hosts were created.
    pub key: mesh::ClassKey,
}

impl Local {
    /// Creates one host for each upstream, ordered by class and then by zone.
    ///
    /// # Errors
    ///
    /// Fails when a class does not exist in `mesh`.
    pub fn hosts(&self, mesh: &mesh::Mesh) -> Result<Vec<Host>, fault::Faults> {
        let mut hosts = Vec::new();
        let mut faults = Vec::new();
        for (class, group) in &self.upstreams {
            match class_key(mesh, class) {
                Some(key) => self.add_hosts(class, key, group, &mut hosts),
                None => faults.push(unknown_class(class)),
            }
        }
        if faults.is_empty() { Ok(hosts) } else { Err(fault::Faults::new(faults)) }
    }

    fn add_hosts(
        &self,
        class: &SmolStr,
        key: mesh::ClassKey,
        group: &Group,
        hosts: &mut Vec<Host>,
    ) {
        let zones = group.zones.iter();
        for zone in zones.flat_map(|(zone, count)| std::iter::repeat_n(zone, usize::from(*count))) {
            let address = nth_address(self.listen.ip(), hosts.len());
            hosts.push(Host {
                listen: net::SocketAddr::new(address, self.listen.port()),
                upstream: net::SocketAddr::new(address, self.upstream_port),
                zone: zone.clone(),
                class: class.clone(),
                key,
            });
        }
    }
}

impl load::Settings for Local {
    fn nest_preset(preset: Value) -> Value {
        serde_json::json!({ "node": preset })
    }

    fn validate(tree: &Value, faults: &mut Vec<fault::Fault>) {
        let node_faults = faults.len();
        limits::check_numbers(tree.get("node").unwrap_or(&Value::Null), faults);
        for fault in &mut faults[node_faults..] {
            fault.pointer.insert_str(0, "/node");
        }
        limits::check_length(tree, "/configuration", 1, faults);
        limits::check_length(tree, "/region", 1, faults);
        limits::check_address(tree, "/listen", faults);
        LIMITS.iter().for_each(|limit| limits::check_limit(tree, *limit, faults));
        check_groups(tree, faults);
    }
}

/// Range of each number that is not a setting of a node.
pub const LIMITS: &[limits::Limit] = &[
    limits::Limit { pointer: "/upstream_port", min: 1, max: u16::MAX as u64 - 1 },
    limits::Limit { pointer: "/log/appends", min: 1, max: 1_000_000 },
    limits::Limit { pointer: "/log/retention_s", min: 1, max: 10 * 366 * 86_400 },
];

fn check_groups(tree: &Value, faults: &mut Vec<fault::Fault>) {
    let Some(groups) = tree.get("upstreams").and_then(Value::as_object) else { return };
    let mut hosts = 0;
    for (class, group) in groups {
        let pointer = fault::join("/upstreams", class);
        let zones = group.get("zones").and_then(Value::as_object);
        hosts += zones.map_or(0, |z| z.values().filter_map(Value::as_u64).sum());
        for field in ["mean_ms", "cold_ms", "grace_ms"] {
            check_millis(group.get(field), &fault::join(&pointer, field), faults);
        }
        let means = group.get("means_ms").and_then(Value::as_object);
        for (path, millis) in means.into_iter().flatten() {
            check_millis(Some(millis), &fault::join(&format!("{pointer}/means_ms"), path), faults);
        }
    }
    let limit = match hosts {
        0 => (fault::Bound::AtLeast, 1),
        hosts if hosts > MAX_HOSTS => (fault::Bound::AtMost, MAX_HOSTS),
        _ => return,
    };
    faults.push(out_of_range("/upstreams", hosts, limit));
}

fn check_millis(value: Option<&Value>, pointer: &str, faults: &mut Vec<fault::Fault>) {
    match value.and_then(Value::as_u64) {
        Some(value) if value > MAX_DURATION_MS => {
            faults.push(out_of_range(pointer, value, (fault::Bound::AtMost, MAX_DURATION_MS)));
        }
        _ => {}
    }
}

fn out_of_range(pointer: &str, value: u64, limit: (fault::Bound, u64)) -> fault::Fault {
    let (bound, limit) = limit;
    let problem =
        fault::Problem::OutOfRange { value: value.to_string(), bound, limit: limit.to_string() };
    fault::Fault::new(pointer, problem)
}

fn class_key(mesh: &mesh::Mesh, class: &SmolStr) -> Option<mesh::ClassKey> {
    let index = mesh.classes.iter().position(|c| c.name == *class)?;
    u16::try_from(index).ok().map(mesh::ClassKey)
}

fn unknown_class(class: &SmolStr) -> fault::Fault {
    let problem = fault::Problem::DanglingReference {
        list: "the configuration's /upstreams".to_owned(),
        name: class.clone(),
    };
    fault::Fault::new(fault::join("/upstreams", class), problem)
}

/// Returns `first` plus `n`.
fn nth_address(first: net::IpAddr, n: usize) -> net::IpAddr {
    match first {
        net::IpAddr::V4(ip) => net::Ipv4Addr::from(u32::from(ip).wrapping_add(n as u32)).into(),
        net::IpAddr::V6(ip) => net::Ipv6Addr::from(u128::from(ip).wrapping_add(n as u128)).into(),
    }
}
