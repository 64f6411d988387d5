//! API keys of organisations, and their digests.
//!
//! A node keeps, compares, sends and logs only the digest of a key. The digest is not salted, so
//! that a key is found by one look-up; a key must therefore be long and random, as [`ApiKey::new`]
//! makes it.

use std::fmt;
use std::str;

/// Length of a digest, which is a truncated hash.
pub const DIGEST_BYTES: usize = 16;

/// Key of the hash, which separates digests of API keys from all other hashes.
const DOMAIN: &[u8; blake3::KEY_LEN] = b"dandelionspool 2026 api key v1\0\0";

/// First characters of a new key, by which scanners for leaked secrets find it.
const PREFIX: &str = "dsk_";

/// Random bytes of a new key.
const RANDOM_BYTES: usize = 20;

/// Digest of an API key: the first bytes of its keyed blake3 hash.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        let hash = blake3::keyed_hash(DOMAIN, key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The text is not a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a digest of an API key has {} hexadecimal digits", 2 * DIGEST_BYTES)]
pub struct NotADigest;

impl str::FromStr for Digest {
    type Err = NotADigest;

    fn from_str(text: &str) -> Result<Self, NotADigest> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(NotADigest);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (byte, at) in bytes.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| NotADigest)?;
        }
        Ok(Self(bytes))
    }
}

/// A new API key. It is shown once, to the operator who asked for it, and has no `Debug`, so that
/// it does not end up in a log.
pub struct ApiKey(String);

impl ApiKey {
    /// Makes a random key.
    pub fn new() -> Self {
        let random: [u8; RANDOM_BYTES] = rand::random();
        let digits: String = random.iter().map(|b| format!("{b:02x}")).collect();
        Self(format!("{PREFIX}{digits}"))
    }

    /// The text that callers send.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The digest that the configuration lists.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }
}

impl Default for ApiKey {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests;
