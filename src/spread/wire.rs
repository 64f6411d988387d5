//! Encoding of datagrams and frames: a postcard body under a seal.

use bytes::Bytes;
use serde::de;
use serde::ser;

use crate::seal;

/// Why received bytes are not a valid message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The tag was not made with this mesh's key.
    #[error("the message does not belong to this mesh")]
    Seal(#[from] seal::Error),
    /// The body is not a message in postcard.
    #[error("the message does not decode")]
    Decode(#[from] postcard::Error),
    /// Bytes follow the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
}

/// The seal for the distribution's messages in `mesh`; it rejects messages of other duties.
pub fn seal(mesh: &str, key: &str) -> seal::Seal {
    seal::Seal::new(&format!("{mesh}\0spread"), key)
}

/// The sealed bytes of `message`.
///
/// # Errors
///
/// Fails when postcard can't encode the message, which does not happen with the types used here.
pub fn encode<T: ser::Serialize>(seal: &seal::Seal, message: &T) -> Result<Bytes, Error> {
    Ok(seal.seal(&postcard::to_stdvec(message)?).into())
}

/// The message in the sealed `bytes`.
///
/// # Errors
///
/// Fails when the tag is wrong or the body is not exactly one message.
pub fn decode<T: de::DeserializeOwned>(seal: &seal::Seal, bytes: &[u8]) -> Result<T, Error> {
    let body = seal.open(bytes)?;
    let (message, rest) = postcard::take_from_bytes(body)?;
    match rest.len() {
        0 => Ok(message),
        more => Err(Error::Trailing(more)),
    }
}
