//! Messages about configuration between nodes: sealed datagrams and frames, in postcard.

use serde::{Deserialize, Serialize};

use crate::delta;
use crate::host;
use crate::version;

/// Most bytes a sealed push takes beside its patch.
pub const OVERHEAD: usize = 96;

/// How to get from one version's file to another's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Parcel {
    /// The version it leads to, with the digest by which the result is checked.
    pub version_id: version::VersionId,
    /// The version it starts from; not used when the patch holds the whole file.
    pub base: version::Version,
    /// The patch.
    pub patch: delta::Patch,
}

/// A datagram with its sender, whose address need not be the datagram's source address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The sending host, as the others know it; `None` for the host that the datagram's source
    /// address tells, which saves bytes where only a reply may need it.
    pub host: Option<host::HostId>,
    /// What it says.
    pub datagram: Datagram,
}

/// What a datagram says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// The sender holds `version`; answers a push that asked for it.
    Ack {
        /// The version held.
        version: version::Version,
    },
    /// A new version too large for a datagram waits at the sender.
    Announce {
        /// The version, with its digest.
        version_id: version::VersionId,
        /// What becomes of it.
        way: Way,
    },
    /// What does the mesh run, and what did I run before?
    Ask,
    /// A new version.
    Push {
        /// The version.
        parcel: Parcel,
        /// What becomes of it.
        way: Way,
    },
    /// Answers an [`Datagram::Ask`].
    Tell {
        /// What the sender holds.
        version_id: version::VersionId,
        /// The highest version the asking host is known to have run.
        yours: version::Version,
    },
    /// Send me what you hold; I hold `have`.
    Want {
        /// What the sender holds.
        have: version::Version,
    },
}

/// What becomes of a version that was sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Way {
    /// It answers a request and goes no further.
    Answer,
    /// It is passed on along the tree.
    Pass,
    /// It is passed on along the tree, and the sender waits for an acknowledgement.
    PassAck,
}

/// One frame from the side that opened a transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// The asking host.
    pub host: host::HostId,
    /// What it holds.
    pub have: version::Version,
}

/// The frame that answers a [`Fetch`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Served {
    /// Too many transfers at once.
    Busy {
        /// A host that holds what was asked for.
        other: Option<host::HostId>,
    },
    /// Nothing newer is held here.
    Nothing,
    /// The newest version held.
    Parcel(Parcel),
}
