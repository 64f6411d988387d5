//! Quarantine of requests that crash upstreams.
//!
//! Some requests crash every upstream that runs them, and callers repeat them. A [`Fingerprint`]
//! identifies a request at every node. Each node reports the crashes of its upstream to the others,
//! with the fingerprints of the calls that ran there. From these reports every node determines by
//! itself which request must have caused the crashes ([`Table`]), and refuses it for a while. There
//! is no central host and no shared store.
//!
//! Harmless requests run on an upstream when it crashes, too. A request is quarantined only after
//! [`THRESHOLD`] upstreams have crashed under it, that is, while they ran it, and if no other
//! request explains these crashes as well; an answer from an upstream that did not crash lifts the
//! quarantine at any time.

mod answers;
mod channel;
mod entry;
mod fingerprint;
mod snapshot;
mod table;

#[cfg(test)]
mod tests;

pub use self::answers::RecentAnswers;
pub use self::channel::{CallSide, Counts, MemberSide, channel};
pub use self::entry::Entry;
pub use self::fingerprint::{Body, Fingerprint, Fingerprinter};
pub use self::snapshot::Snapshot;
pub use self::table::{Crash, CrashId, Digest, Table};

/// Crashes under a request that prove that it causes them, if no other request explains them.
/// Harmless requests that are retried together with a bad one share two of its crashes now and
/// then.
pub const THRESHOLD: u8 = 3;

/// Crashes under a request after which it is quarantined even if another request explains them as
/// well.
const CERTAINTY_THRESHOLD: u8 = 5;

/// Crashes under a request after which it is suspected: it no longer runs together with other
/// suspected requests, so that the next crash tells which of them is the cause.
pub const SUSPICION_THRESHOLD: u8 = 2;

/// Maximum number of fingerprints reported with one crash. Few upstreams run more calls than this
/// at once; requests that were running at earlier crashes are reported first.
pub const MAX_FINGERPRINTS: usize = 64;

/// What a node's calls report to its membership duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Report {
    /// The upstream beside this node crashed while it ran these requests.
    Crashed(Vec<Fingerprint>),
    /// An upstream answered this request and did not crash.
    Answered(Fingerprint),
}
