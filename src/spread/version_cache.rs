//! Cache of the newest versions' files and of the patches between them.

use std::collections;

use bytes::Bytes;

use crate::delta;
use crate::spread::message;
use crate::version;

/// Maximum total size of the older files kept as bases.
const MAX_OLDER_BYTES: usize = 4 << 20;

/// One version's file.
#[derive(Clone, Debug)]
struct File {
    version_id: version::VersionId,
    body: Bytes,
}

/// The newest file, a few older ones as bases, and the patches that lead to the newest.
///
/// Invariant: `files` are in ascending order of version; every cached patch leads to the newest.
#[derive(Debug)]
pub struct VersionCache {
    max_older: usize,
    files: collections::VecDeque<File>,
    patches: collections::HashMap<version::Version, delta::Patch>,
}

impl VersionCache {
    /// An empty cache that keeps at most `max_older` files beside the newest.
    pub fn new(max_older: u8) -> Self {
        Self {
            max_older: usize::from(max_older),
            files: collections::VecDeque::new(),
            patches: collections::HashMap::new(),
        }
    }

    /// The newest version held.
    pub fn version_id(&self) -> version::VersionId {
        self.files.back().map(|f| f.version_id).unwrap_or_default()
    }

    /// The version held before the newest.
    pub fn previous_version(&self) -> version::Version {
        self.files.iter().rev().nth(1).map(|f| f.version_id.version).unwrap_or_default()
    }

    /// Adds the file of `version_id` unless it is older than the newest file or the same.
    pub fn insert(&mut self, version_id: version::VersionId, body: Bytes) {
        if version_id.version <= self.version_id().version {
            return;
        }
        self.files.push_back(File { version_id, body });
        self.patches.clear();
        while self.files.len() > self.max_older + 1 || self.older_bytes() > MAX_OLDER_BYTES {
            self.files.pop_front();
        }
    }

    /// Caches the patch of an applied update, so that it need not be computed again.
    pub fn insert_patch(&mut self, update: &message::Update) {
        if update.version_id == self.version_id() {
            self.patches.insert(update.base, update.patch.clone());
        }
    }

    /// The update from `base` to the newest file: by a cached patch, else by a new one from the
    /// file of `base`, else by the complete file if `base` is not held.
    pub fn update_from(&mut self, base: version::Version) -> Option<message::Update> {
        let newest = self.files.back()?;
        let version_id = newest.version_id;
        if let Some(patch) = self.patches.get(&base) {
            return Some(message::Update { version_id, base, patch: patch.clone() });
        }
        let from =
            self.files.iter().find(|f| f.version_id.version == base && base < version_id.version);
        let base = from.map(|f| f.version_id.version).unwrap_or_default();
        if let Some(patch) = self.patches.get(&base) {
            return Some(message::Update { version_id, base, patch: patch.clone() });
        }
        let patch = delta::diff(from.map(|f| &f.body[..]), &newest.body);
        self.patches.insert(base, patch.clone());
        Some(message::Update { version_id, base, patch })
    }

    /// The file that an update leads to, checked against its digest.
    pub fn apply(&self, update: &message::Update) -> Result<Bytes, delta::Error> {
        let base = self.files.iter().find(|f| f.version_id.version == update.base);
        delta::apply(base.map(|f| &f.body[..]), &update.patch, update.version_id.digest)
    }

    fn older_bytes(&self) -> usize {
        let older = self.files.len().saturating_sub(1);
        self.files.iter().take(older).map(|f| f.body.len()).sum()
    }
}
