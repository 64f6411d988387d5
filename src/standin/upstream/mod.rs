//! An upstream in memory: slots, connections, cold start, drain, shed and faults on request.
//!
//! It records each run by request id and idempotency key, so that what callers were told can be
//! checked against what was run. Control and records have a port of their own, which answers
//! while the upstream plays dead.

mod announce;
pub mod answer;
mod control;
pub mod faults;
mod options;
pub mod record;
mod run;
mod server;
mod state;

#[cfg(test)]
mod tests;

pub use options::Options;
pub use server::Handle;
pub use server::Server;

/// Header of an answer that says why nothing was run.
pub const HEADER: &str = "dandelionspool-upstream";
/// Value of [`HEADER`] when the call was shed: nothing of it ran.
pub const SHED: &str = "shed";
