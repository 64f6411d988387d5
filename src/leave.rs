//! Leavings of upstreams that a node has acknowledged, and how its duties pass them on.
//!
//! The acknowledgement binds, whatever becomes of the process that gave it, and of all processes. So
//! the node tells other nodes and the directory before it answers, and a process that starts anew on
//! its host learns from them which instances of its upstream have left: what such an instance still
//! says, late, changes nothing.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};

/// Leavings that wait for the membership duty; the operators' port waits when there are more.
const CAPACITY: usize = 16;

/// The first bytes of a hash of an instance's name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceHash([u8; 8]);

impl InstanceHash {
    /// The hash of `instance`; `None` without a name, as such an instance can't be told from its
    /// successor.
    pub fn of(instance: &SmolStr) -> Option<Self> {
        if instance.is_empty() {
            return None;
        }
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(instance.as_bytes()).as_bytes()[..8]);
        Some(Self(first))
    }
}

/// The leaving of an instance of an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Leave {
    /// The instance.
    pub instance: InstanceHash,
    /// Start time of its latest incarnation that leaves, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
    /// Sequence number of the announcement that said so; [`Leave::FINAL`] if it can't come back.
    pub sequence: u64,
}

impl Leave {
    /// The sequence number of an instance that can't come back.
    pub const FINAL: u64 = u64::MAX;

    /// Whether an announcement of `instance` was sent before it left, and so is late.
    pub fn covers(&self, instance: InstanceHash, born: Option<u64>, sequence: u64) -> bool {
        self.instance == instance && (self.born, self.sequence) > (born, sequence)
    }

    /// Whether this says all that `other` says, of the same instance.
    pub fn includes(&self, other: &Self) -> bool {
        self.instance == other.instance
            && (self.born, self.sequence) >= (other.born, other.sequence)
    }
}

/// A leaving, and whom to tell when the first other nodes have been told.
#[derive(Debug)]
pub struct Report {
    /// The leaving.
    pub leave: Leave,
    /// Answered once datagrams with it are on their way.
    pub told: oneshot::Sender<()>,
}

/// The side of the duty that takes announcements.
#[derive(Debug)]
pub struct AdminSide {
    /// Leavings that it acknowledges.
    pub reports: mpsc::Sender<Report>,
    /// What other nodes, or the directory, know of this host's upstreams.
    pub known: watch::Receiver<Arc<[Leave]>>,
    /// What the directory keeps of it. Closed if the directory is not shared.
    pub kept: watch::Receiver<Arc<[Leave]>>,
}

impl AdminSide {
    /// Waits until the directory keeps `leave`; returns at once if the directory is not shared.
    pub async fn wait_kept(&self, leave: &Leave) {
        let mut kept = self.kept.clone();
        // A closed channel means that nothing is kept.
        let _ = kept.wait_for(|kept| kept.iter().any(|known| known.includes(leave))).await;
    }
}

/// The side of the membership duty.
#[derive(Debug)]
pub struct MemberSide {
    /// Leavings to tell other nodes of.
    pub reports: mpsc::Receiver<Report>,
    /// Receives all known leavings of this host's upstreams.
    pub known: watch::Sender<Arc<[Leave]>>,
    /// Receives those that the directory keeps.
    pub kept: watch::Sender<Arc<[Leave]>>,
}

/// The channels between the two duties.
pub fn channel() -> (AdminSide, MemberSide) {
    let (sender, receiver) = mpsc::channel(CAPACITY);
    let (known_sender, known) = watch::channel(Arc::default());
    let (kept_sender, kept) = watch::channel(Arc::default());
    let admin = AdminSide { reports: sender, known, kept };
    (admin, MemberSide { reports: receiver, known: known_sender, kept: kept_sender })
}
