//! The platform's log service at the border.

use std::error;
use std::future;
use std::time;

use bytes::Bytes;

pub mod connection;
pub mod http;
pub mod reachability;
pub mod wire;

/// Place of a record in its stream; the first record has offset 0.
pub type Offset = u64;

/// How often the service has come back from an older copy of its streams, which then lack the records
/// appended since that copy was made: their offsets are given out again. It never falls.
pub type Epoch = u64;

/// Bits of an [`ordinal`] that hold the place in its stream.
const OFFSET_BITS: u32 = 40;

/// A number for the record at `offset` that is higher than that of every record read before it, also of
/// earlier epochs.
pub const fn ordinal(epoch: Epoch, offset: Offset) -> u64 {
    epoch << OFFSET_BITS | (offset + 1)
}

/// The epoch of `ordinal`.
pub const fn epoch(ordinal: u64) -> Epoch {
    ordinal >> OFFSET_BITS
}

/// The offset after the record of `ordinal`.
pub const fn next_offset(ordinal: u64) -> Offset {
    ordinal & ((1 << OFFSET_BITS) - 1)
}

/// Names of the streams the system keeps.
pub mod streams {
    /// Published configurations and snapshots.
    pub const CONFIG: &str = "config";
    /// Claims of idempotency keys; a partition number follows.
    pub const CLAIMS: &str = "claims";
    /// What became of roll-outs.
    pub const ROLLOUTS: &str = "rollouts";
    /// Usage counts.
    pub const USAGE: &str = "usage";
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// Wall-clock time of its append by the service's clock, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// What was appended.
    pub body: Bytes,
}

/// What a read gave.
///
/// Invariant: offsets of `records` rise and lie in `first..next`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Epoch of the offsets.
    pub epoch: Epoch,
    /// Oldest offset still kept; records before it have expired.
    pub first: Offset,
    /// Offset the next append will get.
    pub next: Offset,
    /// Records from the requested offset on; empty when none came in time.
    pub records: Vec<Record>,
}

/// How a failed operation stands.
pub trait Failure: error::Error + Send + Sync + 'static {
    /// Whether the operation may have taken effect although its answer was lost.
    fn uncertain(&self) -> bool;
}

/// An append-only log with offsets. The service is the platform's; this is all we use of it.
pub trait Service: Clone + Send + Sync + 'static {
    /// What can go wrong.
    type Error: Failure;

    /// Appends `body` to `stream` and returns its offset.
    fn append(
        &self,
        stream: &str,
        body: Bytes,
    ) -> impl future::Future<Output = Result<Offset, Self::Error>> + Send;

    /// Reads up to `most` records of `stream` from `from` on; when there is none yet, waits for
    /// one up to `wait`. Records before the oldest kept one are skipped.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        most: u32,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<Batch, Self::Error>> + Send;
}
