//! Patches that turn one configuration file into another, exact to the byte.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::version;

pub mod frame;

/// Maximum size of a file.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// A patch that turns a base file into the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Patch {
    /// The next file, compressed with the base as a prefix.
    Delta(Bytes),
    /// The next file, compressed on its own.
    Compressed(Bytes),
    /// The next file itself, where compression does not make it smaller.
    Uncompressed(Bytes),
}

/// Why a patch could not be applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The patch is a delta and there is no base.
    #[error("the delta needs a base")]
    NoBase,
    /// The content does not decompress, or is larger than [`MAX_FILE_BYTES`].
    #[error("the patch does not decompress")]
    Frame(#[from] std::io::Error),
    /// The result does not have the expected digest.
    #[error("the result has digest {0}, not the expected one")]
    Mismatch(version::Digest),
}

impl Patch {
    /// Size of the content in bytes.
    pub const fn size(&self) -> usize {
        match self {
            Patch::Delta(bytes) | Patch::Compressed(bytes) | Patch::Uncompressed(bytes) => {
                bytes.len()
            }
        }
    }
}

/// The smallest patch that gives `next`: a delta from `base`, or `next` compressed or uncompressed.
pub fn diff(base: Option<&[u8]>, next: &[u8]) -> Patch {
    let delta = base.and_then(|b| frame::compress_against(b, next).ok()).map(Patch::Delta);
    let compressed = frame::compress(next).ok().map(Patch::Compressed);
    let smallest = [delta, compressed].into_iter().flatten().min_by_key(Patch::size);
    match smallest {
        Some(patch) if patch.size() < next.len() => patch,
        _ => Patch::Uncompressed(Bytes::copy_from_slice(next)),
    }
}

/// Applies `patch` to `base` and returns the result, which must have the digest `expected`.
pub fn apply(
    base: Option<&[u8]>,
    patch: &Patch,
    expected: version::Digest,
) -> Result<Bytes, Error> {
    let file = match patch {
        Patch::Delta(bytes) => frame::decompress_against(base.ok_or(Error::NoBase)?, bytes)?,
        Patch::Compressed(bytes) => frame::decompress(bytes)?,
        Patch::Uncompressed(bytes) => bytes.clone(),
    };
    let found = version::Digest::of(&file);
    if found != expected {
        return Err(Error::Mismatch(found));
    }
    Ok(file)
}
