//! Bytes and datagrams that membership sends; the same on every run.

use std::time::Duration;

use dandelionspool::member;
use dandelionspool::node;
use dandelionspool::view;
use rstest::rstest;

use crate::feed;
use crate::net;

/// Bytes that a host sends in a second while nothing changes.
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
    assert!(bytes <= 60, "{bytes} B/s");
}

#[rstest]
fn replacement_of_a_host_costs_a_bounded_number_of_bytes() {
    let count = 100;
    let idle = idle(count);
    let mut net = net::Net::settled(count, 1);
    let before = net.sent();
    for index in 5..10 {
        net.handle(index, member::Event::Stage(node::Stage::Drain));
        net.run(Duration::from_secs(3));
        net.handle(index, member::Event::Stage(node::Stage::End));
        net.kill(index);
        let fresh = net.add(net::settings(net.hosts.len()));
        net.run(Duration::from_secs(3));
        let serving = net::upstream(fresh, view::Phase::Serving);
        net.handle(fresh, member::Event::Local(Some(serving.into())));
        net.run(Duration::from_secs(24));
    }
    let bytes = (net.sent() - before) / count as u64 - 150 * idle;
    assert!(bytes / 5 <= 3500, "{} bytes a host for one replacement", bytes / 5);
}

#[rstest]
fn idle_host_among_2800_sends_hardly_more_than_one_among_100() {
    let cost = |count: usize| {
        let mut feed = feed::Feed::new(count);
        (0..60).for_each(|_| feed.second());
        let before = feed.tally;
        (0..60).for_each(|_| feed.second());
        (feed.tally.sent - before.sent, feed.tally.datagrams - before.datagrams)
    };
    let ((few_bytes, few), (many_bytes, many)) = (cost(100), cost(2800));
    assert!(many <= few + 6, "{many} datagrams a minute against {few}");
    assert!(many_bytes <= few_bytes * 11 / 10, "{many_bytes} bytes a minute against {few_bytes}");
}

#[rstest]
fn update_among_2800_hosts_is_sent_a_bounded_number_of_times() {
    let mut feed = feed::Feed::new(2800);
    (0..60).for_each(|_| feed.second());
    let before = feed.tally.sent;
    (0..60).for_each(|_| feed.second());
    let idle = feed.tally.sent - before;
    let before = feed.tally.sent;
    feed.gossip(9, 1, view::Phase::Serving, 40);
    (0..60).for_each(|_| feed.second());
    let bytes = (feed.tally.sent - before).saturating_sub(idle);
    assert!((100..3000).contains(&bytes), "{bytes} bytes");
}

#[rstest]
fn start_of_all_hosts_at_once_has_a_bounded_cost() {
    let count = 200;
    let mut net = net::Net::new(count, 1);
    net.run(Duration::from_secs(120));
    assert!(net.agrees());
    let bytes = net.sent() / count as u64;
    assert!(bytes <= 55_000, "{bytes} bytes a host in the first two minutes");
}
