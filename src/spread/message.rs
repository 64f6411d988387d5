//! Messages about configuration between nodes: sealed datagrams and frames, in postcard.

use serde::{Deserialize, Serialize};

use crate::delta;
use crate::host;
use crate::version;

/// Maximum size of a sealed push without its patch.
pub const MAX_PUSH_OVERHEAD_BYTES: usize = 96;

/// A patch that leads from one version's file to another's.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// The version it leads to, with the digest that the result must have.
    pub version_id: version::VersionId,
    /// The version it starts from; ignored when the patch holds the complete file.
    pub base: version::Version,
    /// The patch between the two files.
    pub patch: delta::Patch,
}

/// A datagram with its sender, whose address need not be the datagram's source address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The sending host's id in the mesh. `None` stands for the host of the datagram's source
    /// address, which saves bytes.
    pub host: Option<host::HostId>,
    /// The content.
    pub datagram: Datagram,
}

/// The content of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// Acknowledges a push that requested it.
    Ack {
        /// The version that the sender holds.
        version: version::Version,
    },
    /// Announces a new version that is too large for a datagram; the receiver may fetch it.
    Announce {
        /// The version, with its digest.
        version_id: version::VersionId,
        /// Whether the receiver forwards it.
        forwarding: Forwarding,
    },
    /// Asks, at start, which version the receiver holds and which one the sender ran before.
    Query,
    /// Sends a new version.
    Push {
        /// The version, as a patch.
        update: Update,
        /// Whether the receiver forwards it.
        forwarding: Forwarding,
    },
    /// Replies to a [`Datagram::Query`].
    QueryReply {
        /// The version that the sender holds.
        version_id: version::VersionId,
        /// The highest version that the querying host is known to have run.
        highest_run: version::Version,
    },
    /// Asks for the newest version that the receiver holds.
    Request {
        /// The version that the sender holds.
        have: version::Version,
    },
    /// Renews the receiver's lease: a host that reads the log for it is there.
    Renew {
        /// The version that the sender holds.
        version: version::Version,
        /// Hosts that the renewal may pass, including the receiver.
        hops: u8,
    },
}

/// Whether the receiver of a version forwards it to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Forwarding {
    /// It replies to a request and is not forwarded.
    Reply,
    /// It is forwarded along the tree.
    Forward,
    /// It is forwarded along the tree, and the sender waits for an acknowledgement.
    ForwardAck,
}

/// The request frame of a transfer, sent by the host that opened it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// The requesting host.
    pub host: host::HostId,
    /// The version that it holds.
    pub have: version::Version,
}

/// The frame that replies to a [`Fetch`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FetchReply {
    /// Refused: the host already serves as many transfers as it may.
    Busy {
        /// A host that was served before and can be asked instead.
        other: Option<host::HostId>,
    },
    /// The serving host holds no newer version.
    UpToDate,
    /// The newest version that the serving host holds.
    Update(Update),
}
