//! Tests of the decisions on requests under which upstreams end.

use std::net;
use std::time;

use crate::clock;
use crate::host;
use crate::quarantine;
use crate::quarantine::Fingerprint;

mod entry;
mod fingerprint;
mod innocents;
mod proven;
mod table;

/// The request that ends upstreams.
const BAD: Fingerprint = Fingerprint(1);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn host(number: u16) -> host::HostId {
    let ip = net::Ipv4Addr::from_bits(0x0a00_0000 + u32::from(number));
    host::HostId::new(net::SocketAddr::from((ip, 7100)))
}

/// The end number `number` of the upstream beside `host`, at `millis`, while `prints` ran.
fn end(by: u16, number: u64, millis: u64, prints: &[u64]) -> quarantine::Crash {
    let prints = prints.iter().copied().map(Fingerprint).collect();
    quarantine::Crash {
        id: quarantine::CrashId { host: host(by), number },
        at: at(millis),
        fingerprints: prints,
    }
}

/// A table that has seen the ends of upstreams beside hosts 0, 1, ... a second apart, at which `prints`
/// ran.
fn seen(prints: &[&[u64]]) -> quarantine::Table {
    let mut table = quarantine::Table::default();
    for (number, prints) in (0..).zip(prints) {
        let millis = 1000 * (1 + u64::from(number));
        assert!(table.record_crash(end(number, 0, millis, prints), at(millis)));
    }
    table
}

fn refused(table: &quarantine::Table, print: Fingerprint, now: clock::Instant) -> bool {
    table.snapshot().remaining(print, 0.0, now).is_some()
}

const SECOND: time::Duration = time::Duration::from_secs(1);
