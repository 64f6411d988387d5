//! Answer bodies that can be checked: they carry the request's id and end in a hash of the rest.
//!
//! Layout: a line of JSON ([`Head`]), `bytes` bytes of filler, 64 characters of the hexadecimal
//! blake3 hash of everything before.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Characters of a hash in hexadecimal.
pub const HASH_CHARS: usize = 64;

/// First line of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Id of the request that is answered.
    pub id: SmolStr,
    /// Hash of the request's body as it came, in hexadecimal.
    pub request: SmolStr,
    /// Length of the filler, in bytes.
    pub bytes: u64,
}

/// What is wrong with an answer.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// It ends too early or its hash is not that of its bytes.
    #[error("the answer is not whole")]
    NotWhole,
    /// It answers another request.
    #[error("the answer is for request {0}")]
    Crossed(SmolStr),
    /// The upstream saw another request body.
    #[error("the request's body arrived changed")]
    Changed,
}

/// Checks that `body` is the whole answer to the request `id` with the body `request`.
pub fn check(body: &[u8], id: &str, request: &[u8]) -> Result<Head, Fault> {
    let split = body.len().checked_sub(HASH_CHARS).ok_or(Fault::NotWhole)?;
    let (rest, hash) = body.split_at(split);
    if blake3::hash(rest).to_hex().as_bytes() != hash {
        return Err(Fault::NotWhole);
    }
    let line = rest.split(|b| *b == b'\n').next().unwrap_or_default();
    let head: Head = serde_json::from_slice(line).map_err(|_| Fault::NotWhole)?;
    if head.id != id {
        return Err(Fault::Crossed(head.id));
    }
    if head.request != blake3::hash(request).to_hex().as_str() {
        return Err(Fault::Changed);
    }
    Ok(head)
}
