//! The call path: the sockets and tasks (hyper and tokio) around the decisions on calls.
//!
//! All steps of a call run on one thread. Its entry node, which may be any node, accepts it,
//! matches its route and checks its deadline ([`entry`]), claims its idempotency key
//! ([`idempotency`]), picks an upstream and forwards the call ([`call`], [`internode`]). The owner
//! node ([`peer`], [`owner`]) waits for a slot ([`slots`]), sends the call to the upstream
//! ([`pool`]) and verifies the answer ([`answer`]). The entry node then answers and counts the call
//! ([`resources`]). When the entry node is also the owner node, nothing is sent between nodes.
//! A refusal says "not run" only with a proof of that ([`proof`]).

pub mod answer;
pub mod attempt;
pub mod body;
pub mod body_memory;
pub mod call;
pub mod call_spec;
pub mod caller;
pub mod caller_retries;
pub mod choice;
pub mod count;
pub mod crash_detector;
pub mod dialect;
pub mod entry;
pub mod error;
pub mod frame;
pub mod headers;
pub mod heard;
pub mod held_answers;
pub mod idempotency;
pub mod inbound_link;
pub mod internode;
pub mod links;
pub mod local_upstream;
pub mod meter;
pub mod notices;
pub mod organisations;
pub mod overload;
pub mod owner;
pub mod peer;
pub mod pool;
pub mod proof;
pub mod quarantine_filter;
pub mod queue_weight;
pub mod quotas;
pub mod received_body;
pub mod refuse;
pub mod reply;
pub mod request_head;
pub mod resources;
pub mod rollouts;
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
pub mod wiring;

pub use dialect::Dialect;
pub use error::Error;
