//! Leavings of upstreams that a node has acknowledged before its process ended.

use std::time::Duration;

use dandelionspool::leave;
use dandelionspool::member;
use rstest::rstest;

use crate::net;

/// Time from the start of a process after which it is bound again.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

fn leave(instance: &str, sequence: u64) -> leave::Leave {
    let instance = leave::InstanceHash::of(&instance.into()).unwrap();
    leave::Leave { instance, born: None, sequence }
}

/// Bytes that all hosts send within `span`.
fn sent_within(net: &mut net::Net, span: Duration) -> u64 {
    let before = net.sent();
    net.run(span);
    net.sent() - before
}

/// What host `index` has learned of its own upstreams since the last call.
fn learned(net: &mut net::Net, index: usize) -> Option<Vec<leave::Leave>> {
    net.hosts[index].member.as_mut().unwrap().take_own_leaves()
}

/// Guards against a leaving that only the process knew which acknowledged it: killed right after
/// that, it starts anew and believes what its upstream said before.
#[rstest]
fn a_node_that_was_killed_learns_which_upstreams_have_left(
    #[values(3, 100)] hosts: usize,
    #[values(0.0, 0.2)] loss: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut net = net::Net::settled(hosts, seed);
    net.faults.loss = loss;
    let (first, second) = (leave("i-1", 7), leave("i-2", leave::Leave::FINAL));
    net.handle(2, member::Event::Left(first));
    net.handle(2, member::Event::Left(second));
    net.kill(2);
    net.run(Duration::from_millis(500));
    net.start(2);
    let mut known = Vec::new();
    let took = net.until(STABLE_WINDOW, |net| {
        known = learned(net, 2).unwrap_or(std::mem::take(&mut known));
        known.len() == 2
    });
    assert!(took.is_some(), "after {STABLE_WINDOW:?} it knows {known:?}");
    assert!(known.contains(&first) && known.contains(&second), "{known:?}");
}

/// Guards against leavings of many upstreams at once that reach no process, or that cost more than
/// a host may send: a service of half of the hosts is replaced, and all its nodes are killed one
/// after the other.
#[rstest]
fn a_service_that_is_replaced_whole_is_remembered(#[values(1, 2)] seed: u64) {
    const N: usize = 100;
    let mut net = net::Net::settled(N, seed);
    let idle = sent_within(&mut net, Duration::from_secs(2));
    let before = net.sent();
    for index in 0..N / 2 {
        net.handle(index, member::Event::Left(leave(&format!("i-{index}"), leave::Leave::FINAL)));
        net.run(Duration::from_millis(40));
    }
    let during = net.sent() - before;
    net.run(Duration::from_secs(2));
    for index in 0..N / 2 {
        net.kill(index);
        net.run(Duration::from_millis(100));
        net.start(index);
        let took = net.until(STABLE_WINDOW, |net| learned(net, index).is_some());
        assert!(took.is_some(), "host {index} has learned nothing");
    }
    let each = during.saturating_sub(idle) / (N as u64 / 2);
    println!("{each} bytes a leaving, {during} sent by all hosts in 2 s, {idle} without leavings");
    // A hundredth of what all hosts may send in a second, 3 KB each.
    assert!(each < N as u64 * 3000 / 100, "{each} bytes a leaving");
}

/// Guards against a record that is kept for ever.
#[test]
fn a_leaving_is_forgotten_after_ten_minutes() {
    let mut net = net::Net::settled(3, 1);
    net.handle(2, member::Event::Left(leave("i-1", 7)));
    net.run(Duration::from_secs(620));
    net.kill(2);
    net.run(Duration::from_millis(500));
    net.start(2);
    net.run(Duration::from_secs(10));
    assert_eq!(learned(&mut net, 2), None);
}
