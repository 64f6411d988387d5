//! Differences between two configuration files, exact to the byte.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::version;

pub mod frame;

/// Largest file restored, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;

/// What turns a base file into the next one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Patch {
    /// The next file, compressed with the base as its prefix.
    Delta(Bytes),
    /// The next file, compressed on its own.
    Compressed(Bytes),
    /// The next file as it is, where compression gains nothing.
    Uncompressed(Bytes),
}

/// Why a patch gives no file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The patch is a delta and there is no base.
    #[error("the delta needs a base")]
    NoBase,
    /// The bytes don't decompress, or not within [`MAX_FILE_BYTES`].
    #[error("the patch does not decompress")]
    Frame(#[from] std::io::Error),
    /// The result is not the file that was meant.
    #[error("the result has digest {0}, not the expected one")]
    Mismatch(version::Digest),
}

impl Patch {
    /// Bytes of the content.
    pub const fn size(&self) -> usize {
        match self {
            Patch::Delta(bytes) | Patch::Compressed(bytes) | Patch::Uncompressed(bytes) => {
                bytes.len()
            }
        }
    }
}

/// The smallest of a delta from `base`, the whole of `next` and the plain `next`.
pub fn diff(base: Option<&[u8]>, next: &[u8]) -> Patch {
    let delta = base.and_then(|b| frame::compress_against(b, next).ok()).map(Patch::Delta);
    let whole = frame::compress(next).ok().map(Patch::Compressed);
    let compressed = [delta, whole].into_iter().flatten().min_by_key(Patch::size);
    match compressed {
        Some(patch) if patch.size() < next.len() => patch,
        _ => Patch::Uncompressed(Bytes::copy_from_slice(next)),
    }
}

/// The file that `patch` makes from `base`. It has the digest `expect`.
pub fn apply(base: Option<&[u8]>, patch: &Patch, expect: version::Digest) -> Result<Bytes, Error> {
    let file = match patch {
        Patch::Delta(bytes) => frame::decompress_against(base.ok_or(Error::NoBase)?, bytes)?,
        Patch::Compressed(bytes) => frame::decompress(bytes)?,
        Patch::Uncompressed(bytes) => bytes.clone(),
    };
    let found = version::Digest::of(&file);
    if found != expect {
        return Err(Error::Mismatch(found));
    }
    Ok(file)
}
