//! A fleet of real processes on loopback: log stand-in, nodes, upstream stand-ins.
//!
//! A [`Plan`] says which processes run. [`Fleet::start`] starts them, each host on a loopback
//! address of its own. The fleet can kill, pause, stop and restart single processes, and kills all
//! of them when it is dropped, also on a panic.
//!
//! # Example
//!
//! ```no_run
//! # async fn example() -> Result<(), dandelionspool::bench::fleet::Error> {
//! use dandelionspool::bench::fleet;
//!
//! let programs = fleet::Programs::beside()?;
//! let plan = fleet::Plan::new(programs)
//!     .zones(4)
//!     .group(fleet::Group::new("shop", 8).slots(9).mean_ms(10.0))
//!     .hosts(3)
//!     .configuration("examples/cascadia.json");
//! let mut fleet = fleet::Fleet::start(plan).await?;
//! fleet.kill(0, fleet::Part::Node)?;
//! fleet.restart(0, fleet::Part::Node)?;
//! fleet.wait_ready(fleet::READY_TIMEOUT).await?;
//! # Ok(())
//! # }
//! ```

use std::io;
use std::net;
use std::path;
use std::time;

use crate::standin::http;

mod host;
mod layout;
mod network;
mod plan;
mod process;
mod publish;
mod run;
mod signals;
mod stat;

pub use host::Host;
pub use plan::Group;
pub use plan::Plan;
pub use plan::Programs;
pub use publish::Published;
pub use run::Fleet;
pub use stat::Stat;

/// Maximum number of processes of a fleet.
pub const MAX_PROCESSES: usize = 420;
/// Usual time limit for all nodes of a fleet to become ready.
pub const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// One of the processes of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// The node.
    Node,
    /// The upstream stand-in.
    Upstream,
}

/// Why an operation on a fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan asks for too many processes.
    #[error("the plan has {0} processes, more than {MAX_PROCESSES}")]
    TooMany(usize),
    /// No range of loopback addresses is free.
    #[error("no range of loopback addresses is free")]
    NoRange,
    /// A program can't be started or a file can't be written.
    #[error("{0}: {1}")]
    File(path::PathBuf, io::Error),
    /// A process does not run, or can't be signalled.
    #[error("{0}: {1}")]
    Process(String, io::Error),
    /// The host has no such process.
    #[error("host {0} has no such process")]
    NoProcess(usize),
    /// A process exited unexpectedly; the last part of its output follows.
    #[error("{0} exited unexpectedly: {1}")]
    Ended(String, String),
    /// A state was not reached in time.
    #[error("not in time: {0}")]
    Late(String),
    /// A process did not respond.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// A process responded with a status other than success.
    #[error("{0} answered {1}")]
    Status(net::SocketAddr, ::http::StatusCode),
    /// Settings can't be written or an answer can't be read as JSON.
    #[error("not the expected JSON: {0}")]
    Json(#[from] serde_json::Error),
}
