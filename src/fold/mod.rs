//! Acceptance of configurations: a pure fold over the log.
//!
//! Every node that reads the `config` stream comes to the same verdict on every record, without a
//! leader, a lease or a quorum, because a verdict depends only on the records and their order in
//! the log. `docs/design/configuration-log.md` gives the reasons for this design.

use std::sync::Arc;

use bytes::Bytes;

use crate::logs;
use crate::mesh;
use crate::version;

pub mod follow;
pub mod id;
pub mod outcomes;
pub mod reader;
pub mod record;
pub mod rules;
pub mod snapshot;
pub mod submit;

/// The accepted configuration.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The version with its digest.
    pub version_id: version::VersionId,
    /// Format of the file, by whose rules it is valid.
    pub format: u16,
    /// The file as published; `version_id.digest` is its digest.
    pub body: Bytes,
    /// The parsed file.
    pub mesh: Arc<mesh::Mesh>,
}

/// The fold's verdict on one record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<F> {
    /// A publish that is the current version from now on.
    Accepted(version::VersionId),
    /// A publish based on another version than the current one; no effect.
    Conflict {
        /// The current version.
        current: version::Version,
    },
    /// A publish whose file breaks the rules of its format; no effect.
    Invalid {
        /// All faults found in the file.
        faults: F,
    },
    /// A file that the log service has accepted, which this build can't apply; the version before
    /// stays.
    Unusable {
        /// Its version.
        version: version::Version,
        /// All faults found in the file.
        faults: F,
    },
    /// A publish whose id has occurred before; no effect.
    Repeated {
        /// The outcome of the first one.
        first: outcomes::Outcome,
    },
    /// A snapshot that gave the state; the next read starts at [`Fold::next`], which may have moved
    /// back.
    Adopted(version::VersionId),
    /// A snapshot of a state that was known already; no effect.
    Known(version::VersionId),
    /// A snapshot that is inconsistent in itself or with the known state; no effect.
    Disputed(version::VersionId),
    /// A publish, or a snapshot that does not cover all missed records, while the state is not
    /// known; a later snapshot will give the state.
    Unjudged,
    /// A record of a format that this build does not know; the state after it is not known.
    Newer {
        /// The record's format.
        format: u16,
    },
    /// Not a record of the system; builds of every format ignore it.
    Undecodable,
    /// A record that has been judged before.
    Stale,
}

/// A record's offset and verdict.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Judged<F> {
    /// The record's offset.
    pub offset: logs::Offset,
    /// The verdict on it.
    pub verdict: Verdict<F>,
}

/// The latest position in the log from which a new reader learns the state: the beginning of the
/// log or a snapshot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplayStart {
    /// A new reader that starts at this offset or an earlier one learns the state.
    pub next_offset: logs::Offset,
    /// When the first record or the snapshot was appended, in milliseconds since the Unix epoch.
    pub unix_millis: u64,
}

/// The state of acceptance after the records before [`Fold::next`].
#[derive(Clone, Debug)]
pub struct Fold<R> {
    rules: R,
    /// The accepted configuration; never replaced by an older version.
    current: Option<Accepted>,
    outcomes: outcomes::Outcomes,
    /// Offset of the next record to judge.
    next: logs::Offset,
    /// Set while the state is not known: a snapshot that covers all records before this offset, or
    /// a file accepted by the log service, makes it known.
    gap: Option<logs::Offset>,
    replay_start: Option<ReplayStart>,
}

impl<R: rules::Rules> Fold<R> {
    /// A fold that starts at `offset`. Its state is known at once if `offset` is 0, otherwise after
    /// a snapshot.
    pub fn starting_at(rules: R, offset: logs::Offset) -> Self {
        Self {
            rules,
            current: None,
            outcomes: outcomes::Outcomes::default(),
            next: offset,
            gap: (offset > 0).then_some(offset),
            replay_start: None,
        }
    }

    /// The accepted configuration; there may be a later one while [`Fold::state_known`] is false.
    pub const fn current(&self) -> Option<&Accepted> {
        self.current.as_ref()
    }

    /// The accepted version; [`version::Version::NONE`] when there is none.
    pub fn version(&self) -> version::Version {
        self.current.as_ref().map_or(version::Version::NONE, |c| c.version_id.version)
    }

    /// Offset to read the next records from.
    pub const fn next(&self) -> logs::Offset {
        self.next
    }

    /// Whether the state after all records before [`Fold::next`] is known.
    pub const fn state_known(&self) -> bool {
        self.gap.is_none()
    }

    /// The latest position from which a new reader learns the state, as far as records were read.
    pub const fn replay_start(&self) -> Option<ReplayStart> {
        self.replay_start
    }

    /// The outcome of the publish `id`, if it is still kept.
    pub fn outcome(&self, id: id::PublishId) -> Option<outcomes::Outcome> {
        self.outcomes.get(id)
    }

    /// Judges the records of `batch`, which was read from [`Fold::next`]. Stops after a snapshot
    /// that was adopted, because the next read starts at another offset.
    pub fn apply_batch(&mut self, batch: &logs::Batch) -> Vec<Judged<R::Faults>> {
        self.skip_expired(batch.first);
        let mut judged = Vec::with_capacity(batch.records.len());
        for record in &batch.records {
            let verdict = self.apply(record.offset, record.unix_millis, &record.body);
            let adopted = matches!(verdict, Verdict::Adopted(_));
            judged.push(Judged { offset: record.offset, verdict });
            if adopted {
                break;
            }
        }
        judged
    }

    /// Skips the records before `first`, which have expired. If that leaves a gap, the state is no
    /// longer known.
    pub fn skip_expired(&mut self, first: logs::Offset) {
        if first > self.next {
            self.next = first;
            self.gap = Some(first);
        }
    }

    /// Judges the record at `offset`, appended at `unix_millis`.
    pub fn apply(
        &mut self,
        offset: logs::Offset,
        unix_millis: u64,
        body: &[u8],
    ) -> Verdict<R::Faults> {
        if offset < self.next {
            return Verdict::Stale;
        }
        if self.replay_start.is_none() && self.state_known() {
            self.replay_start = Some(ReplayStart { next_offset: self.next, unix_millis });
        }
        self.next = offset + 1;
        match record::decode(body, self.rules.newest()) {
            Ok(record::Record::Publish(publish)) => self.publish(publish),
            Ok(record::Record::Snapshot(snapshot)) => self.snapshot(offset, unix_millis, snapshot),
            Ok(record::Record::Accepted(accepted)) => self.accept_from_service(accepted),
            Err(record::Error::Format(format)) => {
                self.gap = Some(self.next);
                Verdict::Newer { format }
            }
            Err(_) => Verdict::Undecodable,
        }
    }

    /// Encodes a snapshot of the state; `None` if the state is not known or no version is accepted.
    pub fn encode(&self) -> Result<Option<Bytes>, record::Error> {
        let Some(accepted) = self.current.as_ref().filter(|_| self.state_known()) else {
            return Ok(None);
        };
        let snapshot = record::Snapshot {
            format: accepted.format,
            version_id: accepted.version_id,
            next_offset: self.next,
            outcomes: self.outcomes.clone(),
            body: accepted.body.clone(),
        };
        record::encode(&record::Record::Snapshot(snapshot)).map(Some)
    }

    fn publish(&mut self, publish: record::Publish) -> Verdict<R::Faults> {
        if !self.state_known() {
            return Verdict::Unjudged;
        }
        if let Some(first) = self.outcomes.get(publish.id) {
            return Verdict::Repeated { first };
        }
        let current = self.version();
        if publish.base != current {
            self.outcomes.put(publish.id, outcomes::Outcome::Conflict { current });
            return Verdict::Conflict { current };
        }
        match self.rules.check(publish.format, &publish.body) {
            Ok(mesh) => self.accept(publish, mesh),
            Err(faults) => {
                self.outcomes.put(publish.id, outcomes::Outcome::Invalid);
                Verdict::Invalid { faults }
            }
        }
    }

    fn accept(&mut self, publish: record::Publish, mesh: mesh::Mesh) -> Verdict<R::Faults> {
        let version = version::Version::new(self.next);
        let version_id = version::VersionId { version, digest: version::Digest::of(&publish.body) };
        self.outcomes.put(publish.id, outcomes::Outcome::Accepted(version_id));
        self.current = Some(Accepted {
            version_id,
            format: publish.format,
            body: publish.body,
            mesh: Arc::new(mesh),
        });
        Verdict::Accepted(version_id)
    }

    /// Applies a file that the log service has accepted. The records before it do not matter.
    fn accept_from_service(&mut self, accepted: record::Accepted) -> Verdict<R::Faults> {
        let digest = version::Digest::of(&accepted.body);
        let version_id = version::VersionId { version: accepted.version, digest };
        let mesh = match self.rules.check(accepted.format, &accepted.body) {
            Ok(mesh) => Arc::new(mesh),
            Err(faults) => return Verdict::Unusable { version: accepted.version, faults },
        };
        self.gap = None;
        // The log service keeps the file that it accepted, so that no snapshots are needed.
        self.replay_start = None;
        self.current =
            Some(Accepted { version_id, format: accepted.format, body: accepted.body, mesh });
        Verdict::Accepted(version_id)
    }

    fn snapshot(
        &mut self,
        offset: logs::Offset,
        unix_millis: u64,
        snapshot: record::Snapshot,
    ) -> Verdict<R::Faults> {
        let version_id = snapshot.version_id;
        if self.gap.is_some_and(|from| snapshot.next_offset < from) {
            return Verdict::Unjudged;
        }
        if !snapshot.consistent(offset) || self.contradicts(&snapshot) {
            return Verdict::Disputed(version_id);
        }
        let replay_start = ReplayStart { next_offset: snapshot.next_offset, unix_millis };
        if !self.state_known() {
            return self.adopt(snapshot, replay_start);
        }
        self.advance_replay_start(replay_start, version_id);
        Verdict::Known(version_id)
    }

    /// Moves the replay start forward to a snapshot of `version_id`. A snapshot of an older version
    /// than the current one is ignored, since it can't be checked against the state any more.
    fn advance_replay_start(&mut self, replay_start: ReplayStart, version_id: version::VersionId) {
        let later = self.replay_start.is_none_or(|a| a.next_offset <= replay_start.next_offset);
        if later && self.current.as_ref().is_some_and(|c| c.version_id == version_id) {
            self.replay_start = Some(replay_start);
        }
    }

    /// Whether the snapshot, which covers all records that this fold has missed, contradicts the
    /// records that it has read.
    fn contradicts(&self, snapshot: &record::Snapshot) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let ours = current.version_id;
        if self.state_known() {
            return ours.version.number() <= snapshot.next_offset && snapshot.version_id != ours;
        }
        let older = snapshot.version_id.version < ours.version;
        older || snapshot.version_id.version == ours.version && snapshot.version_id != ours
    }

    fn adopt(
        &mut self,
        snapshot: record::Snapshot,
        replay_start: ReplayStart,
    ) -> Verdict<R::Faults> {
        let version_id = snapshot.version_id;
        let Ok(mesh) = self.rules.check(snapshot.format, &snapshot.body) else {
            return Verdict::Disputed(version_id);
        };
        let mesh = Arc::new(mesh);
        self.current =
            Some(Accepted { version_id, format: snapshot.format, body: snapshot.body, mesh });
        self.outcomes = snapshot.outcomes;
        self.next = snapshot.next_offset;
        self.gap = None;
        self.replay_start = Some(replay_start);
        Verdict::Adopted(version_id)
    }
}
