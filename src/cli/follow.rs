//! Shows the progress of a version until every node runs it: as a progress bar on a terminal,
//! otherwise as JSON lines.

use std::io::{self, IsTerminal as _};
use std::net;
use std::thread;
use std::time;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use serde::Serialize;

use crate::admin::mesh_status;
use crate::cli::{ask, exit};
use crate::version;

/// Interval between two requests for the status of the mesh.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Why following ended before every node ran the version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The allowed time is over.
    #[error("version {version} runs on {running} of {hosts} nodes after the allowed time")]
    Late {
        /// The version followed.
        version: version::Version,
        /// Nodes that run it or a later one.
        running: u32,
        /// Known nodes.
        hosts: u32,
    },
}

/// Progress of a version: how many nodes run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// The version followed.
    pub version: u64,
    /// Nodes that run it or a later one.
    pub running: u32,
    /// Known nodes.
    pub hosts: u32,
    /// Nodes that answered; the others are not counted in `running`.
    #[serde(rename = "heard")]
    pub answered: u32,
}

impl Progress {
    /// Reads the progress of `version` from `mesh`.
    pub fn new(version: version::Version, mesh: &mesh_status::MeshStatus) -> Self {
        let rows = mesh.running.iter().filter(|row| row.version >= version.number());
        Self {
            version: version.number(),
            running: rows.map(|row| row.nodes).sum(),
            hosts: mesh.coverage.hosts,
            answered: mesh.coverage.answered,
        }
    }

    /// Whether every known node runs the version.
    pub const fn done(&self) -> bool {
        self.running >= self.hosts
    }
}

/// Polls `node` until all nodes run `version`, for at most `limit`.
///
/// # Errors
///
/// Fails when the node can't be reached, or after `limit`.
pub fn follow(
    node: net::SocketAddr,
    version: version::Version,
    limit: time::Duration,
) -> Result<(), exit::Failure> {
    let end = time::Instant::now() + limit;
    let display = ProgressDisplay::new();
    loop {
        let progress = Progress::new(version, &ask::fetch_report(node, "/status?mesh=1")?);
        display.show(&progress);
        if progress.done() {
            return Ok(());
        }
        if time::Instant::now() >= end {
            let Progress { running, hosts, .. } = progress;
            return Err(exit::Failure::Refused(Error::Late { version, running, hosts }.into()));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Output of the progress: a bar on a terminal, `None` for JSON lines on standard output.
struct ProgressDisplay(Option<ProgressBar>);

impl ProgressDisplay {
    fn new() -> Self {
        if !io::stderr().is_terminal() {
            return Self(None);
        }
        let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
        let style = ProgressStyle::with_template("{bar:40} {pos} of {len} nodes {msg}");
        Self(Some(match style {
            Ok(style) => bar.with_style(style),
            Err(_) => bar,
        }))
    }

    fn show(&self, progress: &Progress) {
        let Some(bar) = &self.0 else {
            println!("{}", serde_json::json!(progress));
            return;
        };
        bar.set_length(progress.hosts.into());
        bar.set_position(progress.running.into());
        bar.set_message(format!("run version {}", progress.version));
    }
}
