//! Looks at the nodes of a fleet while a series is played.

use std::collections;
use std::net;
use std::time;

use dandelionspool::bench::fleet;
use dandelionspool::standin::http;

use crate::judge;

/// Time between two looks at every node.
const LOOK: time::Duration = time::Duration::from_millis(100);

/// Longest that one node is waited for; a paused one does not answer.
const PATIENCE: time::Duration = time::Duration::from_millis(150);

/// The nodes and what each ran when it was seen last.
#[derive(Debug, Default)]
pub struct Watch {
    nodes: Vec<net::SocketAddr>,
    seen: collections::HashMap<net::SocketAddr, Seen>,
    breaches: Vec<judge::Breach>,
}

/// What a node ran in one life of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Seen {
    /// The life.
    pub incarnation: u64,
    /// The version.
    pub version: u64,
}

impl Watch {
    /// Watches the nodes of `fleet`.
    pub fn new(fleet: &fleet::Fleet) -> Self {
        let nodes = fleet.hosts().iter().map(|host| host.bound.admin_addr()).collect();
        Self { nodes, ..Self::default() }
    }

    /// Looks at the nodes until `stop` is told; gives what was broken.
    pub async fn run(mut self, mut stop: tokio::sync::oneshot::Receiver<()>) -> Vec<judge::Breach> {
        while stop.try_recv() == Err(tokio::sync::oneshot::error::TryRecvError::Empty) {
            for node in self.nodes.clone() {
                if let Some(seen) = look(node).await {
                    self.note(node, seen);
                }
            }
            tokio::time::sleep(LOOK).await;
        }
        self.breaches
    }

    /// Takes in what `node` says.
    pub fn note(&mut self, node: net::SocketAddr, seen: Seen) {
        let before = self.seen.insert(node, seen);
        let back = before.filter(|b| b.incarnation == seen.incarnation && b.version > seen.version);
        if let Some(before) = back {
            let (from, to) = (before.version, seen.version);
            self.breaches.push(judge::Breach::Backwards { node, from, to });
        }
    }

    /// What was broken so far.
    pub fn breaches(&self) -> &[judge::Breach] {
        &self.breaches
    }
}

async fn look(node: net::SocketAddr) -> Option<Seen> {
    let answer = http::get(node, "/status", PATIENCE).await.ok()?;
    let status: serde_json::Value = serde_json::from_slice(answer.body()).ok()?;
    let number = |name: &str| status[name].as_u64();
    Some(Seen { incarnation: number("incarnation")?, version: number("version")? })
}
