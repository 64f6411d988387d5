//! Prints what membership costs: bytes by the size of the mesh, and one host's share of a large
//! one. Bytes are the same on every run; times are of this machine.
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

/// Seconds of virtual time over which bytes are counted.
const SPAN: u64 = 120;

/// Hosts replaced in that time.
const REPLACED: u64 = 12;

/// Hosts of the largest mesh, and processes kept at once to weigh one.
const LARGE: usize = 2800;
const KEPT: usize = 10;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or_default();
    pages * 4096
}

/// Drains and ends one host and starts another in its place.
fn replace(net: &mut net::Net, index: usize) {
    net.handle(index, member::Event::Stage(node::Stage::Drain));
    net.run(time::Duration::from_secs(3));
    net.handle(index, member::Event::Stage(node::Stage::End));
    net.kill(index);
    let fresh = net.add(net::settings(net.hosts.len()));
    net.run(time::Duration::from_secs(3));
    let warm = net::upstream(fresh, view::Phase::Serving);
    net.handle(fresh, member::Event::Local(Some(warm.into())));
}

/// Bytes a host sends: in a second when idle, and for each host that is replaced.
fn mesh(count: usize) -> (f64, f64) {
    let mut net = net::Net::settled(count, 1);
    net.run(time::Duration::from_secs(SPAN));
    let before = net.sent();
    net.run(time::Duration::from_secs(SPAN));
    let idle = (net.sent() - before) as f64;
    let (before, start) = (net.sent(), net.now);
    for i in 0..REPLACED {
        replace(&mut net, 5 + i as usize);
        net.run(time::Duration::from_secs(SPAN / REPLACED - 6));
    }
    let rest = time::Duration::from_secs(SPAN).saturating_sub(net.now.since(start));
    net.run(rest);
    let busy = (net.sent() - before) as f64;
    let hosts = count as f64;
    (idle / SPAN as f64 / hosts, (busy - idle) / REPLACED as f64 / hosts)
}

fn main() {
    let before = resident();
    let mut kept: Vec<_> = (0..KEPT).map(|_| feed::Feed::new(LARGE)).collect();
    let tables = (resident() - before) / KEPT as u64;
    let views: Vec<_> = kept.iter_mut().map(|f| f.member.view()).collect();
    let both = (resident() - before) / KEPT as u64;
    println!("one host of {LARGE}: {} KB, and {} KB a view", tables / 1024, (both - tables) / 1024);
    hint::black_box(views);

    let feed = &mut kept[0];
    let (start, tally) = (time::Instant::now(), feed.tally);
    for _ in 0..3600 {
        feed.second();
    }
    let spent = start.elapsed().as_secs_f64() / 3600.0;
    let sent = (feed.tally.sent - tally.sent) as f64 / 3600.0;
    println!("idle: {:.1} us of processor a second, {sent:.1} B/s sent", spent * 1e6);

    // A hundred changes, each heard from as many peers as pass it on.
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
        let (idle, replacement) = mesh(count);
        println!("{count:5}  {idle:15.1}  {replacement:22.0}");
    }
}
