//! The regions, zones and addresses of a fleet's hosts, and the settings of their processes.

use std::net;

use smol_str::format_smolstr;

use crate::bench::fleet::host;
use crate::bench::fleet::network;
use crate::bench::fleet::plan;
use crate::configs;

/// Maximum number of hosts in a node's join list.
const MAX_JOIN_HOSTS: usize = 3;

/// The hosts of `plan`, whose processes have not been started yet.
pub fn hosts(plan: &plan::Plan, network: &network::Network) -> Vec<host::Host> {
    let groups = plan.groups.iter().flat_map(|group| std::iter::repeat_n(group, group.count));
    let groups = groups.map(Some).chain(std::iter::repeat_n(None, plan.plain));
    let placed = groups.enumerate().map(|(index, group)| {
        let mut host = new_host(plan, network, index);
        host.group = group.cloned();
        host
    });
    placed.collect()
}

/// The host `index` with its addresses, zone and region. Hosts are assigned to the zones in turn,
/// and zones to the regions.
pub fn new_host(plan: &plan::Plan, network: &network::Network, index: usize) -> host::Host {
    let zone = index % plan.zones;
    let region = zone % plan.regions;
    let names = (format_smolstr!("region-{region}"), format_smolstr!("zone-{zone}"));
    let known = network.host(index);
    let bound = if plan.faults { network.bound(index) } else { known };
    host::Host::new(index, known, bound, names)
}

/// Arguments of the upstream of `host`, which announces itself to its node if `node`.
pub fn arguments(host: &host::Host, group: &plan::Group, node: bool) -> Vec<String> {
    let mut arguments = vec!["upstream".to_owned()];
    let mut add = |name: &str, value: String| arguments.extend([name.to_owned(), value]);
    add("--address", host.upstream_addr().to_string());
    add("--service", group.service.to_string());
    add("--class", group.class.to_string());
    add("--slots", group.slots.to_string());
    add("--connections", group.connections.to_string());
    add("--cold", group.cold_ms.to_string());
    add("--grace", group.grace_ms.to_string());
    add("--mean", group.mean_ms.to_string());
    add("--seed", host.index.to_string());
    for (prefix, millis) in &group.means {
        add("--time", format!("{prefix}={millis}"));
    }
    if let Some(prefix) = &group.crash {
        add("--crash", prefix.to_string());
    }
    if node {
        add("--admin", host.bound.admin_addr().to_string());
    }
    arguments
}

/// Settings of the node of `host`, which is one of `hosts`.
pub fn settings(
    plan: &plan::Plan,
    hosts: &[host::Host],
    host: &host::Host,
    log: net::SocketAddr,
) -> configs::Node {
    let mut settings = plan.settings.clone();
    let joins = hosts.iter().filter(|other| other.index != host.index).take(MAX_JOIN_HOSTS);
    settings.join = joins.map(|other| other.base()).collect();
    settings.listen = host.base();
    settings.bind = (host.bound != host.id).then(|| host.bound.member_addr());
    settings.region = host.region.clone();
    settings.zone = host.zone.clone();
    settings.log.address = log;
    if settings.mesh.is_empty() {
        settings.mesh = "fleet".into();
    }
    if settings.key.is_empty() {
        settings.key = "a key for a fleet on loopback, of no secrecy".into();
    }
    settings
}

/// Arguments of the fault proxy for `hosts` and for `log`: the address by which nodes know the
/// log, and its own.
pub fn fault_arguments(
    control: net::SocketAddr,
    hosts: &[host::Host],
    log: (net::SocketAddr, net::SocketAddr),
) -> Vec<String> {
    let mut arguments = vec!["fault".to_owned(), "--control".to_owned(), control.to_string()];
    for host in hosts {
        let pair = format!("{}={}", host.base(), host.bound.member_addr());
        arguments.extend(["--host".to_owned(), pair]);
    }
    arguments.extend(["--link".to_owned(), format!("{}={}", log.0, log.1)]);
    arguments
}
