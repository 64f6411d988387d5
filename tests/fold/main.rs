//! Acceptance of configurations: verdicts, snapshots and readers of the log.

mod follow;
mod history;
mod settled;
mod snapshot;
mod verdict;
