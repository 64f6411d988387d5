//! What joins the call path to the other duties of its node.

use std::sync::Arc;

use tokio::sync::watch;

use crate::mesh;
use crate::node;
use crate::proxy::dialect;
use crate::quarantine;
use crate::ring;
use crate::rollout;
use crate::usage;
use crate::view;

/// Becomes true when connections shall end as soon as they carry no call.
pub type Closing = watch::Receiver<bool>;

/// What joins the call path to the other duties.
#[derive(Clone, Debug)]
pub struct Wiring<C> {
    /// The configuration in force.
    pub applied: watch::Receiver<Arc<mesh::Applied>>,
    /// The mesh's hosts.
    pub view: watch::Receiver<Arc<view::View>>,
    /// The upstream beside this node.
    pub local: watch::Receiver<Option<Arc<node::LocalUpstream>>>,
    /// How far the process is in its life.
    pub stage: watch::Receiver<node::Stage>,
    /// Takes usage counts; a full ring leaves them here for the next time.
    pub tallies: ring::Sender<usage::Delta>,
    /// Claims of idempotency keys.
    pub claims: C,
    /// How callers and upstreams speak.
    pub dialect: dialect::Dialect,
    /// Requests under which upstreams end.
    pub quarantine: quarantine::CallSide,
    /// Roll-outs: what is believed here and what the mesh says.
    pub rollouts: rollout::shell::Channels,
}
