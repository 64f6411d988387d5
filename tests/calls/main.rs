//! Calls through the call paths of several nodes in one process, with upstreams that misbehave.

mod answers;
mod copies;
mod drain;
mod endless;
mod fake;
mod idempotency;
mod last_word;
mod limits;
mod links;
mod nested;
mod organisations;
mod path;
mod pipelining;
mod pool;
mod quarantine;
mod raw_peer;
mod requests;
mod rig;
mod slots;
mod unreachable;
mod unsent;
