//! Joins, crashes, pauses, drains and restarts of hosts, and how all hosts see them.

use std::time::Duration;

use dandelionspool::member;
use dandelionspool::node;
use dandelionspool::view;
use rstest::rstest;

use crate::net;

const N: usize = 100;

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn all_hosts_learn_of_each_other(#[case] seed: u64) {
    let mut net = net::Net::new(N, seed);
    let took = net.until(Duration::from_secs(20), net::Net::agrees);
    assert!(took.is_some(), "no agreement after 20 s");
    net.run(Duration::from_secs(5));
    assert!((0..N).all(|i| net.standing(i) == Some(view::Standing::Member)));
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn all_hosts_learn_of_a_host_that_joins(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.add(net::settings(N));
    let took = net.until(Duration::from_secs(15), net::Net::agrees);
    assert!(took.is_some(), "not known everywhere after 15 s");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn dead_host_is_detected_in_time(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.kill(17);
    let took = net.until(Duration::from_secs(20), |net| {
        net.seen(17).iter().flatten().all(|h| h.health == view::Health::Unreachable)
    });
    assert!(took.is_some(), "not detected by all hosts after 20 s");
    assert_eq!(net.unreachable(), N - 1, "other hosts were declared dead");
}

#[rstest]
#[case(1)]
#[case(2)]
fn paused_host_confirms_its_standing_before_it_acts(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    let before = net.seen(17)[0].clone().unwrap().incarnation;
    net.hosts[17].paused = true;
    net.run(Duration::from_secs(40));
    assert!(net.seen(17).iter().flatten().all(|h| h.health == view::Health::Unreachable));

    net.resume(17);
    assert_eq!(net.standing(17), Some(view::Standing::Paused), "acts although it was paused");
    let mut refuted = false;
    let back = net.until(Duration::from_secs(10), |net| {
        refuted |= net.standing(17) == Some(view::Standing::Refuting);
        net.standing(17) == Some(view::Standing::Member)
    });
    assert!(back.is_some(), "not back after 10 s");
    let agreed = net.until(Duration::from_secs(20), net::Net::agrees);
    assert!(agreed.is_some(), "not alive everywhere after 20 s");
    assert!(net.seen(17).iter().flatten().all(|h| h.incarnation > before));
    assert_eq!(net.unreachable(), 0, "the paused host declared others dead");
}

#[rstest]
fn short_pause_costs_only_a_ping() {
    let mut net = net::Net::settled(N, 1);
    let before = net.seen(17)[0].clone().unwrap().incarnation;
    net.hosts[17].paused = true;
    net.run(Duration::from_secs(3));
    net.resume(17);
    assert_eq!(net.standing(17), Some(view::Standing::Paused));
    net.run(Duration::from_secs(1));
    assert_eq!(net.standing(17), Some(view::Standing::Member));
    net.run(Duration::from_secs(20));
    assert!(net.agrees());
    let after = net.seen(17)[0].clone().unwrap().incarnation;
    assert!(after - before <= 1, "{before} became {after}");
}

#[rstest]
fn drain_is_known_everywhere_in_two_seconds(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.faults.loss = 0.2;
    net.run(Duration::from_secs(5));
    for index in [5, 40, 77] {
        net.handle(index, member::Event::Stage(node::Stage::Drain));
        let took = net.until(Duration::from_millis(2000), |net| {
            net.seen(index)
                .iter()
                .flatten()
                .all(|h| h.upstream.as_ref().is_none_or(|u| u.phase == view::Phase::Draining))
        });
        assert!(took.is_some(), "host {index} still gets calls 2 s after its drain");
    }
}

#[rstest]
fn withdrawn_upstream_is_known_everywhere_in_two_seconds(#[values(1, 2, 3, 4)] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.faults.loss = 0.2;
    net.handle(5, member::Event::Local(None));
    let took = net.until(Duration::from_millis(2000), |net| {
        net.seen(5).iter().flatten().all(|h| h.upstream.is_none())
    });
    assert!(took.is_some(), "the host still gets calls 2 s after its upstream was withdrawn");
}

#[rstest]
fn leaving_host_is_removed_for_good() {
    let mut net = net::Net::settled(N, 1);
    net.handle(17, member::Event::Stage(node::Stage::End));
    net.kill(17);
    let took = net.until(Duration::from_secs(2), |net| net.seen(17).iter().all(Option::is_none));
    assert!(took.is_some(), "still seen after 2 s");
    net.run(Duration::from_secs(60));
    assert!(net.agrees());
}

#[rstest]
fn restarted_host_supersedes_its_former_incarnation() {
    let mut net = net::Net::settled(N, 1);
    let before = net.seen(17)[0].clone().unwrap().incarnation;
    net.kill(17);
    net.run(Duration::from_millis(500));
    net.start(17);
    let took = net.until(Duration::from_secs(20), |net| {
        net.seen(17).iter().flatten().filter(|h| h.incarnation > before).count() == N - 1
    });
    assert!(took.is_some(), "the new incarnation is not known to all hosts after 20 s");
    assert!(net.agrees());
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_third_of_the_hosts_restarts_at_once(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    let before = net.sent();
    (0..N).filter(|i| i % 3 == 0).for_each(|i| net.kill(i));
    net.run(Duration::from_secs(1));
    (0..N).filter(|i| i % 3 == 0).for_each(|i| net.start(i));
    let took = net.until(Duration::from_secs(30), net::Net::agrees);
    assert!(took.is_some(), "no agreement after 30 s");
    let spent = (net.sent() - before) / N as u64;
    assert!(spent < 60_000, "{spent} bytes a host");
}

#[rstest]
fn digests_repair_what_gossip_lost() {
    let mut net = net::Net::settled(N, 1);
    net.faults.mute = true;
    for index in 0..10 {
        let warming = net::upstream(index, view::Phase::Warming);
        net.handle(index, member::Event::Local(Some(warming.into())));
    }
    let took = net.until(Duration::from_secs(120), |net| {
        let views = net.views();
        let warming = |v: &view::View| {
            let upstreams = v.hosts.iter().filter_map(|h| h.upstream.as_ref());
            upstreams.filter(|u| u.phase == view::Phase::Warming).count()
        };
        views.iter().all(|(_, v)| warming(v) == 10)
    });
    assert!(took.is_some(), "not repaired after 120 s");
}

#[rstest]
fn version_mismatch_is_detected() {
    let mut net = net::Net::settled(10, 1);
    assert_eq!(net.hosts.iter().map(|s| s.mismatches).sum::<u64>(), 0);
    let version_id = dandelionspool::version::VersionId {
        version: dandelionspool::version::Version::new(7),
        digest: dandelionspool::version::Digest::of(b"seven"),
    };
    net.handle(3, member::Event::Applied(version_id));
    net.run(Duration::from_secs(3));
    assert!(net.hosts.iter().filter(|s| s.mismatches > 0).count() >= 2);
}
