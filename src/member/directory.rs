//! Where the hosts of a mesh find one another.

use std::error;
use std::future;
use std::net;

use serde::{Deserialize, Serialize};

use crate::host;
use crate::view;

pub(super) mod search;

/// A profile that can't be written or read.
#[derive(Debug, thiserror::Error)]
#[error("the profile of a host is malformed")]
pub struct Malformed(#[from] postcard::Error);

/// What a host says of itself to those that start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Profile {
    /// Number of the life in which it said so.
    pub incarnation: u64,
    /// Where it stands.
    pub locality: view::Locality,
    /// The upstream beside it; `None` while there is none.
    pub upstream: Option<view::Upstream>,
}

impl Profile {
    /// The bytes that a directory keeps.
    ///
    /// # Errors
    ///
    /// The codec can't write it.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        Ok(postcard::to_allocvec(self)?)
    }

    /// What `bytes` say.
    ///
    /// # Errors
    ///
    /// They were written by something else.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Whether `other` tells the same to those that start: lives and phases are heard from the host
    /// itself.
    fn is_like(&self, other: &Self) -> bool {
        let lasting = |upstream: &view::Upstream| {
            let (service, class) = (upstream.service.clone(), upstream.class.clone());
            (service, class, upstream.version.clone(), upstream.slots, upstream.connections)
        };
        let (ours, theirs) = (self.upstream.as_ref(), other.upstream.as_ref());
        self.locality == other.locality && ours.map(lasting) == theirs.map(lasting)
    }
}

/// A host as the directory names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// The host.
    pub host: host::HostId,
    /// What it said of itself; `None` where that can't be read or it said nothing.
    pub profile: Option<Profile>,
}

/// A place that names hosts of the mesh to those that start.
///
/// What it says need not be current: a host that is gone is found out by asking it.
pub trait Directory: Clone + Send + 'static {
    /// Why the directory did not answer.
    type Error: error::Error + Send + Sync + 'static;

    /// Whether other hosts may be listed at all; a host waits for its first look when they may.
    fn is_shared(&self) -> bool;

    /// Lists `host` with its `profile`.
    fn register(
        &self,
        host: host::HostId,
        profile: &Profile,
    ) -> impl future::Future<Output = Result<(), Self::Error>>;

    /// The hosts that are listed.
    fn hosts(&self) -> impl future::Future<Output = Result<Vec<Listed>, Self::Error>>;

    /// Strikes `host` off.
    fn deregister(
        &self,
        host: host::HostId,
    ) -> impl future::Future<Output = Result<(), Self::Error>>;
}

/// The directory of a node whose settings name the hosts to join.
#[derive(Clone, Debug)]
pub struct Fixed(Vec<host::HostId>);

impl Fixed {
    /// The hosts with these base addresses.
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
