//! Fingerprints of requests.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::seal;

/// Domain of the key derivation, apart from that of the mesh's tags.
const DOMAIN: &str = "dandelionspool 2026 request fingerprint v1";

/// A fingerprint: equal for two requests that ask the same with the same body, whoever sends them, and the
/// same at every node of a mesh.
///
/// It is keyed, so that nobody outside can make a request with the fingerprint of another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What is known of a request's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Body<'a> {
    /// It was read whole.
    Complete(&'a [u8]),
    /// It streams; its length in bytes, where that is known.
    Streamed(Option<u64>),
}

/// Makes the fingerprints of one mesh.
#[derive(Clone)]
pub struct Fingerprinter {
    key: [u8; blake3::KEY_LEN],
}

impl Fingerprinter {
    /// A printer for the mesh of `seal`.
    pub fn new(seal: &seal::Seal) -> Self {
        Self { key: seal.derive(DOMAIN) }
    }

    /// The fingerprint of a request: the method, the host that it names, the path with its query and the
    /// body.
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
