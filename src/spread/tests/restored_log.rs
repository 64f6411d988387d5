//! Fleets whose log accepts configurations itself and is restored from an older copy. The
//! simulation checks at every step that no node goes back to an older version; see `net`.

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

/// Longest time for a configuration to reach every node while nothing fails.
const MAX_APPLY_TIME: time::Duration = time::Duration::from_secs(2);

fn file(number: u64) -> Vec<u8> {
    fleet::file(number)
}

/// A fleet that runs configuration `number`, after all configurations from 1 on.
fn started(seed: u64, number: u64) -> net::Net {
    let settings = configs::spread::Spread { standby_ms: 0, ..configs::spread::Spread::condor() };
    let mut net = net::Net::new(2, 8, settings, seed);
    for number in 1..=number {
        let version = net.publish_accepted(number, &file(number));
        assert!(net.run_until(SECOND * 20, |n| n.all_run(version)).is_some(), "the start");
    }
    net.advance(SECOND * 5);
    net
}

/// Whether every node runs configuration `number`, in whichever epoch it has read it.
fn all_run_number(net: &net::Net, number: u64) -> bool {
    net.live().all(|node| node.running.version.number() == number)
}

fn publish(net: &mut net::Net, number: u64) {
    let version = net.publish_accepted(number, &file(number));
    let took = net.run_until(MAX_APPLY_TIME, |n| n.all_run(version));
    assert!(took.is_some(), "{number} is not in force at\n{}", net.behind(version));
}

/// Takes the log down for `downtime` and restores it without its last `lost` records.
fn restore(net: &mut net::Net, lost: usize, downtime: time::Duration) {
    net.source.up = false;
    net.wake_readers();
    net.advance(downtime);
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
        net.advance(SECOND * 2);
        assert!(all_run_number(&net, number), "a node went back");
        publish(&mut net, number);
        for _ in 0..4 {
            number += 3;
            publish(&mut net, number);
            net.advance(SECOND);
        }
    }
}

#[rstest]
fn a_change_right_after_a_restore_comes_into_force(#[values(61, 62, 63)] seed: u64) {
    let mut net = started(seed, 7);
    restore(&mut net, 4, SECOND);
    publish(&mut net, 9);
    restore(&mut net, 1, time::Duration::ZERO);
    publish(&mut net, 12);
}

#[rstest]
fn nodes_that_start_after_a_restore_run_what_the_others_run(#[values(71, 72, 73, 74)] seed: u64) {
    let mut net = started(seed, 7);
    (0..16).step_by(3).for_each(|n| net.kill(n));
    restore(&mut net, 4, SECOND * 2);
    (0..16).step_by(3).for_each(|n| net.start(n));
    net.add(1);
    net.advance(SECOND * 4);
    assert!(all_run_number(&net, 7), "a node runs an older one, or none");
    publish(&mut net, 7);
    publish(&mut net, 9);
}

#[rstest]
fn nodes_without_the_log_follow_after_a_restore(#[values(81, 82, 83)] seed: u64) {
    let mut net = started(seed, 7);
    net.without_log = (0..16).filter(|n| n % 8 != 5).collect();
    net.wake_readers();
    restore(&mut net, 5, SECOND * 2);
    net.without_log.clear();
    publish(&mut net, 7);
    publish(&mut net, 8);
}

#[rstest]
fn a_region_cut_off_during_a_restore_catches_up(#[values(91, 92, 93)] seed: u64) {
    let mut net = started(seed, 7);
    let cut = |net: &net::Net, n: usize| net.zone(n) != net.zone(0);
    net.set_connected(false);
    net.without_log = (0..16).filter(|&n| cut(&net, n)).collect();
    net.wake_readers();
    restore(&mut net, 5, SECOND * 2);
    for number in [7, 8, 9, 10, 11] {
        net.publish_accepted(number, &file(number));
        net.advance(SECOND);
    }
    net.without_log.clear();
    net.set_connected(true);
    net.advance(SECOND * 8);
    assert!(all_run_number(&net, 11), "not all have caught up");
    publish(&mut net, 12);
}

#[rstest]
fn random_restores_changes_and_restarts_converge(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut net = started(seed, 5);
    let mut number = 5;
    for _ in 0..12 {
        match rng.random_range(0..4) {
            0 => {
                let downtime = time::Duration::from_millis(rng.random_range(0..3000));
                restore(&mut net, rng.random_range(0..5), downtime);
                net.publish_accepted(number, &file(number));
            }
            1 => {
                let node = rng.random_range(0..16);
                net.kill(node);
                net.advance(time::Duration::from_millis(rng.random_range(0..800)));
                net.start(node);
                net.advance(SECOND * 4);
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

/// Guards against offsets of one epoch that are taken for offsets of another: after a restore, the
/// records at the offset after `held` don't show whether there is a newer version.
#[rstest]
#[case::an_older_copy(3, confirm::Finding::Unknown)]
#[case::nothing_lost(0, confirm::Finding::Unknown)]
fn an_offset_of_another_epoch_confirms_nothing(
    #[case] lost: usize,
    #[case] expected: confirm::Finding,
) {
    let mut source = source::Source::default();
    (1..=5).for_each(|number| source.append_accepted(number, &file(number), 0));
    let held = source.current().version;
    source.restore(lost);
    (0..lost as u64).for_each(|n| source.append_accepted(6 + n, &file(6 + n), 0));
    assert_eq!(confirm::check_tail(&source.read(held.next_offset()), held), expected);
    let newest = 5 + lost as u64;
    let all = confirm::check_tail(&source.read(u64::MAX), held);
    let version = source.current().version;
    assert_eq!(version.number(), newest);
    assert_eq!(all, confirm::Finding::Newer(version));
}

#[test]
fn versions_are_ordered_by_number_then_epoch_then_offset() {
    let of = |number, epoch, offset| {
        version::Version::assigned(number, crate::logs::ordinal(epoch, offset))
    };
    let rising = [of(7, 0, 9), of(7, 1, 2), of(7, 1, 3), of(7, 2, 0), of(8, 0, 0), of(9, 3, 1)];
    assert!(rising.is_sorted(), "{rising:?}");
    let parts = rising.map(|v| (v.number(), v.epoch(), v.next_offset()));
    assert_eq!(parts, [(7, 0, 10), (7, 1, 3), (7, 1, 4), (7, 2, 1), (8, 0, 1), (9, 3, 2)]);
    let judged = version::Version::new(41);
    assert_eq!((judged.number(), judged.epoch(), judged.next_offset()), (41, 0, 41));
}
