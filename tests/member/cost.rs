//! Bytes of membership, the same on every run.

use std::time::Duration;

use rstest::rstest;

use crate::net;

/// Bytes a host sends in a second when nothing happens.
fn idle(count: usize) -> u64 {
    let mut net = net::Net::settled(count, 1);
    let before = net.sent();
    net.run(Duration::from_secs(60));
    (net.sent() - before) / 60 / count as u64
}

#[rstest]
#[case(25)]
#[case(50)]
#[case(100)]
#[case(200)]
fn idle_bytes_do_not_grow_with_the_mesh(#[case] count: usize) {
    let bytes = idle(count);
    println!("{count} hosts: {bytes} B/s a host idle");
    assert!(bytes <= 70, "{bytes} B/s");
}
