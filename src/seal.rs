//! Message authentication codes between nodes, called tags, which keep out unauthenticated peers
//! and nodes of other meshes.
//!
//! A tag proves that a message was made for this mesh by a holder of its key. It neither encrypts
//! the message nor prevents a replay; the protocols above it are idempotent for that reason.

/// Length of the tag at the front of a sealed message.
pub const TAG_BYTES: usize = 8;

/// Context of the key derivation. With another one, nodes reject all messages of older builds.
const DOMAIN: &str = "dandelionspool 2026 seal v1";

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message is shorter than a tag.
    #[error("the message is shorter than a tag")]
    Short,
    /// The tag was made with another key, for another mesh, or for another body.
    #[error("the tag does not match the mesh, its key and the body")]
    Tag,
}

/// Computes and verifies the tags of one mesh.
#[derive(Clone)]
pub struct Seal {
    key: [u8; blake3::KEY_LEN],
}

impl Seal {
    /// The seal of the mesh named `mesh`, whose nodes share `key`.
    pub fn new(mesh: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
        hasher.update(&(mesh.len() as u64).to_le_bytes());
        hasher.update(mesh.as_bytes());
        hasher.update(key.as_bytes());
        Self { key: *hasher.finalize().as_bytes() }
    }

    /// Returns `body` with its tag in front.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut message = Vec::with_capacity(TAG_BYTES + body.len());
        message.extend_from_slice(&self.tag(body));
        message.extend_from_slice(body);
        message
    }

    /// Verifies the tag of `message` and returns its body.
    ///
    /// # Errors
    ///
    /// Fails when the message is too short or the tag is wrong.
    pub fn open<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], Error> {
        let (tag, body) = message.split_at_checked(TAG_BYTES).ok_or(Error::Short)?;
        let expected = self.tag(body);
        // Compares in constant time, so that the time taken reveals nothing about the expected tag.
        let differing = tag.iter().zip(expected).fold(0, |acc, (a, b)| acc | (a ^ b));
        if differing == 0 { Ok(body) } else { Err(Error::Tag) }
    }

    /// Derives a key for the use named by `domain`, separate from the key of the tags.
    pub fn derive(&self, domain: &str) -> [u8; blake3::KEY_LEN] {
        blake3::derive_key(domain, &self.key)
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

#[cfg(test)]
mod tests;
