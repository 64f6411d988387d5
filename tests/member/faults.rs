//! Lost, late, duplicated and forged datagrams; unreachable zones and regions.

use std::collections;
use std::time::Duration;

use dandelionspool::host;
use dandelionspool::member;
use dandelionspool::member::wire;
use dandelionspool::node;
use dandelionspool::seal;
use dandelionspool::view;
use proptest::prelude::*;
use rstest::rstest;

use crate::net;

const N: usize = 100;

#[rstest]
#[case(1)]
#[case(2)]
fn loss_declares_no_host_dead(#[case] seed: u64) {
    let mut net = net::Net::settled(N, seed);
    net.faults = net::Faults { loss: 0.2, duplicate: 0.05, delay: (300, 40_000), mute: false };
    for second in 0..180 {
        net.run(Duration::from_secs(1));
        assert_eq!(net.unreachable(), 0, "a host was declared dead after {second} s");
    }
    assert!((0..N).all(|i| net.standing(i) == Some(view::Standing::Member)));
}

#[rstest]
#[case(1)]
#[case(2)]
fn unreachable_zone_costs_less_than_declaring_its_hosts_dead(#[case] seed: u64) {
    let (as_zone, detected) = cut_off_zone(seed, |_| {});
    // The same hosts, but each in a zone of its own, so that each of them is declared dead.
    let (as_hosts, _) = cut_off_zone(seed, |settings| {
        settings.zone = smol_str::format_smolstr!("{}", settings.listen);
    });
    assert!(detected, "a host of the zone was not unreachable after 30 s, or was declared dead");
    assert!(as_zone * 3 < as_hosts, "{as_zone} bytes against {as_hosts}");
}

/// Cuts off a quarter of the hosts, which share a zone, for a minute. Returns the bytes sent beyond
/// those of an idle mesh, and whether exactly the hosts of the zone were unreachable half-way and
/// alive afterwards, in the same incarnation.
fn cut_off_zone(seed: u64, change: impl Fn(&mut dandelionspool::configs::Node)) -> (u64, bool) {
    let mut net = net::Net::with(N, seed, change);
    net.run(Duration::from_secs(60));
    let start = net.sent();
    net.run(Duration::from_secs(60));
    let idle = net.sent() - start;

    let inside = |s: &dandelionspool::configs::Node| {
        let index = (0..N).find(|&i| net::id(i).member_addr() == s.listen);
        index.is_some_and(|i| i % net::ZONES.len() == 1)
    };
    net.cut(inside);
    let start = net.sent();
    net.run(Duration::from_secs(30));
    let quarter = N / 4;
    let detected = net.unreachable() == 2 * quarter * (N - quarter);
    net.run(Duration::from_secs(30));
    let extra = (net.sent() - start).saturating_sub(idle);

    net.cut(|_| false);
    let incarnations = |net: &mut net::Net| -> Vec<u64> {
        net.views()[0].1.hosts.iter().map(|h| h.incarnation).collect()
    };
    let before = incarnations(&mut net);
    let back = net.until(Duration::from_secs(30), net::Net::agrees).is_some();
    (extra, detected && back && before == incarnations(&mut net))
}

#[rstest]
fn region_cut_off_for_an_hour_returns_without_a_storm() {
    let hosts = 40;
    let mut net = net::Net::settled(hosts, 1);
    net.cut(|s| s.region == "south");
    net.run(Duration::from_secs(3600));
    assert_eq!(net.seen(0).iter().flatten().count(), hosts - 1, "a host was removed");

    // Both partitions change before they merge.
    for index in 0..8 {
        let warming = net::upstream(index, view::Phase::Warming);
        net.handle(index, member::Event::Local(Some(warming.into())));
    }
    net.run(Duration::from_secs(60));
    net.cut(|_| false);
    let start = net.sent();
    let took = net.until(Duration::from_secs(60), |net| {
        let warming = |v: &view::View| {
            let upstreams = v.hosts.iter().filter_map(|h| h.upstream.as_ref());
            upstreams.filter(|u| u.phase == view::Phase::Warming).count()
        };
        net.agrees() && net.views().iter().all(|(_, v)| warming(v) == 8)
    });
    assert!(took.is_some(), "no agreement after 60 s");
    net.run(Duration::from_secs(60) - took.unwrap());
    let rate = (net.sent() - start) / 60 / hosts as u64;
    assert!(rate < 300, "{rate} bytes a host a second in the minute of the return");
}

#[rstest]
fn halves_that_declared_each_other_dead_merge_again() {
    let mut net = net::Net::settled(40, 1);
    // The cut runs through all zones, so that no zone is unreachable as a whole.
    net.cut(|s| s.listen.ip().to_string().ends_with(['0', '1', '2', '3', '4']));
    net.run(Duration::from_secs(600));
    assert!(net.unreachable() > 0);
    net.cut(|_| false);
    let took = net.until(Duration::from_secs(60), net::Net::agrees);
    assert!(took.is_some(), "no agreement after 60 s");
}

#[rstest]
#[case::other_key("mesh", "yek")]
#[case::other_mesh("hsem", "key")]
fn datagram_of_an_unauthenticated_peer_has_no_effect(#[case] mesh: &str, #[case] key: &str) {
    let mut net = net::Net::settled(10, 1);
    let items = (1..10).map(|i| wire::Item::Claim {
        host: net::id(i),
        incarnation: u64::MAX / 2,
        claim: wire::Claim::Dead,
    });
    let datagram = wire::Datagram {
        from: net::id(3),
        body: wire::Body::Gossip,
        names: Vec::new(),
        items: items.collect(),
    };
    let body = wire::encode(&datagram).unwrap();
    let before = net.sent();
    net.deliver(0, &seal::Seal::new(mesh, key).seal(&body));
    assert_eq!(net.sent(), before, "an unauthenticated peer was answered");
    assert!(net.agrees(), "an unauthenticated peer changed a view");
    net.deliver(0, &seal::Seal::new("mesh", "key").seal(&body));
    assert!(!net.agrees(), "the same datagram with the tag of the mesh must have an effect");
}

#[rstest]
fn claim_that_cannot_be_refuted_causes_no_storm() {
    let mut net = net::Net::settled(10, 1);
    let claim =
        wire::Item::Claim { host: net::id(3), incarnation: u64::MAX, claim: wire::Claim::Dead };
    let (from, body) = (net::id(1), wire::Body::Gossip);
    let datagram = wire::Datagram { from, body, names: Vec::new(), items: vec![claim] };
    let message = seal::Seal::new("mesh", "key").seal(&wire::encode(&datagram).unwrap());
    (0..10).filter(|i| *i != 1).for_each(|i| net.deliver(i, &message));
    let before = net.hosts[3].datagrams;
    net.run(Duration::from_secs(10));
    let sent = net.hosts[3].datagrams - before;
    assert!(sent < 200, "{sent} datagrams in 10 s");
}

/// An action on a small mesh; the numbers are indices of hosts.
#[derive(Clone, Copy, Debug)]
enum Step {
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    /// Moves the host to the other partition.
    Cut(usize),
    /// Joins the two partitions.
    Join,
    Drain(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        host.clone().prop_map(Step::Kill),
        host.clone().prop_map(Step::Start),
        host.clone().prop_map(Step::Pause),
        host.clone().prop_map(Step::Resume),
        host.clone().prop_map(Step::Cut),
        Just(Step::Join),
        host.prop_map(Step::Drain),
    ]
}

const HOSTS: usize = 8;

fn apply(net: &mut net::Net, step: Step) {
    match step {
        Step::Kill(i) => net.kill(i),
        Step::Start(i) if net.hosts[i].member.is_none() => net.start(i),
        Step::Pause(i) => net.hosts[i].paused = true,
        Step::Resume(i) if net.hosts[i].paused => net.resume(i),
        Step::Start(_) | Step::Resume(_) => {}
        Step::Cut(i) => net.hosts[i].partition ^= 1,
        Step::Join => net.hosts.iter_mut().for_each(|s| s.partition = 0),
        Step::Drain(i) => net.handle(i, member::Event::Stage(node::Stage::Drain)),
    }
}

/// The highest incarnation of each host that each process has seen; it must never decrease.
#[derive(Default)]
struct Incarnations(collections::HashMap<(usize, u64, host::HostId), u64>);

impl Incarnations {
    fn check(&mut self, net: &mut net::Net) -> Result<(), TestCaseError> {
        for (index, view) in net.views() {
            for host in &view.hosts {
                let key = (index, net.hosts[index].generation, host.id);
                let last = self.0.insert(key, host.incarnation).unwrap_or(0);
                prop_assert!(
                    last <= host.incarnation,
                    "host {index} saw the incarnation of {} decrease",
                    host.id
                );
            }
        }
        Ok(())
    }
}

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(4);
    ProptestConfig { rng_seed, ..ProptestConfig::with_cases(32) }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn views_converge_and_incarnations_never_decrease(
        seed in any::<u64>(),
        loss in 0.0..0.4f64,
        steps in proptest::collection::vec((step(), 0u64..12_000), 0..24),
    ) {
        let mut net = net::Net::new(HOSTS, seed);
        net.faults = net::Faults { loss, duplicate: 0.1, delay: (200, 150_000), mute: false };
        let mut incarnations = Incarnations::default();
        for (step, millis) in steps {
            apply(&mut net, step);
            for _ in 0..millis / 500 {
                net.run(Duration::from_millis(500));
                incarnations.check(&mut net)?;
            }
        }
        net.faults = net::Faults::default();
        apply(&mut net, Step::Join);
        (0..HOSTS).for_each(|i| apply(&mut net, Step::Resume(i)));
        (0..HOSTS).for_each(|i| apply(&mut net, Step::Start(i)));
        for _ in 0..120 {
            net.run(Duration::from_secs(1));
            incarnations.check(&mut net)?;
        }
        prop_assert!(net.agrees(), "no agreement after 120 s without faults");
        for i in 0..HOSTS {
            prop_assert_eq!(net.standing(i), Some(view::Standing::Member));
        }
    }
}
