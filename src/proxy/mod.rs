//! The call path: hyper and tokio around the decisions.
//!
//! A call goes through a pipe of steps on one thread. At its entry, any node: accept, match route,
//! check deadline ([`entry`]), claim ([`idempotency`]), pick and forward ([`call`], [`internode`]).
//! At the upstream's own node ([`peer`]): admit ([`slots`]), run ([`pool`]), check the answer
//! ([`owner`]). Back at the entry: answer and count ([`resources`]). When the entry is the
//! upstream's own node the hop between nodes is skipped.

pub mod attempt;
pub mod body;
pub mod body_memory;
pub mod call;
pub mod call_spec;
pub mod caller;
pub mod caller_retries;
pub mod count;
pub mod crash_detector;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod frame;
pub mod headers;
pub mod held_answers;
pub mod idempotency;
pub mod inbound_link;
pub mod internode;
pub mod links;
pub mod owner;
pub mod peer;
pub mod pool;
pub mod quarantine_filter;
pub mod received_body;
pub mod refuse;
pub mod reply;
pub mod request_head;
pub mod resources;
pub mod run_times;
pub mod running_calls;
pub mod serve;
pub mod shell;
pub mod sizes;
pub mod slots;
pub mod state;
pub mod trace;
pub mod traffic_split;
pub mod upload;
pub mod versions;
pub mod wiring;

pub use dialect::Dialect;
pub use error::Error;
