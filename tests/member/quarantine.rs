//! What hosts learn of requests under which upstreams end.

use std::time;

use dandelionspool::member;
use dandelionspool::quarantine;
use dandelionspool::quarantine::Fingerprint;
use rstest::rstest;

use crate::net;

const HOSTS: usize = 12;
/// Longest until every host that is in touch refuses a request after the third end under it.
const KNOWN: time::Duration = time::Duration::from_secs(3);
const BAD: Fingerprint = Fingerprint(1);

/// The upstream of host `index` ends while `BAD` and eight requests of its own run.
fn end(net: &mut net::Net, index: usize) {
    let beside = (0..8).map(|n| Fingerprint(1000 + 8 * index as u64 + n));
    let prints = beside.chain([BAD]).collect();
    net.handle(index, member::Event::Report(quarantine::Report::Crashed(prints)));
}

/// How long host `index` refuses `print` for.
fn left(net: &mut net::Net, index: usize, print: Fingerprint) -> Option<time::Duration> {
    let now = net.now;
    net.hosts[index].member.as_mut()?.quarantine_snapshot().remaining(print, 0.0, now)
}

/// The running hosts that let `BAD` pass.
fn unaware(net: &mut net::Net) -> Vec<usize> {
    let running = (0..net.hosts.len()).filter(|index| net.hosts[*index].member.is_some());
    running.collect::<Vec<_>>().into_iter().filter(|i| left(net, *i, BAD).is_none()).collect()
}

/// A mesh that refuses `BAD`.
fn warned(hosts: usize, seed: u64) -> net::Net {
    let mut net = net::Net::settled(hosts, seed);
    for index in 0..3 {
        end(&mut net, index);
        net.run(time::Duration::from_millis(100));
    }
    net.run(KNOWN);
    net
}

#[rstest]
#[case::calm(1, 0.0)]
#[case::lossy(2, 0.2)]
#[case::lossier(3, 0.4)]
fn every_host_refuses_it_soon_after_the_third_end(#[case] seed: u64, #[case] loss: f64) {
    let mut net = net::Net::settled(HOSTS, seed);
    net.faults.loss = loss;
    for index in 0..3 {
        assert_eq!(left(&mut net, 0, BAD), None);
        end(&mut net, index);
        net.run(time::Duration::from_millis(100));
    }
    let took = net.until(KNOWN, |net| unaware(net).is_empty()).expect("all know in time");
    println!("seed {seed}, loss {loss}: after {took:?}");
    for index in 0..HOSTS {
        assert_eq!(left(&mut net, index, Fingerprint(1000)), None, "what ran beside it passes");
    }
}

#[test]
fn the_same_request_at_every_host_at_once_is_refused_by_all() {
    let mut net = net::Net::settled(HOSTS, 4);
    (0..HOSTS).for_each(|index| end(&mut net, index));
    net.run(KNOWN);
    assert!(unaware(&mut net).is_empty());
}

#[test]
fn a_host_that_starts_anew_or_joins_late_learns_it() {
    let mut net = warned(HOSTS, 5);
    net.kill(5);
    net.run(time::Duration::from_secs(1));
    net.start(5);
    let late = net.add(net::settings(HOSTS));
    net.run(KNOWN);
    assert!(unaware(&mut net).is_empty());
    let spans = [left(&mut net, 0, BAD).unwrap(), left(&mut net, late, BAD).unwrap()];
    let apart = spans[0].abs_diff(spans[1]);
    assert!(apart < time::Duration::from_millis(250), "{spans:?}: for as long as the others");
}

#[test]
fn a_host_that_was_cut_off_learns_it_when_it_is_back() {
    let mut net = net::Net::settled(HOSTS, 6);
    let alone = net::settings(7).listen;
    net.cut(|settings| settings.listen == alone);
    for index in 0..3 {
        end(&mut net, index);
    }
    net.run(time::Duration::from_secs(20));
    assert_eq!(unaware(&mut net), [7]);
    net.cut(|_| false);
    let took = net.until(2 * KNOWN, |net| unaware(net).is_empty());
    println!("after {took:?}");
    assert!(took.is_some());
}

/// Two seconds hold two of its own probes: it need not wait until others probe it.
#[rstest]
#[case(10)]
#[case(11)]
#[case(12)]
fn a_host_that_was_away_for_long_learns_it_by_its_own_probes(#[case] seed: u64) {
    let mut net = warned(HOSTS, seed);
    net.kill(5);
    net.run(time::Duration::from_secs(20));
    net.start(5);
    let took = net.until(KNOWN, |net| unaware(net).is_empty());
    println!("seed {seed}: after {took:?}");
    assert!(took.is_some_and(|took| took <= time::Duration::from_secs(2)));
}

#[test]
fn an_answer_takes_the_refusal_back_everywhere() {
    let mut net = warned(HOSTS, 7);
    net.handle(9, member::Event::Report(quarantine::Report::Answered(BAD)));
    net.run(KNOWN);
    assert_eq!(unaware(&mut net).len(), HOSTS);
    net.run(time::Duration::from_secs(30));
    assert_eq!(unaware(&mut net).len(), HOSTS, "and it doesn't come back");
}

#[test]
fn the_refusal_ends_and_what_is_told_of_it_too() {
    let mut net = warned(HOSTS, 8);
    let mut span = |seconds| {
        let before = net.sent();
        net.run(time::Duration::from_secs(seconds));
        (net.sent() - before) / seconds
    };
    let (held, _) = (span(200), span(800));
    let calm = span(200);
    println!("{held} bytes a second of {HOSTS} hosts while it is held, {calm} after");
    assert_eq!(unaware(&mut net).len(), HOSTS);
    // An item of eight bytes with each of the twelve pings a second and its answer, and some seconds of
    // mending.
    assert!(held < calm + 300, "{held} {calm}");
}

/// 3 KB/s is what a host may spend on control; upstreams that come back within five seconds and end again
/// and again, all of them for ten minutes, must not take more.
#[test]
fn ends_without_end_stay_within_the_bytes_of_a_host() {
    let mut net = net::Net::settled(HOSTS, 9);
    let before = net.sent();
    for round in 0..120u64 {
        for index in 0..HOSTS {
            let first = 100_000 + 1000 * round + 10 * index as u64;
            let prints = (0..9).map(|n| Fingerprint(first + n)).collect();
            net.handle(index, member::Event::Report(quarantine::Report::Crashed(prints)));
            net.run(time::Duration::from_millis(416));
        }
    }
    let rate = (net.sent() - before) as f64 / 600.0 / HOSTS as f64;
    println!("{rate:.0} bytes a second of each host");
    assert!(rate < 3000.0, "{rate}");
}
