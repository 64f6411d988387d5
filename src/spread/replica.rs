//! The accepted configuration as one node holds it, from the log or from other nodes.

use std::sync::Arc;

use bytes::Bytes;

use crate::delta;
use crate::fold;
use crate::mesh;
use crate::spread::message;
use crate::spread::shelf;
use crate::version;

/// Why a parcel from another node was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration breaks the rules of this build.
    #[error("the configuration is not valid")]
    Invalid(#[from] mesh::fault::Faults),
    /// The patch does not lead to the file it names.
    #[error("the patch can't be used")]
    Patch(#[from] delta::Error),
}

/// The newest accepted configuration known here, with older files as bases of patches.
///
/// Invariant: `mesh` is what the newest file of `shelf` says; neither goes back.
#[derive(Debug)]
pub struct Replica {
    mesh: Arc<mesh::Mesh>,
    shelf: shelf::Shelf,
}

impl Replica {
    /// Holds nothing; will keep `keep` older files as bases.
    pub fn new(keep: u8) -> Self {
        Self { mesh: Arc::default(), shelf: shelf::Shelf::new(keep) }
    }

    /// What is held.
    pub fn version_id(&self) -> version::VersionId {
        self.shelf.version_id()
    }

    /// The version held before.
    pub fn older(&self) -> version::Version {
        self.shelf.older()
    }

    /// What is held, ready to run.
    pub fn applied(&self) -> mesh::Applied {
        mesh::Applied { version_id: self.version_id(), mesh: Arc::clone(&self.mesh) }
    }

    /// Takes what a reader's fold accepted; true when it is newer.
    pub fn accept(&mut self, accepted: &fold::Accepted) -> bool {
        let newer = accepted.version_id.version > self.version_id().version;
        if newer {
            self.put(accepted.version_id, accepted.body.clone(), Arc::clone(&accepted.mesh));
        }
        newer
    }

    /// The way from `base` to what is held.
    pub fn parcel(&mut self, base: version::Version) -> Option<message::Parcel> {
        self.shelf.parcel(base)
    }

    /// Takes a parcel; true when it led to a newer version.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, when the patch does not lead from a file held here to the file
    /// of the digest named, or when that file is not valid.
    pub fn open(&mut self, parcel: &message::Parcel) -> Result<bool, Error> {
        if parcel.version_id.version <= self.version_id().version {
            return Ok(false);
        }
        let body = self.shelf.open(parcel)?;
        let mesh = Arc::new(mesh::check::check(&body)?);
        self.put(parcel.version_id, body, mesh);
        self.shelf.keep(parcel);
        Ok(true)
    }

    fn put(&mut self, stamp: version::VersionId, body: Bytes, mesh: Arc<mesh::Mesh>) {
        self.shelf.put(stamp, body);
        self.mesh = mesh;
    }
}
