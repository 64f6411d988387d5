//! Directory in which the hosts of a mesh find one another.

use std::error;
use std::future;
use std::net;

use serde::{Deserialize, Serialize};

use crate::host;
use crate::leave;
use crate::view;

pub(super) mod search;

/// A profile could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("the profile of a host is malformed")]
pub struct Malformed(#[from] postcard::Error);

/// What a host registers about itself for hosts that start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Incarnation of the process that registered it.
    pub incarnation: u64,
    /// Region and availability zone.
    pub locality: view::Locality,
    /// The upstream beside it; `None` while there is none.
    pub upstream: Option<view::Upstream>,
    /// Leavings of its upstreams that it has acknowledged. Builds that don't know them ignore what
    /// follows the other fields.
    #[serde(skip)]
    pub leaves: Vec<leave::Leave>,
}

impl Profile {
    /// Encodes the profile for storage in a directory.
    ///
    /// # Errors
    ///
    /// Fails when the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        let mut bytes = postcard::to_allocvec(self)?;
        bytes.extend(postcard::to_allocvec(&self.leaves)?);
        Ok(bytes)
    }

    /// Decodes a stored profile.
    ///
    /// # Errors
    ///
    /// Fails when `bytes` are not an encoded profile.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        let (profile, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let leaves = if rest.is_empty() { Vec::new() } else { postcard::from_bytes(rest)? };
        Ok(Self { leaves, ..profile })
    }

    /// Whether `other` is as good as this profile for hosts that start. Incarnations and phases
    /// don't count: hosts learn them by gossip.
    fn is_like(&self, other: &Self) -> bool {
        let lasting = |upstream: &view::Upstream| {
            let (service, class) = (upstream.service.clone(), upstream.class.clone());
            (service, class, upstream.version.clone(), upstream.slots, upstream.connections)
        };
        let (ours, theirs) = (self.upstream.as_ref(), other.upstream.as_ref());
        self.locality == other.locality
            && ours.map(lasting) == theirs.map(lasting)
            && self.leaves == other.leaves
    }
}

/// An entry of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The host.
    pub host: host::HostId,
    /// The profile it registered; `None` when there is none or it can't be decoded.
    pub profile: Option<Profile>,
}

/// A list of the hosts of the mesh for hosts that start.
///
/// It need not be current: a listed host that is gone does not answer and is then found to be dead.
pub trait Directory: Clone + Send + 'static {
    /// Error of a failed request.
    type Error: error::Error + Send + Sync + 'static;

    /// Whether the list is shared with other hosts, so that a host waits for the first list before
    /// it concludes that it is alone.
    fn is_shared(&self) -> bool;

    /// Adds `host` with its `profile` to the list, or replaces its profile.
    fn register(
        &self,
        host: host::HostId,
        profile: &Profile,
    ) -> impl future::Future<Output = Result<(), Self::Error>>;

    /// Returns the list.
    fn hosts(&self) -> impl future::Future<Output = Result<Vec<Listed>, Self::Error>>;

    /// Removes `host` from the list.
    fn deregister(
        &self,
        host: host::HostId,
    ) -> impl future::Future<Output = Result<(), Self::Error>>;
}

/// The fixed list of a node whose settings name the hosts to join.
#[derive(Clone, Debug)]
pub struct Fixed(Vec<host::HostId>);

impl Fixed {
    /// The list of the hosts with these base addresses.
    pub fn new(addresses: &[net::SocketAddr]) -> Self {
        Self(addresses.iter().copied().map(host::HostId::new).collect())
    }
}

impl Directory for Fixed {
    type Error = std::convert::Infallible;

    fn is_shared(&self) -> bool {
        false
    }

    async fn register(&self, _host: host::HostId, _profile: &Profile) -> Result<(), Self::Error> {
        Ok(())
    }

    async fn hosts(&self) -> Result<Vec<Listed>, Self::Error> {
        let listed = |&host: &host::HostId| Listed { host, profile: None };
        Ok(self.0.iter().map(listed).collect())
    }

    async fn deregister(&self, _host: host::HostId) -> Result<(), Self::Error> {
        Ok(())
    }
}
