//! Tests of the acceptance of configurations: verdicts, snapshots and readers of the log.

mod accepted;
mod follow;
mod history;
mod snapshot;
mod verdict;
