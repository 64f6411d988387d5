//! Ranges of loopback addresses that fleets of several processes share out among themselves.

use std::net;
use std::process;

use crate::bench::fleet;

/// First second octet used, so that 127.0.0.1 and its neighbours stay free.
const FIRST: u32 = 64;
/// Number of second octets used.
const SECONDS: u32 = 128;
/// Third octets in a range.
const WIDTH: u32 = 4;
/// Ranges in one second octet.
const RANGES: u32 = 60;
/// Hosts on one third octet.
const ROW: usize = 200;
/// First third octet, counted from the range's first, of addresses bound behind a proxy.
const BOUND_ROW: usize = 2;
/// Port whose listener holds the range.
const LOCK_PORT: u16 = 7099;

/// A range of loopback addresses, ours while this value lives.
#[derive(Debug)]
pub struct Network {
    second: u8,
    third: u8,
    _lock: net::TcpListener,
}

impl Network {
    /// A range nobody else has, looked for from a place that depends on the process id.
    pub fn claim() -> Result<Self, fleet::Error> {
        let all = SECONDS * RANGES;
        let from = process::id().wrapping_mul(RANGES + 1) % all;
        let tries = (0..all).map(|step| (from + step) % all);
        tries.filter_map(Self::lock).next().ok_or(fleet::Error::NoRange)
    }

    fn lock(range: u32) -> Option<Self> {
        let second = u8::try_from(FIRST + range / RANGES).ok()?;
        let third = u8::try_from(range % RANGES * WIDTH).ok()?;
        let ip = net::Ipv4Addr::new(127, second, third, 254);
        let lock = net::TcpListener::bind((ip, LOCK_PORT)).ok()?;
        Some(Self { second, third, _lock: lock })
    }

    /// Address of the host number `index`, below 400.
    pub fn host(&self, index: usize) -> net::IpAddr {
        let row = u8::try_from(index / ROW).unwrap_or(u8::MAX);
        let column = u8::try_from(index % ROW + 1).unwrap_or(u8::MAX);
        self.ip(row, column)
    }

    /// Address the node of host number `index`, below 400, binds when a proxy holds its own.
    pub fn bound(&self, index: usize) -> net::IpAddr {
        let row = u8::try_from(index / ROW + BOUND_ROW).unwrap_or(u8::MAX);
        let column = u8::try_from(index % ROW + 1).unwrap_or(u8::MAX);
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
