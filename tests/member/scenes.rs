//! What happens to a mesh, and what every host makes of it.

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
fn all_learn_of_each_other(#[case] seed: u64) {
    let mut net = net::Net::new(N, seed);
    let took = net.until(Duration::from_secs(20), net::Net::agrees);
    assert!(took.is_some(), "not settled after 20 s");
    net.run(Duration::from_secs(5));
    assert!((0..N).all(|i| net.standing(i) == Some(view::Standing::Member)));
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn all_learn_of_one_that_joins(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.add(net::settings(N));
    let took = net.until(Duration::from_secs(15), net::Net::agrees);
    assert!(took.is_some(), "not known everywhere after 15 s");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn death_is_found_in_time(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.kill(17);
    let took = net.until(Duration::from_secs(20), |net| {
        net.seen(17).iter().flatten().all(|h| h.health == view::Health::Unreachable)
    });
    assert!(took.is_some(), "not found everywhere after 20 s");
    assert_eq!(net.unreachable(), N - 1, "others were taken for dead");
}

#[rstest]
#[case(1)]
#[case(2)]
fn paused_host_refutes_before_it_acts(#[case] seed: u64) {
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
    assert_eq!(net.unreachable(), 0, "the paused host blamed others");
}

#[rstest]
fn short_pause_costs_nothing_but_a_question() {
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
        assert!(took.is_some(), "host {index} gets work 2 s after its drain");
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
    assert!(took.is_some(), "the host gets work 2 s after its upstream was withdrawn");
}

#[rstest]
fn leaving_host_is_gone_and_stays_gone() {
    let mut net = net::Net::settled(N, 1);
    net.handle(17, member::Event::Stage(node::Stage::End));
    net.kill(17);
    let took = net.until(Duration::from_secs(2), |net| net.seen(17).iter().all(Option::is_none));
    assert!(took.is_some(), "still seen after 2 s");
    net.run(Duration::from_secs(60));
    assert!(net.agrees());
}

#[rstest]
fn restart_outranks_the_former_life() {
    let mut net = net::Net::settled(N, 1);
    let before = net.seen(17)[0].clone().unwrap().incarnation;
    net.kill(17);
    net.run(Duration::from_millis(500));
    net.start(17);
    let took = net.until(Duration::from_secs(20), |net| {
        net.seen(17).iter().flatten().filter(|h| h.incarnation > before).count() == N - 1
    });
    assert!(took.is_some(), "the new life is not known everywhere after 20 s");
    assert!(net.agrees());
}

#[rstest]
#[case(1)]
#[case(2)]
fn third_restarts_at_once(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    let before = net.sent();
    (0..N).filter(|i| i % 3 == 0).for_each(|i| net.kill(i));
    net.run(Duration::from_secs(1));
    (0..N).filter(|i| i % 3 == 0).for_each(|i| net.start(i));
    let took = net.until(Duration::from_secs(30), net::Net::agrees);
    assert!(took.is_some(), "not settled after 30 s");
    let spent = (net.sent() - before) / N as u64;
    assert!(spent < 60_000, "{spent} bytes a host");
}

#[rstest]
fn digests_mend_what_gossip_lost() {
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
    assert!(took.is_some(), "not mended after 120 s");
}

#[rstest]
fn heard_of_another_version() {
    let mut net = net::Net::settled(10, 1);
    assert_eq!(net.hosts.iter().map(|s| s.mismatches).sum::<u64>(), 0);
    let stamp = dandelionspool::version::VersionId {
        version: dandelionspool::version::Version::new(7),
        digest: dandelionspool::version::Digest::of(b"seven"),
    };
    net.handle(3, member::Event::Applied(stamp));
    net.run(Duration::from_secs(3));
    assert!(net.hosts.iter().filter(|s| s.mismatches > 0).count() >= 2);
}
