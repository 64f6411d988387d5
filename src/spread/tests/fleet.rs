//! Set-up of the fleets that tests start from.

use std::time;

use crate::configs;
use crate::spread::tests::{files, net};
use crate::version;

pub const SECOND: time::Duration = time::Duration::from_secs(1);

/// A valid configuration of a few services; each `tag` gives another one.
pub fn file(tag: u64) -> Vec<u8> {
    files::valid(tag, 12)
}

/// A fleet of which every node runs the first version.
pub fn started(
    zones: u8,
    hosts: u8,
    settings: configs::spread::Spread,
    seed: u64,
) -> (net::Net, version::Version) {
    let mut net = net::Net::new(zones, hosts, settings, seed);
    let version = net.publish(&file(0));
    assert!(version > version::Version::NONE, "the first version is accepted");
    let took = net.run_until(SECOND * 20, |n| n.all_run(version));
    assert!(took.is_some(), "the first version reaches all");
    net.advance(SECOND * 5);
    (net, version)
}
