//! The files a node holds and the patches between them.

use std::collections;

use bytes::Bytes;

use crate::delta;
use crate::spread::message;
use crate::version;

/// Most bytes of older files kept as bases.
const KEPT_BYTES: usize = 4 << 20;

/// One version's file.
#[derive(Clone, Debug)]
struct File {
    version_id: version::VersionId,
    body: Bytes,
}

/// The newest file held, a few older ones as bases, and the patches made between them.
///
/// Invariant: `files` rise by version; every cached patch leads to the newest file.
#[derive(Debug)]
pub struct Shelf {
    keep: usize,
    files: collections::VecDeque<File>,
    patches: collections::HashMap<version::Version, delta::Patch>,
}

impl Shelf {
    /// An empty shelf that keeps `keep` older files at most.
    pub fn new(keep: u8) -> Self {
        Self {
            keep: usize::from(keep),
            files: collections::VecDeque::new(),
            patches: collections::HashMap::new(),
        }
    }

    /// The newest version held.
    pub fn version_id(&self) -> version::VersionId {
        self.files.back().map(|f| f.version_id).unwrap_or_default()
    }

    /// The version held before the newest.
    pub fn older(&self) -> version::Version {
        self.files.iter().rev().nth(1).map(|f| f.version_id.version).unwrap_or_default()
    }

    /// Takes the file of `stamp`; ignored unless it is newer than all that is held.
    pub fn put(&mut self, stamp: version::VersionId, body: Bytes) {
        if stamp.version <= self.version_id().version {
            return;
        }
        self.files.push_back(File { version_id: stamp, body });
        self.patches.clear();
        while self.files.len() > self.keep + 1 || self.older_bytes() > KEPT_BYTES {
            self.files.pop_front();
        }
    }

    /// Takes a patch that was received and checked, so that it is not made again.
    pub fn keep(&mut self, parcel: &message::Parcel) {
        if parcel.version_id == self.version_id() {
            self.patches.insert(parcel.base, parcel.patch.clone());
        }
    }

    /// The way from `base` to the newest file: a patch if one is known or `base` is held, else the
    /// whole file.
    pub fn parcel(&mut self, base: version::Version) -> Option<message::Parcel> {
        let newest = self.files.back()?;
        let stamp = newest.version_id;
        if let Some(patch) = self.patches.get(&base) {
            return Some(message::Parcel { version_id: stamp, base, patch: patch.clone() });
        }
        let from = self.files.iter().find(|f| f.version_id.version == base && base < stamp.version);
        let base = from.map(|f| f.version_id.version).unwrap_or_default();
        if let Some(patch) = self.patches.get(&base) {
            return Some(message::Parcel { version_id: stamp, base, patch: patch.clone() });
        }
        let patch = delta::diff(from.map(|f| &f.body[..]), &newest.body);
        self.patches.insert(base, patch.clone());
        Some(message::Parcel { version_id: stamp, base, patch })
    }

    /// The file a parcel leads to, checked against its digest.
    pub fn open(&self, parcel: &message::Parcel) -> Result<Bytes, delta::Error> {
        let base = self.files.iter().find(|f| f.version_id.version == parcel.base);
        delta::apply(base.map(|f| &f.body[..]), &parcel.patch, parcel.version_id.digest)
    }

    fn older_bytes(&self) -> usize {
        let older = self.files.len().saturating_sub(1);
        self.files.iter().take(older).map(|f| f.body.len()).sum()
    }
}
