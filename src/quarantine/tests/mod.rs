//! Tests of the quarantine of requests that crash upstreams.

use std::net;
use std::time;

use crate::clock;
use crate::host;
use crate::quarantine;
use crate::quarantine::Fingerprint;

mod answers;
mod entry;
mod fingerprint;
mod innocents;
mod table;

/// The request that crashes upstreams.
const BAD: Fingerprint = Fingerprint(1);

fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

fn host(number: u16) -> host::HostId {
    let ip = net::Ipv4Addr::from_bits(0x0a00_0000 + u32::from(number));
    host::HostId::new(net::SocketAddr::from((ip, 7100)))
}

/// Crash `number` of the upstream beside host `by`, at `millis`, while it ran `fingerprints`.
fn crash(by: u16, number: u64, millis: u64, fingerprints: &[u64]) -> quarantine::Crash {
    quarantine::Crash {
        id: quarantine::CrashId { host: host(by), number },
        at: at(millis),
        fingerprints: fingerprints.iter().copied().map(Fingerprint).collect(),
    }
}

/// A table with crashes of the upstreams beside hosts 0, 1, ..., a second apart, each while it ran
/// the given fingerprints.
fn table_of(crashes: &[&[u64]]) -> quarantine::Table {
    let mut table = quarantine::Table::default();
    for (number, fingerprints) in (0..).zip(crashes) {
        let millis = 1000 * (1 + u64::from(number));
        assert!(table.record_crash(crash(number, 0, millis, fingerprints), at(millis)));
    }
    table
}

fn refused(table: &quarantine::Table, fingerprint: Fingerprint, now: clock::Instant) -> bool {
    table.snapshot().remaining(fingerprint, 0.0, now).is_some()
}

const SECOND: time::Duration = time::Duration::from_secs(1);
