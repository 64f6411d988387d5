//! The call path: hyper and tokio around the decisions.
//!
//! A call goes through a pipe of steps on one thread. At its entry, any node: accept, match route,
//! check deadline ([`entry`]), claim ([`keyed`]), pick and forward ([`job`], [`inner`]). At the
//! upstream's own node ([`peer`]): admit ([`slots`]), run ([`pool`]), check the answer ([`owner`]).
//! Back at the entry: answer and count ([`guard`]). When the entry is the upstream's own node the
//! hop between nodes is skipped.

pub mod ask;
pub mod body;
pub mod caller;
pub mod count;
pub mod dialect;
pub mod ends;
pub mod entry;
pub mod error;
pub mod frame;
pub mod guard;
pub mod headers;
pub mod held;
pub mod inflow;
pub mod inner;
pub mod job;
pub mod keyed;
pub mod links;
pub mod order;
pub mod owner;
pub mod paces;
pub mod peer;
pub mod pool;
pub mod refuse;
pub mod reply;
pub mod returns;
pub mod room;
pub mod runs;
pub mod serve;
pub mod shell;
pub mod sizes;
pub mod slots;
pub mod split;
pub mod state;
pub mod suspects;
pub mod trace;
pub mod trip;
pub mod upload;
pub mod versions;
pub mod wire;
pub mod wiring;

pub use dialect::Dialect;
pub use error::Error;
