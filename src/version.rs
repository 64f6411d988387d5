//! Versions of accepted configurations, and digests of their files.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::logs;

/// Length of a digest, which is a truncated hash.
pub const DIGEST_BYTES: usize = 16;

/// Version of an accepted configuration: orders configurations by age and locates their records.
///
/// Where the nodes judge the records of the log, it is the offset of the record plus one. A log
/// service that accepts configurations itself assigns a number to each, and may be restored from an
/// older copy of the log. There, the version consists of that number and the record's
/// [`logs::ordinal`], which decides between records of the same number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(u128);

impl Version {
    /// Stands for no configuration; lower than every version of a configuration.
    pub const NONE: Version = Version(0);

    /// The version of the record at offset `number - 1`, where the nodes judge.
    pub const fn new(number: u64) -> Self {
        Self(number as u128)
    }

    /// The version to which the log service assigned `number`, from 1 on, in the record of
    /// `ordinal`.
    pub const fn assigned(number: u64, ordinal: u64) -> Self {
        Self((number as u128) << u64::BITS | ordinal as u128)
    }

    /// The number shown to operators; zero for [`Version::NONE`].
    pub const fn number(self) -> u64 {
        match self.assigned_number() {
            0 => self.low_bits(),
            number => number,
        }
    }

    /// Epoch of the log in which the record was read.
    pub const fn epoch(self) -> logs::Epoch {
        if self.assigned_number() == 0 { 0 } else { logs::epoch(self.low_bits()) }
    }

    /// The offset after the record, in its epoch.
    pub const fn next_offset(self) -> logs::Offset {
        if self.assigned_number() == 0 {
            self.low_bits()
        } else {
            logs::next_offset(self.low_bits())
        }
    }

    /// The number that the log service assigned; zero where the nodes judge.
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

/// Digest of a configuration file as published: the first bytes of its blake3 hash.
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
/// Invariant: two identifiers of the same version from the same log have the same digest.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct VersionId {
    /// The accepted version.
    pub version: Version,
    /// Digest of the version's file.
    pub digest: Digest,
}
