//! Polls the versions of a fleet's nodes while a series is played.

use std::collections;
use std::net;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::standin::http;

use crate::check;

/// Time between two polls of all nodes.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Timeout of a status request; a paused node does not answer.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// The nodes and the last status of each.
#[derive(Debug, Default)]
pub struct Watch {
    nodes: Vec<net::SocketAddr>,
    last: collections::HashMap<net::SocketAddr, Status>,
    breaches: Vec<check::Breach>,
}

/// Version that a node reported, and the incarnation of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Status {
    /// Incarnation of the node's process; a restart starts a new one.
    pub incarnation: u64,
    /// Version that the node runs.
    pub version: u64,
}

impl Watch {
    /// Watches the nodes of `fleet`.
    pub fn new(fleet: &fleet::Fleet) -> Self {
        let nodes = fleet.hosts().iter().map(|host| host.bound.admin_addr()).collect();
        Self { nodes, ..Self::default() }
    }

    /// Polls the nodes until `stop` receives a message. Returns the breaches found.
    pub async fn run(mut self, mut stop: tokio::sync::oneshot::Receiver<()>) -> Vec<check::Breach> {
        while stop.try_recv() == Err(tokio::sync::oneshot::error::TryRecvError::Empty) {
            for node in self.nodes.clone() {
                if let Some(status) = fetch_status(node).await {
                    self.record(node, status);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.breaches
    }

    /// Records a status of `node`, and a breach if its version is older than the last one.
    pub fn record(&mut self, node: net::SocketAddr, status: Status) {
        let before = self.last.insert(node, status);
        let regressed =
            before.filter(|b| b.incarnation == status.incarnation && b.version > status.version);
        if let Some(before) = regressed {
            let (from, to) = (before.version, status.version);
            self.breaches.push(check::Breach::VersionRegressed { node, from, to });
        }
    }

    /// Breaches found so far.
    pub fn breaches(&self) -> &[check::Breach] {
        &self.breaches
    }
}

async fn fetch_status(node: net::SocketAddr) -> Option<Status> {
    let answer = http::get(node, "/status", STATUS_TIMEOUT).await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(answer.body()).ok()?;
    let number = |name: &str| status[name].as_u64();
    Some(Status { incarnation: number("incarnation")?, version: number("version")? })
}
