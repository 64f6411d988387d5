//! Calls through nodes' call paths in one process, with raw upstreams that misbehave.

mod ahead;
mod answers;
mod drain;
mod fake;
mod keyed;
mod path;
mod pool;
mod quarantine;
mod requests;
mod rig;
mod slots;
