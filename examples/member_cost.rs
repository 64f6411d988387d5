//! Prints the cost of membership: bytes sent by a host for several sizes of the mesh, and memory
//! and processor time of one host in a large mesh. Bytes are the same on every run; times depend
//! on the machine.
//!
//! ```sh
//! cargo run --release --example member_cost
//! ```

#![allow(dead_code)]

use std::fs;
use std::hint;
use std::time;

use dandelionspool::member;
use dandelionspool::node;
use dandelionspool::view;

#[path = "../tests/member/feed.rs"]
mod feed;
#[path = "../tests/member/net.rs"]
mod net;

/// Virtual time over which bytes are counted, in seconds.
const SPAN_S: u64 = 120;

/// Number of hosts replaced in that time.
const REPLACEMENTS: u64 = 12;

/// Number of hosts of the largest mesh.
const LARGE_MESH: usize = 2800;
/// Number of instances kept in memory at once, to compute the mean size of one.
const INSTANCES: usize = 10;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or_default();
    pages * 4096
}

/// Drains and ends one host, and starts a new one that replaces it.
fn replace(net: &mut net::Net, index: usize) {
    net.handle(index, member::Event::Stage(node::Stage::Drain));
    net.run(time::Duration::from_secs(3));
    net.handle(index, member::Event::Stage(node::Stage::End));
    net.kill(index);
    let added = net.add(net::settings(net.hosts.len()));
    net.run(time::Duration::from_secs(3));
    let upstream = net::upstream(added, view::Phase::Serving);
    net.handle(added, member::Event::Local(Some(upstream.into())));
}

/// Bytes that a host sends: per second in an idle mesh, and for each host that is replaced.
fn sent_bytes(count: usize) -> (f64, f64) {
    let mut net = net::Net::settled(count, 1);
    net.run(time::Duration::from_secs(SPAN_S));
    let before = net.sent();
    net.run(time::Duration::from_secs(SPAN_S));
    let idle = (net.sent() - before) as f64;
    let (before, start) = (net.sent(), net.now);
    for i in 0..REPLACEMENTS {
        replace(&mut net, 5 + i as usize);
        net.run(time::Duration::from_secs(SPAN_S / REPLACEMENTS - 6));
    }
    let remaining = time::Duration::from_secs(SPAN_S).saturating_sub(net.now.since(start));
    net.run(remaining);
    let busy = (net.sent() - before) as f64;
    let hosts = count as f64;
    (idle / SPAN_S as f64 / hosts, (busy - idle) / REPLACEMENTS as f64 / hosts)
}

fn main() {
    let before = resident_bytes();
    let mut feeds: Vec<_> = (0..INSTANCES).map(|_| feed::Feed::new(LARGE_MESH)).collect();
    let member_bytes = (resident_bytes() - before) / INSTANCES as u64;
    let views: Vec<_> = feeds.iter_mut().map(|f| f.member.view()).collect();
    let total_bytes = (resident_bytes() - before) / INSTANCES as u64;
    println!(
        "one host of {LARGE_MESH}: {} KB, and {} KB a view",
        member_bytes / 1024,
        (total_bytes - member_bytes) / 1024
    );
    hint::black_box(views);

    let feed = &mut feeds[0];
    let (start, tally) = (time::Instant::now(), feed.tally);
    for _ in 0..3600 {
        feed.second();
    }
    let spent = start.elapsed().as_secs_f64() / 3600.0;
    let sent = (feed.tally.sent - tally.sent) as f64 / 3600.0;
    println!("idle: {:.1} us of processor a second, {sent:.1} B/s sent", spent * 1e6);

    // A hundred changes; as in a real mesh, each one is received from 40 peers.
    let (start, tally) = (time::Instant::now(), feed.tally);
    for change in 0..100 {
        feed.gossip(100 + change, 1, view::Phase::Serving, 40);
        for _ in 0..60 {
            feed.second();
        }
        hint::black_box(feed.member.view());
    }
    let spent = start.elapsed().as_secs_f64() / 100.0 - spent * 60.0;
    let sent = (feed.tally.sent - tally.sent) as f64 / 100.0 - sent * 60.0;
    println!("a change: {:.0} us of processor, {sent:.0} B sent", spent * 1e6);

    println!("hosts  idle B/s a host  B a replacement a host");
    for count in [25, 50, 100, 200, 400] {
        let (idle, replacement) = sent_bytes(count);
        println!("{count:5}  {idle:15.1}  {replacement:22.0}");
    }
}
