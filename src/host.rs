//! Identity and addresses of a host.
//!
//! A node listens on six consecutive ports, starting with its base port. Their order is fixed, so
//! that the base address alone identifies a host and gives all its addresses.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

/// Number of consecutive ports that a node uses.
pub const PORT_COUNT: u16 = 6;

const SPREAD_OFFSET: u16 = 1;
const INNER_OFFSET: u16 = 2;
const CALL_OFFSET: u16 = 3;
const ADMIN_OFFSET: u16 = 4;
const LEDGER_OFFSET: u16 = 5;

/// Identity of a host: its IP address and base port.
///
/// Invariant: the base port is at most `65535 - PORT_COUNT`, checked where settings and the
/// directory are read and where a datagram is decoded. With a larger one the other ports wrap
/// around, so that the host can't be reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostId(net::SocketAddr);

impl HostId {
    /// The host whose base address is `base`.
    pub const fn new(base: net::SocketAddr) -> Self {
        Self(base)
    }

    /// Whether all ports of the host exist. One that others have written need not be such a host.
    pub const fn has_valid_ports(self) -> bool {
        let port = self.0.port();
        port > 0 && port <= u16::MAX - PORT_COUNT
    }

    /// The host that sends its configuration datagrams from `address`.
    pub fn from_spread_addr(address: net::SocketAddr) -> Self {
        Self::from_offset(address, SPREAD_OFFSET)
    }

    /// Address for membership datagrams (UDP), which is the base address.
    pub const fn member_addr(self) -> net::SocketAddr {
        self.0
    }

    /// Address for configuration datagrams (UDP) and transfers (TCP).
    pub fn spread_addr(self) -> net::SocketAddr {
        self.offset(SPREAD_OFFSET)
    }

    /// The host that sends its quota datagrams from `address`.
    pub fn from_inner_addr(address: net::SocketAddr) -> Self {
        Self::from_offset(address, INNER_OFFSET)
    }

    /// Address for calls from other nodes (HTTP/2 over TCP), and for quota datagrams (UDP).
    pub fn inner_addr(self) -> net::SocketAddr {
        self.offset(INNER_OFFSET)
    }

    /// Address for calls from callers (HTTP/1.1).
    pub fn call_addr(self) -> net::SocketAddr {
        self.offset(CALL_OFFSET)
    }

    /// Address for metrics, health, status and announcements (HTTP/1.1).
    pub fn admin_addr(self) -> net::SocketAddr {
        self.offset(ADMIN_OFFSET)
    }

    /// Address for requests to the writers of claims and usage (TCP).
    pub fn ledger_addr(self) -> net::SocketAddr {
        self.offset(LEDGER_OFFSET)
    }

    /// Weight for rendezvous hashing: of a set of hosts those with the lowest weights are chosen
    /// for `purpose` and `salt`.
    pub fn weight(self, purpose: u64, salt: u64) -> u64 {
        let mut bytes = [0; 34];
        match self.0.ip() {
            net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
            net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
        }
        bytes[16..18].copy_from_slice(&self.0.port().to_le_bytes());
        bytes[18..26].copy_from_slice(&purpose.to_le_bytes());
        bytes[26..].copy_from_slice(&salt.to_le_bytes());
        let hash = blake3::hash(&bytes);
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// The host whose port at the offset `by` is that of `address`.
    fn from_offset(address: net::SocketAddr, by: u16) -> Self {
        let port = address.port().wrapping_sub(by);
        Self(net::SocketAddr::new(address.ip(), port))
    }

    fn offset(self, by: u16) -> net::SocketAddr {
        net::SocketAddr::new(self.0.ip(), self.0.port().wrapping_add(by))
    }
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
