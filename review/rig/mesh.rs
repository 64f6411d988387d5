//! A small deployment: the store, the nodes and the folder of their files.

use std::path::PathBuf;
use std::sync::Arc;
use std::{env, fs, process};

use crate::node::{Node, Place, Ports};
use crate::record::{Random, Record};
use crate::store::Store;

pub struct Mesh {
    pub store: Store,
    pub places: Vec<Place>,
    pub nodes: Vec<Node>,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub seed: u64,
}

impl Mesh {
    /// Starts nodes of `services`, one each, in two zones, and publishes the configuration.
    pub fn start(services: &[&str], record: &str) -> Self {
        let record = Arc::new(Record::create(record));
        let seed = crate::record::seed();
        let mut random = Random::new(seed);
        record.say(&format!("seed {seed}"));
        let (a, b) = (random.next() % 100, random.next() % 250);
        let ip = |number: usize| format!("127.{}.{}.{}", 100 + a, 1 + b, 10 + number);
        let ips: Vec<String> = (0..services.len()).map(ip).collect();
        let ports = Ports::free(&ips, &mut random);
        let store = Store::start();
        store.publish(&configuration(3, &routes()));
        let folder = env::temp_dir().join(format!("rig-{}-{seed:x}", process::id()));
        fs::create_dir_all(&folder).expect("a folder for the files of the nodes");
        let place = |(number, (ip, service)): (usize, (&String, &&str))| Place {
            name: format!("sidecar-{number}"),
            ip: ip.clone(),
            zone: format!("zone-{}", number % 2),
            service: (*service).to_owned(),
            ports,
            store: store.address.to_string(),
        };
        let places: Vec<Place> = ips.iter().zip(services).enumerate().map(place).collect();
        let nodes: Vec<Node> = places.iter().map(|p| Node::start(p, &folder, true)).collect();
        nodes.iter().for_each(Node::wait_ready);
        record.say("all nodes are ready");
        Self { store, places, nodes, folder, record, seed }
    }

    /// Starts the node `number` again after its end.
    pub fn restart(&mut self, number: usize) {
        self.nodes[number] = Node::start(&self.places[number], &self.folder, false);
    }

    /// Says which nodes have ended by themselves.
    pub fn check_nodes(&mut self) {
        for node in &mut self.nodes {
            if node.has_ended() {
                self.record.say(&format!("{} has ended by itself", node.place.name));
            }
        }
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        self.nodes.clear();
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A route of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name. Its prefix is the name between two slashes.
    pub name: String,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
}

impl Route {
    pub fn new(name: &str, kind: &'static str, service: &'static str) -> Self {
        Self { name: name.to_owned(), kind, service, timeout_ms: 1500 }
    }
}

/// The routes before any change.
pub fn routes() -> Vec<Route> {
    vec![
        Route::new("list", "idempotent", "shop"),
        Route::new("buy", "non_idempotent", "shop"),
        Route::new("gifts", "idempotent", "desk"),
    ]
}

/// The operator's configuration with the names of `deploy/wire.toml`.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let route = |route: &Route| {
        let Route { name, kind, service, timeout_ms } = route;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"route-path\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"latency-ms\":250,\"priority\":1,\
             \"service\":\"{service}\",\"most-attempts\":2}}"
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"shop\",\"most-connections\":120}},\
         {{\"name\":\"desk\",\"most-connections\":120}}],\
         \"limits\":{{\"head-bytes\":16384,\"body-bytes\":1000000,\"head-ms\":3000,\
         \"idle-ms\":15000}}}}",
        routes.join(",")
    )
}
