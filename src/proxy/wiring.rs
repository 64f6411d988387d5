//! The channels and handles between the call path and the other duties of its node.

use std::sync::Arc;

use tokio::sync::watch;

use crate::mesh;
use crate::node;
use crate::notice;
use crate::overload;
use crate::pick;
use crate::proxy::answer;
use crate::proxy::dialect;
use crate::proxy::slots;
use crate::quarantine;
use crate::quota;
use crate::retry;
use crate::ring;
use crate::rollout;
use crate::usage;
use crate::view;

/// Becomes true when connections must close as soon as they carry no call.
pub type Closing = watch::Receiver<bool>;

/// The channels and handles between the call path and the other duties.
#[derive(Clone, Debug)]
pub struct Wiring<C> {
    /// The configuration in force.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The hosts of the mesh.
    pub view: watch::Receiver<Arc<view::View>>,
    /// The local upstream, the one beside this node.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// The stage of the process, from running to its end.
    pub stage: watch::Receiver<node::Stage>,
    /// Receives usage counts; those that a full ring refuses are sent again with the next ones.
    pub tallies: ring::Sender<usage::Delta>,
    /// Claims idempotency keys.
    pub claims: C,
    /// Header names that callers and upstreams use.
    pub dialect: dialect::Dialect,
    /// The quarantine of requests that crash upstreams.
    pub quarantine: quarantine::CallSide,
    /// Counts of the limits of organisations.
    pub quotas: quota::Counts,
    /// Counts the answers of the local upstream that were not believed.
    pub answers: answer::Counts,
    /// Counts what the local upstream says of itself, and tells other duties that it leaves.
    pub notices: notice::CallSide,
    /// Counts of slow nodes and of lost hosts.
    pub picks: pick::Counts,
    /// Counts of the decisions on retries.
    pub retries: retry::Counts,
    /// Counts of the slots reserved for urgent calls, and of the room for bodies.
    pub slots: slots::Counts,
    /// Metrics of the overload protection.
    pub overload: overload::Counts,
    /// Roll-outs: the progress seen by this node, and their status in the mesh.
    pub rollouts: rollout::shell::Channels,
}
