//! How quarantine entries spread: which hosts refuse a request under which upstreams crashed.

use std::time;

use dandelionspool::member;
use dandelionspool::quarantine;
use dandelionspool::quarantine::Fingerprint;
use rstest::rstest;

use crate::net;

const HOSTS: usize = 12;
/// Longest time until every host in touch refuses a request after its third crash.
const SPREAD_LIMIT: time::Duration = time::Duration::from_secs(3);
const BAD: Fingerprint = Fingerprint(1);

/// Crashes the upstream of host `index` while `BAD` and eight requests that no other host runs are
/// on it.
fn crash(net: &mut net::Net, index: usize) {
    let beside = (0..8).map(|n| Fingerprint(1000 + 8 * index as u64 + n));
    let fingerprints = beside.chain([BAD]).collect();
    net.handle(index, member::Event::Report(quarantine::Report::Crashed(fingerprints)));
}

/// How long host `index` still refuses `fingerprint`; `None` when it does not.
fn remaining(net: &mut net::Net, index: usize, fingerprint: Fingerprint) -> Option<time::Duration> {
    let now = net.now;
    net.hosts[index].member.as_mut()?.quarantine_snapshot().remaining(fingerprint, 0.0, now)
}

/// The running hosts that do not refuse `BAD`.
fn unaware(net: &mut net::Net) -> Vec<usize> {
    let running = (0..net.hosts.len()).filter(|index| net.hosts[*index].member.is_some());
    running.collect::<Vec<_>>().into_iter().filter(|i| remaining(net, *i, BAD).is_none()).collect()
}

/// A mesh whose hosts refuse `BAD`.
fn refusing(hosts: usize, seed: u64) -> net::Net {
    let mut net = net::Net::settled(hosts, seed);
    for index in 0..3 {
        crash(&mut net, index);
        net.run(time::Duration::from_millis(100));
    }
    net.run(SPREAD_LIMIT);
    net
}

#[rstest]
#[case::calm(1, 0.0)]
#[case::lossy(2, 0.2)]
#[case::lossier(3, 0.4)]
fn every_host_refuses_a_request_soon_after_its_third_crash(#[case] seed: u64, #[case] loss: f64) {
    let mut net = net::Net::settled(HOSTS, seed);
    net.faults.loss = loss;
    for index in 0..3 {
        assert_eq!(remaining(&mut net, 0, BAD), None);
        crash(&mut net, index);
        net.run(time::Duration::from_millis(100));
    }
    let took = net
        .until(SPREAD_LIMIT, |net| unaware(net).is_empty())
        .expect("all hosts refuse it in time");
    println!("seed {seed}, loss {loss}: after {took:?}");
    for index in 0..HOSTS {
        assert_eq!(
            remaining(&mut net, index, Fingerprint(1000)),
            None,
            "a request that ran beside it is not refused"
        );
    }
}

#[test]
fn a_request_that_crashes_all_upstreams_at_once_is_refused_by_all_hosts() {
    let mut net = net::Net::settled(HOSTS, 4);
    (0..HOSTS).for_each(|index| crash(&mut net, index));
    net.run(SPREAD_LIMIT);
    assert!(unaware(&mut net).is_empty());
}

#[test]
fn a_host_that_restarts_or_joins_late_refuses_it() {
    let mut net = refusing(HOSTS, 5);
    net.kill(5);
    net.run(time::Duration::from_secs(1));
    net.start(5);
    let late = net.add(net::settings(HOSTS));
    net.run(SPREAD_LIMIT);
    assert!(unaware(&mut net).is_empty());
    let spans = [remaining(&mut net, 0, BAD).unwrap(), remaining(&mut net, late, BAD).unwrap()];
    let apart = spans[0].abs_diff(spans[1]);
    assert!(
        apart < time::Duration::from_millis(250),
        "{spans:?}: not refused for as long as by the others"
    );
}

#[test]
fn a_host_that_was_cut_off_refuses_it_once_it_is_back() {
    let mut net = net::Net::settled(HOSTS, 6);
    let alone = net::settings(7).listen;
    net.cut(|settings| settings.listen == alone);
    for index in 0..3 {
        crash(&mut net, index);
    }
    net.run(time::Duration::from_secs(20));
    assert_eq!(unaware(&mut net), [7]);
    net.cut(|_| false);
    let took = net.until(2 * SPREAD_LIMIT, |net| unaware(net).is_empty());
    println!("after {took:?}");
    assert!(took.is_some());
}

/// The host sends two pings of its own within the two seconds, so that it does not have to wait
/// until others ping it.
#[rstest]
#[case(10)]
#[case(11)]
#[case(12)]
fn a_host_that_was_away_for_long_learns_of_it_by_its_own_pings(#[case] seed: u64) {
    let mut net = refusing(HOSTS, seed);
    net.kill(5);
    net.run(time::Duration::from_secs(20));
    net.start(5);
    let took = net.until(SPREAD_LIMIT, |net| unaware(net).is_empty());
    println!("seed {seed}: after {took:?}");
    assert!(took.is_some_and(|took| took <= time::Duration::from_secs(2)));
}

#[test]
fn an_answer_lifts_the_refusal_on_all_hosts() {
    let mut net = refusing(HOSTS, 7);
    net.handle(9, member::Event::Report(quarantine::Report::Answered(BAD)));
    net.run(SPREAD_LIMIT);
    assert_eq!(unaware(&mut net).len(), HOSTS);
    net.run(time::Duration::from_secs(30));
    assert_eq!(unaware(&mut net).len(), HOSTS, "the refusal came back");
}

#[test]
fn the_refusal_expires_and_so_does_its_traffic() {
    let mut net = refusing(HOSTS, 8);
    let mut rate = |seconds| {
        let before = net.sent();
        net.run(time::Duration::from_secs(seconds));
        (net.sent() - before) / seconds
    };
    let (quarantined, _) = (rate(200), rate(800));
    let idle = rate(200);
    println!("{quarantined} bytes a second of {HOSTS} hosts while it is refused, {idle} after");
    assert_eq!(unaware(&mut net).len(), HOSTS);
    // An item of eight bytes with each of the twelve pings a second and its ack, and some seconds
    // of repair.
    assert!(quarantined < idle + 300, "{quarantined} {idle}");
}

/// A host may spend 3 KB/s on control traffic. Upstreams that restart within five seconds and crash
/// again, all of them for ten minutes, must not cause more.
#[test]
fn endless_crashes_stay_within_the_traffic_budget_of_a_host() {
    let mut net = net::Net::settled(HOSTS, 9);
    let before = net.sent();
    for round in 0..120u64 {
        for index in 0..HOSTS {
            let first = 100_000 + 1000 * round + 10 * index as u64;
            let fingerprints = (0..9).map(|n| Fingerprint(first + n)).collect();
            net.handle(index, member::Event::Report(quarantine::Report::Crashed(fingerprints)));
            net.run(time::Duration::from_millis(416));
        }
    }
    let rate = (net.sent() - before) as f64 / 600.0 / HOSTS as f64;
    println!("{rate:.0} bytes a second of each host");
    assert!(rate < 3000.0, "{rate}");
}
