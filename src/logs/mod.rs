//! Access to the platform's log service.

use std::error;
use std::future;
use std::time;

use bytes::Bytes;

pub mod connection;
pub mod http;
pub mod reachability;
pub mod wire;

/// Position of a record in its stream; the first record has offset 0.
pub type Offset = u64;

/// Number of times the service was restored from an older copy of its streams. The records
/// appended after that copy was made are then lost, and their offsets are assigned again. It never
/// decreases.
pub type Epoch = u64;

/// Number of bits of an [`ordinal`] that hold the offset.
const OFFSET_BITS: u32 = 40;

/// A number for the record at `offset` that is higher than those of all records before it,
/// including records of earlier epochs.
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

/// Names of the streams in use.
pub mod streams {
    /// Published configurations and snapshots.
    pub const CONFIG: &str = "config";
    /// Claims of idempotency keys; a partition number follows.
    pub const CLAIMS: &str = "claims";
    /// Results of roll-outs.
    pub const ROLLOUTS: &str = "rollouts";
    /// Usage counts.
    pub const USAGE: &str = "usage";
}

/// One record of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its position in the stream.
    pub offset: Offset,
    /// Wall-clock time of its append by the service's clock, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
    /// The appended bytes.
    pub body: Bytes,
}

/// Result of a read.
///
/// Invariant: the offsets of `records` increase and lie in `first..next`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Batch {
    /// Epoch of the offsets.
    pub epoch: Epoch,
    /// Oldest retained offset; records before it have expired.
    pub first: Offset,
    /// Offset the next append will get.
    pub next: Offset,
    /// Records from the requested offset on; empty when there was none in time.
    pub records: Vec<Record>,
}

/// Error of an operation on the log.
pub trait Failure: error::Error + Send + Sync + 'static {
    /// Whether the operation may have taken effect despite the error, for example because only its
    /// answer was lost.
    fn uncertain(&self) -> bool;
}

/// An append-only log with offsets, as provided by the platform; these are the operations in use.
pub trait Service: Clone + Send + Sync + 'static {
    /// Error of the operations.
    type Error: Failure;

    /// Appends `body` to `stream` and returns its offset.
    fn append(
        &self,
        stream: &str,
        body: Bytes,
    ) -> impl future::Future<Output = Result<Offset, Self::Error>> + Send;

    /// Reads up to `max` records of `stream` from offset `from` on. If there is none yet, waits up
    /// to `wait` for one. Offsets of expired records are skipped.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        max: u32,
        wait: time::Duration,
    ) -> impl future::Future<Output = Result<Batch, Self::Error>> + Send;
}
