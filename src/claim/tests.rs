//! Tests of claims, and helpers that make keys, attempts and entries.

mod fold;
mod follow;
mod history;
mod record;
mod shell;
mod sim;
mod writer;

use std::net;

use crate::claim;
use crate::claim::record::{Entry, Op};
use crate::host;

fn key(n: u8) -> claim::Key {
    claim::Key([n; claim::KEY_BYTES])
}

fn attempt(host: u8, number: u64) -> claim::Attempt {
    let host = host::HostId::new(net::SocketAddr::from(([10, 0, 0, host], 7100)));
    claim::Attempt { host, incarnation: 1, number }
}

fn entry(op: Op, n: u8, number: u64) -> Entry {
    Entry { key: key(n), attempt: attempt(1, number), op }
}

#[test]
fn keys_of_two_requests_differ() {
    assert_ne!(claim::Key::new("POST", "/a", b"1"), claim::Key::new("POST", "/b", b"1"));
    assert_ne!(claim::Key::new("POST", "/a", b"1"), claim::Key::new("PUT", "/a", b"1"));
    assert_ne!(claim::Key::new("PUT", "/ab", b"c"), claim::Key::new("PUT", "/a", b"bc"));
    assert_eq!(claim::Key::new("PUT", "/a", b"1"), claim::Key::new("PUT", "/a", b"1"));
}
