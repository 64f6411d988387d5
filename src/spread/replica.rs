//! The newest accepted configuration that a node holds, from the log or from other nodes.

use std::sync::Arc;

use bytes::Bytes;

use crate::delta;
use crate::fold;
use crate::mesh;
use crate::spread::message;
use crate::spread::version_cache;
use crate::version;

/// Why an update from another node was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration breaks the rules of this build.
    #[error("the configuration is not valid")]
    Invalid(#[from] mesh::fault::Faults),
    /// The patch does not lead to the file of the digest named.
    #[error("the patch can't be applied")]
    Patch(#[from] delta::Error),
}

/// The newest accepted configuration at this node, with older files as bases of patches.
///
/// Invariant: `mesh` is the parsed newest file of `cache`; neither goes back to an older version.
#[derive(Debug)]
pub struct Replica {
    mesh: Arc<mesh::Mesh>,
    cache: version_cache::VersionCache,
}

impl Replica {
    /// A replica without a version that keeps up to `max_older` older files as bases.
    pub fn new(max_older: u8) -> Self {
        Self { mesh: Arc::default(), cache: version_cache::VersionCache::new(max_older) }
    }

    /// The newest version held.
    pub fn version_id(&self) -> version::VersionId {
        self.cache.version_id()
    }

    /// The version held before the newest.
    pub fn previous_version(&self) -> version::Version {
        self.cache.previous_version()
    }

    /// The configuration held, ready to run.
    pub fn applied(&self) -> mesh::Applied {
        mesh::Applied { version_id: self.version_id(), mesh: Arc::clone(&self.mesh) }
    }

    /// Stores a configuration that a reader's fold accepted; true when it is newer.
    pub fn accept(&mut self, accepted: &fold::Accepted) -> bool {
        let newer = accepted.version_id.version > self.version_id().version;
        if newer {
            self.store(accepted.version_id, accepted.body.clone(), Arc::clone(&accepted.mesh));
        }
        newer
    }

    /// The update from `base` to the newest version; `None` while no version is held.
    pub fn update_from(&mut self, base: version::Version) -> Option<message::Update> {
        self.cache.update_from(base)
    }

    /// Applies an update; true when it led to a newer version.
    ///
    /// # Errors
    ///
    /// Fails without a change when the patch needs a base that is not held, when its result does
    /// not have the digest named, or when the resulting file is not valid.
    pub fn apply(&mut self, update: &message::Update) -> Result<bool, Error> {
        if update.version_id.version <= self.version_id().version {
            return Ok(false);
        }
        let body = self.cache.apply(update)?;
        let mesh = Arc::new(mesh::check::check(&body)?);
        self.store(update.version_id, body, mesh);
        self.cache.insert_patch(update);
        Ok(true)
    }

    fn store(&mut self, version_id: version::VersionId, body: Bytes, mesh: Arc<mesh::Mesh>) {
        self.cache.insert(version_id, body);
        self.mesh = mesh;
    }
}
