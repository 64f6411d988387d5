//! Fleets whose log accepts configurations itself and comes back from an older copy. That no node goes back
//! is checked on every step by the network itself.

use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;
use rstest::rstest;

use crate::configs;
use crate::spread::confirm;
use crate::spread::tests::fleet::{self, SECOND};
use crate::spread::tests::{net, source};
use crate::version;

/// Longest that a configuration may take to every node that nothing ails.
const APPLY: time::Duration = time::Duration::from_secs(2);

fn file(number: u64) -> Vec<u8> {
    fleet::file(number)
}

/// A fleet that runs `number`, the last of as many configurations.
fn started(seed: u64, number: u64) -> net::Net {
    let settings = configs::spread::Spread { standby_ms: 0, ..configs::spread::Spread::condor() };
    let mut net = net::Net::new(2, 8, settings, seed);
    for number in 1..=number {
        let version = net.settle(number, &file(number));
        assert!(net.until(SECOND * 20, |n| n.all_run(version)).is_some(), "the start");
    }
    net.pass(SECOND * 5);
    net
}

/// Every node runs the number of `version`, whatever the epoch in which it has read it.
fn runs(net: &net::Net, number: u64) -> bool {
    net.live().all(|node| node.running.version.number() == number)
}

fn publish(net: &mut net::Net, number: u64) {
    let version = net.settle(number, &file(number));
    let took = net.until(APPLY, |n| n.all_run(version));
    assert!(took.is_some(), "{number} is not in force at\n{}", net.behind(version));
}

/// The store is away for a while and comes back without its last `lost` records.
fn restore(net: &mut net::Net, lost: usize, away: time::Duration) {
    net.source.up = false;
    net.wake_waits();
    net.pass(away);
    net.source.restore(lost);
    net.source.up = true;
}

#[rstest]
fn what_is_published_comes_into_force_whatever_was_lost(
    #[values(0, 1, 3, 6)] lost: usize,
    #[values(1, 2, 3)] times: u64,
    #[values(51, 52, 53)] seed: u64,
) {
    let mut net = started(seed, 7);
    let mut number = 7;
    for _ in 0..times {
        restore(&mut net, lost, SECOND * 3);
        net.pass(SECOND * 2);
        assert!(runs(&net, number), "a node went back");
        publish(&mut net, number);
        for _ in 0..4 {
            number += 3;
            publish(&mut net, number);
            net.pass(SECOND);
        }
    }
}

#[rstest]
fn a_change_at_the_moment_of_the_return_comes_into_force(#[values(61, 62, 63)] seed: u64) {
    let mut net = started(seed, 7);
    restore(&mut net, 4, SECOND);
    publish(&mut net, 9);
    restore(&mut net, 1, time::Duration::ZERO);
    publish(&mut net, 12);
}

#[rstest]
fn nodes_that_start_just_then_run_what_the_others_run(#[values(71, 72, 73, 74)] seed: u64) {
    let mut net = started(seed, 7);
    (0..16).step_by(3).for_each(|n| net.kill(n));
    restore(&mut net, 4, SECOND * 2);
    (0..16).step_by(3).for_each(|n| net.start(n));
    net.add(1);
    net.pass(SECOND * 4);
    assert!(runs(&net, 7), "a node runs an older one, or none");
    publish(&mut net, 7);
    publish(&mut net, 9);
}

#[rstest]
fn nodes_that_read_only_through_others_follow(#[values(81, 82, 83)] seed: u64) {
    let mut net = started(seed, 7);
    net.without_log = (0..16).filter(|n| n % 8 != 5).collect();
    net.wake_waits();
    restore(&mut net, 5, SECOND * 2);
    net.without_log.clear();
    publish(&mut net, 7);
    publish(&mut net, 8);
}

#[rstest]
fn a_region_that_is_cut_off_over_it_follows_once_it_is_back(#[values(91, 92, 93)] seed: u64) {
    let mut net = started(seed, 7);
    let cut = |net: &net::Net, n: usize| net.zone(n) != net.zone(0);
    net.join(false);
    net.without_log = (0..16).filter(|&n| cut(&net, n)).collect();
    net.wake_waits();
    restore(&mut net, 5, SECOND * 2);
    for number in [7, 8, 9, 10, 11] {
        net.settle(number, &file(number));
        net.pass(SECOND);
    }
    net.without_log.clear();
    net.join(true);
    net.pass(SECOND * 8);
    assert!(runs(&net, 11), "not all have caught up");
    publish(&mut net, 12);
}

#[rstest]
fn series_of_returns_changes_and_restarts(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut net = started(seed, 5);
    let mut number = 5;
    for _ in 0..12 {
        match rng.random_range(0..4) {
            0 => {
                let away = time::Duration::from_millis(rng.random_range(0..3000));
                restore(&mut net, rng.random_range(0..5), away);
                net.settle(number, &file(number));
            }
            1 => {
                let node = rng.random_range(0..16);
                net.kill(node);
                net.pass(time::Duration::from_millis(rng.random_range(0..800)));
                net.start(node);
                net.pass(SECOND * 4);
            }
            _ => {
                number += rng.random_range(1..4);
                publish(&mut net, number);
            }
        }
    }
    number += 1;
    publish(&mut net, number);
}

/// Reads on from a version's place in the log of `lost` fewer records.
#[rstest]
#[case::an_older_copy(3, confirm::Tail::Unknown)]
#[case::nothing_lost(0, confirm::Tail::Unknown)]
fn a_place_of_another_epoch_tells_nothing(#[case] lost: usize, #[case] wanted: confirm::Tail) {
    let mut source = source::Source::default();
    (1..=5).for_each(|number| source.settle(number, &file(number), 0));
    let held = source.current().version;
    source.restore(lost);
    (0..lost as u64).for_each(|n| source.settle(6 + n, &file(6 + n), 0));
    assert_eq!(confirm::look(&source.read(held.next_offset()), held), wanted);
    let newest = 5 + lost as u64;
    let all = confirm::look(&source.read(u64::MAX), held);
    let version = source.current().version;
    assert_eq!(version.number(), newest);
    assert_eq!(all, confirm::Tail::Newer(version));
}

#[test]
fn versions_rise_by_number_then_epoch_then_place() {
    let of = |number, epoch, offset| {
        version::Version::assigned(number, crate::logs::ordinal(epoch, offset))
    };
    let rising = [of(7, 0, 9), of(7, 1, 2), of(7, 1, 3), of(7, 2, 0), of(8, 0, 0), of(9, 3, 1)];
    assert!(rising.is_sorted(), "{rising:?}");
    let back = rising.map(|v| (v.number(), v.epoch(), v.next_offset()));
    assert_eq!(back, [(7, 0, 10), (7, 1, 3), (7, 1, 4), (7, 2, 1), (8, 0, 1), (9, 3, 2)]);
    let own = version::Version::new(41);
    assert_eq!((own.number(), own.epoch(), own.next_offset()), (41, 0, 41));
}
