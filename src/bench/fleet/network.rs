//! Reserves ranges of loopback addresses, so that fleets of several processes do not collide.

use std::net;
use std::process;

use crate::bench::fleet;

/// First value of the second octet, which keeps 127.0.0.1 and its neighbours free.
const FIRST_OCTET: u32 = 64;
/// Number of values of the second octet.
const OCTET_COUNT: u32 = 128;
/// Number of values of the third octet (rows) in a range.
const ROWS_PER_RANGE: u32 = 4;
/// Number of ranges under each value of the second octet.
const RANGES_PER_OCTET: u32 = 60;
/// Number of hosts in a row.
const HOSTS_PER_ROW: usize = 200;
/// First row of a range for the addresses that nodes bind behind a fault proxy.
const BOUND_ROW: usize = 2;
/// Port on which a listener reserves the range.
const LOCK_PORT: u16 = 7099;

/// A range of loopback addresses, reserved until this value is dropped.
#[derive(Debug)]
pub struct Network {
    second: u8,
    third: u8,
    _lock: net::TcpListener,
}

impl Network {
    /// Reserves a free range; the search starts at a range that depends on the process id.
    pub fn claim() -> Result<Self, fleet::Error> {
        let all = OCTET_COUNT * RANGES_PER_OCTET;
        let from = process::id().wrapping_mul(RANGES_PER_OCTET + 1) % all;
        let tries = (0..all).map(|step| (from + step) % all);
        tries.filter_map(Self::lock).next().ok_or(fleet::Error::NoRange)
    }

    fn lock(range: u32) -> Option<Self> {
        let second = u8::try_from(FIRST_OCTET + range / RANGES_PER_OCTET).ok()?;
        let third = u8::try_from(range % RANGES_PER_OCTET * ROWS_PER_RANGE).ok()?;
        let ip = net::Ipv4Addr::new(127, second, third, 254);
        let lock = net::TcpListener::bind((ip, LOCK_PORT)).ok()?;
        Some(Self { second, third, _lock: lock })
    }

    /// Address of the host number `index`, below 400.
    pub fn host(&self, index: usize) -> net::IpAddr {
        let row = u8::try_from(index / HOSTS_PER_ROW).unwrap_or(u8::MAX);
        let column = u8::try_from(index % HOSTS_PER_ROW + 1).unwrap_or(u8::MAX);
        self.ip(row, column)
    }

    /// Address that the node of host number `index`, below 400, binds behind a fault proxy.
    pub fn bound(&self, index: usize) -> net::IpAddr {
        let row = u8::try_from(index / HOSTS_PER_ROW + BOUND_ROW).unwrap_or(u8::MAX);
        let column = u8::try_from(index % HOSTS_PER_ROW + 1).unwrap_or(u8::MAX);
        self.ip(row, column)
    }

    /// Address of a service of the platform, numbered from 0.
    pub fn platform(&self, index: u8) -> net::IpAddr {
        self.ip(0, 240 + index)
    }

    fn ip(&self, row: u8, column: u8) -> net::IpAddr {
        net::IpAddr::V4(net::Ipv4Addr::new(127, self.second, self.third + row, column))
    }
}
