//! Response bodies that a client can verify: they contain the request's id and a hash of the rest.
//!
//! Layout: a line of JSON ([`Head`]), `bytes` bytes of filler, 64 characters of the hexadecimal
//! blake3 hash of everything before.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Characters of a hash in hexadecimal.
pub const HASH_CHARS: usize = 64;

/// First line of a response body.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Id of the request.
    pub id: SmolStr,
    /// Hash of the request's body as the upstream received it, in hexadecimal.
    pub request: SmolStr,
    /// Length of the filler, in bytes.
    pub bytes: u64,
}

/// Why a response body is not the right one.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Fault {
    /// It is truncated, or its bytes do not match the hash.
    #[error("the response is truncated or corrupt")]
    Corrupt,
    /// It belongs to another request, whose id is given.
    #[error("the response belongs to request {0}")]
    WrongRequest(SmolStr),
    /// The upstream received another request body than was sent.
    #[error("the upstream received another request body")]
    RequestChanged,
}

/// Checks that `body` is the complete response to the request `id` with the body `request`.
pub fn check(body: &[u8], id: &str, request: &[u8]) -> Result<Head, Fault> {
    let split = body.len().checked_sub(HASH_CHARS).ok_or(Fault::Corrupt)?;
    let (rest, hash) = body.split_at(split);
    if blake3::hash(rest).to_hex().as_bytes() != hash {
        return Err(Fault::Corrupt);
    }
    let line = rest.split(|b| *b == b'\n').next().unwrap_or_default();
    let head: Head = serde_json::from_slice(line).map_err(|_| Fault::Corrupt)?;
    if head.id != id {
        return Err(Fault::WrongRequest(head.id));
    }
    if head.request != blake3::hash(request).to_hex().as_str() {
        return Err(Fault::RequestChanged);
    }
    Ok(head)
}
