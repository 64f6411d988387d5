//! Fingerprints of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::seal;

/// Context of the key derivation; it keeps this key apart from that of the mesh's authentication
/// tags.
const DOMAIN: &str = "dandelionspool 2026 request fingerprint v1";

/// Hash of a request: equal for two requests with the same method, host, path and body, whoever
/// sends them, and the same at every node of a mesh.
///
/// The hash is keyed, so that nobody outside the mesh can craft a request with the fingerprint of
/// another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The part of a request's body that is available when the fingerprint is computed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body<'a> {
    /// The complete body.
    Complete(&'a [u8]),
    /// The body is streamed; its length in bytes, `None` if the request does not declare it.
    Streamed(Option<u64>),
}

/// Computes the fingerprints of one mesh.
#[derive(Clone)]
pub struct Fingerprinter {
    key: [u8; blake3::KEY_LEN],
}

impl Fingerprinter {
    /// Creates a fingerprinter with a key derived from that of `seal`.
    pub fn new(seal: &seal::Seal) -> Self {
        Self { key: seal.derive(DOMAIN) }
    }

    /// Computes the fingerprint of a request from its method, the host that it names, its path with
    /// the query, and its body.
    pub fn fingerprint(&self, method: &str, host: &str, path: &str, body: Body<'_>) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for text in [method, &host.to_ascii_lowercase(), path] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        match body {
            Body::Complete(bytes) => hasher.update(&[0]).update(bytes),
            Body::Streamed(None) => hasher.update(&[1]),
            Body::Streamed(Some(bytes)) => hasher.update(&[2]).update(&bytes.to_le_bytes()),
        };
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_le_bytes(first))
    }
}
