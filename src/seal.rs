//! Keyed tags that keep strangers and nodes of other meshes out.
//!
//! A tag proves that a message was made by a holder of the mesh's key, for this mesh. It does not
//! hide the message, and it does not stop a replay: every protocol above it is idempotent.

/// Bytes a tag takes at the front of a sealed message.
pub const TAG_BYTES: usize = 8;

/// Domain of the key derivation; changing it makes every older build a stranger.
const DOMAIN: &str = "dandelionspool 2026 seal v1";

/// Why a message was not opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message is shorter than a tag.
    #[error("the message is shorter than its tag")]
    Short,
    /// The tag was made with another key, for another mesh, or over another body.
    #[error("the tag does not belong to this mesh and body")]
    Tag,
}

/// Makes and checks the tags of one mesh.
#[derive(Clone)]
pub struct Seal {
    key: [u8; blake3::KEY_LEN],
}

impl Seal {
    /// The seal of the mesh called `mesh`, whose nodes share `key`.
    pub fn new(mesh: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
        hasher.update(&(mesh.len() as u64).to_le_bytes());
        hasher.update(mesh.as_bytes());
        hasher.update(key.as_bytes());
        Self { key: *hasher.finalize().as_bytes() }
    }

    /// `body` with its tag in front.
    pub fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut message = Vec::with_capacity(TAG_BYTES + body.len());
        message.extend_from_slice(&self.tag(body));
        message.extend_from_slice(body);
        message
    }

    /// The body of `message`.
    ///
    /// # Errors
    ///
    /// Fails when the message is too short or its tag is not this mesh's.
    pub fn open<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], Error> {
        let (tag, body) = message.split_at_checked(TAG_BYTES).ok_or(Error::Short)?;
        let wanted = self.tag(body);
        // All bytes are compared, so that the time taken tells nothing about the tag.
        let differing = tag.iter().zip(wanted).fold(0, |acc, (a, b)| acc | (a ^ b));
        if differing == 0 { Ok(body) } else { Err(Error::Tag) }
    }

    /// A key for another use than tags, which `domain` names.
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
