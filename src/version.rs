//! Names of accepted configurations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of bytes kept of a configuration's hash.
pub const DIGEST_BYTES: usize = 16;

/// An accepted configuration's place in the log: the offset of its record plus one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Version(u64);

impl Version {
    /// No configuration yet; lower than every real version.
    pub const NONE: Version = Version(0);

    /// The version whose number is `number`.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The version's number; zero for [`Version::NONE`].
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
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
/// Invariant: two stamps with the same version made from the same log have the same digest.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Stamp {
    /// The accepted version.
    pub version: Version,
    /// Digest of the version's file.
    pub digest: Digest,
}
