//! What the mesh says of its orders to the operator, and what a node adds to that.

use std::error;
use std::future;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::rollout;
use crate::rollout::table;

/// How far an order is, as the operator is told.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Both versions serve.
    Serving,
    /// The new version serves; the old upstreams may end at once.
    Completed,
    /// The old version serves; the new upstreams may drain.
    RolledBack,
}

/// What is said of one service.
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

/// All that is said.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StatusList {
    /// The newest status of each service.
    pub list: Vec<Status>,
    /// How far the list goes: what is written after it is not in it.
    pub position: u64,
}

/// Where it is said.
pub trait Statuses: Clone + Send + 'static {
    /// Why it could not be read or written.
    type Error: error::Error + Send + Sync + 'static;

    /// What is said.
    fn read(&self) -> impl future::Future<Output = Result<StatusList, Self::Error>>;

    /// Says `status`, unless anything was said after `mark`; whether it is said now.
    fn write(
        &self,
        status: &Status,
        mark: u64,
    ) -> impl future::Future<Output = Result<bool, Self::Error>>;
}

impl State {
    /// Whether nothing follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// The stage of a node that reads this; `None` while the order is under way.
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

/// What has to be said of `belief` where `said` is what is said already; `None` when nothing has.
///
/// The first end of an order stays: a node that comes to another one later says nothing.
pub fn next(belief: &table::Progress, said: &StatusList) -> Option<Status> {
    let state = State::from(belief.stage);
    let known = said.list.iter().find(|status| status.service == belief.service);
    let same = known.filter(|status| status.order == belief.order.number);
    let news = match same {
        None => true,
        Some(status) => !status.state.is_final() && status.state != state,
    };
    news.then(|| Status {
        service: belief.service.clone(),
        version: belief.order.version.clone(),
        order: belief.order.number,
        state,
    })
}
