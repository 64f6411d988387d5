//! A stand-in for an upstream: slots, connections, cold start, drain, shed and injected faults.
//!
//! It records each run by request id and idempotency key, so that tests can compare the outcomes
//! that callers received with what was run. Control and record have a port of their own, which
//! also responds while the upstream simulates a failure.

mod announce;
pub mod answer;
mod connections;
mod control;
pub mod faults;
mod options;
pub mod record;
pub mod repeat;
mod run;
mod server;
mod state;

#[cfg(test)]
mod tests;

pub use options::Options;
pub use server::Handle;
pub use server::Server;

/// Header of a response that says why the call was not run.
pub const HEADER: &str = "dandelionspool-upstream";
/// Value of [`HEADER`] when the call was shed, so that no part of it ran.
pub const SHED: &str = "shed";
