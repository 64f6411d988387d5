//! The status of roll-out orders that the mesh publishes to the operator.

use std::error;
use std::future;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::rollout;
use crate::rollout::table;

/// How far an order is, as published to the operator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Both versions serve.
    Serving,
    /// The new version serves; the old upstreams may stop at once.
    Completed,
    /// The old version serves; the new upstreams may drain.
    RolledBack,
}

/// The published status of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// The service.
    pub service: SmolStr,
    /// The version that was ordered.
    pub version: SmolStr,
    /// Number of the order; 0 where it is not known.
    pub order: u64,
    /// How far the order is.
    pub state: State,
}

/// The published statuses of all services.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatusList {
    /// The latest status of each service.
    pub list: Vec<Status>,
    /// Position up to which records were read; the list does not include later ones.
    pub position: u64,
}

/// A store of published statuses.
pub trait Statuses: Clone + Send + 'static {
    /// Why a read or a write failed.
    type Error: error::Error + Send + Sync + 'static;

    /// Reads the statuses of all services.
    fn read(&self) -> impl future::Future<Output = Result<StatusList, Self::Error>>;

    /// Writes `status` unless another one was written after `position`; `true` if it was written.
    fn write(
        &self,
        status: &Status,
        position: u64,
    ) -> impl future::Future<Output = Result<bool, Self::Error>>;
}

impl State {
    /// Whether the order is over.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// The stage that a node adopts from this published state; `None` while the order is under way.
    pub const fn stage(self) -> Option<rollout::Stage> {
        match self {
            Self::Serving => None,
            Self::Completed => Some(rollout::Stage::Completed),
            Self::RolledBack => Some(rollout::Stage::RolledBack),
        }
    }
}

impl From<rollout::Stage> for State {
    fn from(stage: rollout::Stage) -> Self {
        match stage {
            rollout::Stage::Trial | rollout::Stage::Moving { .. } => Self::Serving,
            rollout::Stage::Completed => Self::Completed,
            rollout::Stage::RolledBack => Self::RolledBack,
        }
    }
}

/// The status of `progress` if it is not in `published` yet.
///
/// The first final state of an order is kept: a node that reaches a different one later does not
/// publish it.
pub fn unpublished(progress: &table::Progress, published: &StatusList) -> Option<Status> {
    let state = State::from(progress.stage);
    let known = published.list.iter().find(|status| status.service == progress.service);
    let same = known.filter(|status| status.order == progress.order.number);
    let is_new = match same {
        None => true,
        Some(status) => !status.state.is_final() && status.state != state,
    };
    is_new.then(|| Status {
        service: progress.service.clone(),
        version: progress.order.version.clone(),
        order: progress.order.number,
        state,
    })
}
