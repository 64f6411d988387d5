//! A small deployment: the store, the nodes, and a backend beside each node.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Behaviour, Seen};
use crate::client;
use crate::http::Message;
use crate::node::{self, Machine, Node};
use crate::record::Record;
use crate::store::Store;

/// Time from the start of the machines until traffic begins, as on the sheets of small deployments.
const LEAD: Duration = Duration::from_secs(8);

/// Longest time until all nodes are ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// `stableWindow` of the small deployments.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// `configApply` of the small deployments.
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// A route of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Route {
    pub path: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub latency_ms: u64,
    pub attempts: u64,
}

/// A tenant with a key of the same name.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: &'static str,
    pub rate: u64,
    pub burst: u64,
}

/// The operator's configuration with the names of deploy/wire.toml.
pub fn configuration(
    version: u64,
    routes: &[Route],
    services: &[&str],
    tenants: &[Tenant],
) -> String {
    let list = |items: Vec<String>| items.join(",");
    let routes = routes.iter().enumerate().map(|(index, route)| {
        format!(
            "{{\"name\":\"r{index}\",\"host\":\"{HOST}\",\"route-path\":\"{}\",\"kind\":\"{}\",\
             \"timeout-ms\":{},\"latency-ms\":{},\"priority\":1,\"service\":\"{}\",\
             \"most-attempts\":{},\"public\":false}}",
            route.path,
            route.kind,
            route.timeout_ms,
            route.latency_ms,
            route.service,
            route.attempts
        )
    });
    let services = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"most-connections\":450}}")
    });
    let names = tenants.iter().map(|tenant| {
        format!(
            "{{\"name\":\"{0}\",\"apiKeys\":[\"key-of-{0}\"],\"priority\":1,\"ratePerS\":{1},\"burst\":{2}}}",
            tenant.name, tenant.rate, tenant.burst
        )
    });
    let (routes, services) = (list(routes.collect()), list(services.collect()));
    let tenants = if tenants.is_empty() {
        String::new()
    } else {
        format!(",\"tenants\":[{}]", list(names.collect()))
    };
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"head-bytes\":16384,\"body-bytes\":67108864,\"head-ms\":3000,\
         \"idle-ms\":15000}}{tenants}}}"
    )
}

/// A machine of the deployment and what its backend does.
#[derive(Clone, Debug)]
pub struct Place {
    pub zone: &'static str,
    pub service: &'static str,
    pub behaviour: Behaviour,
}

pub struct Mesh {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    pub seen: Seen,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.nodes.clear();
        self.backends.iter().for_each(Backend::end);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Mesh {
    /// Starts everything, publishes `configuration` and waits until all nodes are ready and the time
    /// before the traffic is over. `prepare` sees the addresses of the nodes' outbound ports.
    pub fn start(
        record: &Arc<Record>,
        places: &mut [Place],
        quotas: bool,
        configuration: &str,
        prepare: impl Fn(SocketAddr, &mut Place),
    ) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| format!("no temporary folder: {error}"))?;
        let (store, seen) = (Store::default(), Seen::default());
        let addresses = node::free_addresses(places.len());
        let mut nodes = Vec::new();
        for (number, (place, ip)) in places.iter().zip(addresses).enumerate() {
            let door = store.open(IpAddr::V4(Ipv4Addr::LOCALHOST), number);
            let machine = Machine {
                ip,
                zone: place.zone.to_owned(),
                service: place.service.to_owned(),
                store: door.map_err(|error| format!("no address for the store: {error}"))?,
                quotas,
            };
            nodes.push(Node::start(machine, &folder, number, true));
        }
        let began = Instant::now();
        let mut mesh =
            Self { store, nodes, backends: Vec::new(), seen, record: Arc::clone(record), folder };
        std::thread::sleep(Duration::from_secs(1));
        mesh.store.publish(configuration);
        for (number, place) in places.iter_mut().enumerate() {
            prepare(mesh.nodes[number].outbound(), place);
            // Backends of another version start later.
            if place.behaviour.version == Behaviour::default().version {
                mesh.start_backend(number, place);
            }
        }
        mesh.wait_ready(&(0..mesh.nodes.len()).collect::<Vec<_>>(), START_LIMIT)?;
        std::thread::sleep((began + LEAD).saturating_duration_since(Instant::now()));
        record.say(&format!("{} nodes are ready", mesh.nodes.len()));
        Ok(mesh)
    }

    /// Starts the backend beside the node `number`.
    pub fn start_backend(&mut self, number: usize, place: &Place) {
        let node = &self.nodes[number];
        self.backends.push(Backend::start(
            &format!("i{number}"),
            (place.service, place.zone),
            (node.machine.ip, node.control()),
            place.behaviour.clone(),
            self.seen.clone(),
            Arc::clone(&self.record),
        ));
    }

    /// Waits until the nodes `numbers` say that they are ready.
    pub fn wait_ready(&self, numbers: &[usize], limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        for &number in numbers {
            while !self.is_ready(number) {
                if Instant::now() > until {
                    return Err(format!("node {number} is not ready within {limit:?}"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let request = Message::request("GET", "/ready").with("Host", "node");
        let answer = client::exchange(self.nodes[number].ready(), &request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// A counter among the metrics of a node.
    pub fn metric(&self, number: usize, name: &str) -> u64 {
        let request = Message::request("GET", "/metrics").with("Host", "node");
        let answer =
            client::exchange(self.nodes[number].control(), &request, Duration::from_secs(2));
        let Ok(answer) = answer else { return 0 };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let value =
            text.lines().find_map(|line| line.strip_prefix(name)?.split_whitespace().next_back());
        value.and_then(|value| value.parse::<f64>().ok()).unwrap_or(0.0) as u64
    }
}
