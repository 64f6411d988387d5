//! Names of accepted configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::logs;

/// Number of bytes kept of a configuration's hash.
pub const DIGEST_BYTES: usize = 16;

/// Which of two accepted configurations is the newer one, and where its record is.
///
/// Where the nodes themselves judge the records of the log, it is the record's place: its offset plus one.
/// A log service that accepts configurations itself numbers them, and may come back from an older copy of
/// the log; there it is that number and, for the same one, the record's [`logs::ordinal`].
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(u128);

impl Version {
    /// No configuration yet; lower than every real version.
    pub const NONE: Version = Version(0);

    /// The version of the record before the offset `number`.
    pub const fn new(number: u64) -> Self {
        Self(number as u128)
    }

    /// The version that the log service has given the number `number`, from 1 on, read as the record of
    /// `ordinal`.
    pub const fn assigned(number: u64, ordinal: u64) -> Self {
        Self((number as u128) << u64::BITS | ordinal as u128)
    }

    /// The version's number; zero for [`Version::NONE`].
    pub const fn number(self) -> u64 {
        match self.assigned_number() {
            0 => self.low_bits(),
            number => number,
        }
    }

    /// Epoch of the log in which its record was read.
    pub const fn epoch(self) -> logs::Epoch {
        if self.assigned_number() == 0 { 0 } else { logs::epoch(self.low_bits()) }
    }

    /// The offset after its record, in its epoch.
    pub const fn next_offset(self) -> logs::Offset {
        if self.assigned_number() == 0 {
            self.low_bits()
        } else {
            logs::next_offset(self.low_bits())
        }
    }

    /// The number that the log service has given; zero where the nodes judge.
    const fn assigned_number(self) -> u64 {
        (self.0 >> u64::BITS) as u64
    }

    const fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(f)
    }
}

/// The first bytes of the blake3 hash of a configuration file as published.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&blake3::hash(body).as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// The digest's bytes.
    pub const fn bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A version with the digest of its file.
///
/// Invariant: two identifiers with the same version made from the same log have the same digest.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct VersionId {
    /// The accepted version.
    pub version: Version,
    /// Digest of the version's file.
    pub digest: Digest,
}
