//! Requests under which upstreams end.
//!
//! Some requests end whatever upstream runs them, and come again. A [`Fingerprint`] names a request wherever it
//! comes in. Each node tells the others of the ends of its upstream, with the prints of what ran there;
//! from these every node works out, each for itself, which request must have caused them ([`Table`]), and
//! refuses it for a while. Nothing is asked of one host, and nothing is kept elsewhere.
//!
//! Others run on an upstream as it ends, too. A request is held responsible only when
//! [`THRESHOLD`] upstreams ended under it and no other request explains these ends as well; an answer of an
//! upstream that lived on speaks for it at any time.

mod channel;
mod entry;
mod fingerprint;
mod proven;
mod snapshot;
mod table;

#[cfg(test)]
mod tests;

pub use self::channel::{CallSide, Counts, MemberSide, channel};
pub use self::entry::Entry;
pub use self::fingerprint::{Body, Fingerprint, Fingerprinter};
pub use self::proven::RecentAnswers;
pub use self::snapshot::Snapshot;
pub use self::table::{Crash, CrashId, Digest, Table};

/// Ends of upstreams under a request by which it is proven to cause them. Harmless requests that are tried
/// again beside it share two of its ends now and then.
pub const THRESHOLD: u8 = 3;

/// Ends under a request from which it is held responsible even if another one explains them as well.
const SURE: u8 = 5;

/// Ends under a request from which it runs apart from others like it, so that the next end tells them
/// apart.
pub const SUSPICION_THRESHOLD: u8 = 2;

/// Most prints that are told of one end. More calls than this run at few upstreams; those that ran at
/// ends before are told first.
pub const MAX_FINGERPRINTS: usize = 64;

/// What a node's calls tell its membership duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The upstream beside this node has ended while these ran.
    Crashed(Vec<Fingerprint>),
    /// An upstream answered this request and lived on.
    Answered(Fingerprint),
}
