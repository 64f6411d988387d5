//! Identifiers of publishes.

use std::fmt;
use std::str;

use serde::{Deserialize, Serialize};

use crate::version;

/// Length of a publish id.
const ID_BYTES: usize = 16;

/// Identifies one publish, whose record may be in the log more than once.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct PublishId([u8; ID_BYTES]);

impl PublishId {
    /// The id with these bytes.
    pub const fn new(bytes: [u8; ID_BYTES]) -> Self {
        Self(bytes)
    }

    /// The id of publishing `file` as the successor of `base`. It is always the same, so that a
    /// command run twice is one publish.
    pub fn derive(base: version::Version, file: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("dandelionspool publish id 1");
        hasher.update(&base.number().to_le_bytes());
        hasher.update(file);
        let mut bytes = [0; ID_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..ID_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for PublishId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a publish id has 32 hexadecimal digits")]
pub struct ParseError;

impl str::FromStr for PublishId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let digits = text.len() == 2 * ID_BYTES && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(|n| Self(n.to_be_bytes())).ok_or(ParseError)
    }
}
