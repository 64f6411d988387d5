//! Propagation of versions through fleets in virtual time: latency, reads of the log and bytes
//! sent.

use std::time;

use rstest::rstest;

use crate::configs;
use crate::delta;
use crate::spread::tests::files;
use crate::spread::tests::fleet::{self, SECOND};
use crate::version;

#[rstest]
#[case::condor(configs::spread::Spread::condor())]
#[case::cascadia(configs::spread::Spread::cascadia())]
fn a_version_reaches_all_within_milliseconds(#[case] settings: configs::spread::Spread) {
    let (mut net, _) = fleet::started(4, 25, settings, 1);
    let version = net.publish(&fleet::file(1));
    let took = net.run_until(SECOND, |n| n.all_run(version)).expect("within a second");
    assert!(took < time::Duration::from_millis(100), "{took:?}");
}

#[rstest]
#[case::condor(configs::spread::Spread::condor())]
#[case::cascadia(configs::spread::Spread::cascadia())]
fn the_log_is_read_as_often_by_a_large_fleet(#[case] settings: configs::spread::Spread) {
    let reads = |hosts| {
        let (mut net, _) = fleet::started(4, hosts, settings.clone(), 1);
        let before = net.counts;
        for change in 0..20 {
            net.publish(&fleet::file(change));
            net.advance(SECOND);
        }
        let after = net.counts;
        (after.reads - before.reads, after.read_bytes - before.read_bytes)
    };
    let (small, large) = (reads(6), reads(50));
    assert!(large.0 as f64 <= 1.1 * small.0 as f64, "{small:?} {large:?}");
    assert!(large.1 as f64 <= 1.1 * small.1 as f64, "{small:?} {large:?}");
}

#[rstest]
#[case::condor(configs::spread::Spread::condor())]
#[case::cascadia(configs::spread::Spread::cascadia())]
fn a_large_change_is_announced_and_fetched(#[case] settings: configs::spread::Spread) {
    let (mut net, _) = fleet::started(2, 20, settings.clone(), 2);
    let before = net.counts;
    let version = net.publish(&files::valid(1, 300));
    assert!(net.run_until(SECOND * 5, |n| n.all_run(version)).is_some());
    let after = net.counts;
    let read = 2 * u64::from(settings.readers);
    assert!(after.transfers - before.transfers >= 40 - read, "{after:?}");
    assert!(after.max_serving <= u64::from(settings.transfers), "{after:?}");
}

#[test]
fn versions_in_quick_succession_end_with_the_last() {
    let (mut net, _) = fleet::started(3, 20, configs::spread::Spread::cascadia(), 3);
    net.duplication = 0.3;
    for tag in 1..30 {
        net.publish(&fleet::file(tag));
        net.advance(time::Duration::from_millis(5));
    }
    let last = net.source.current().version;
    assert!(net.run_until(SECOND * 3, |n| n.all_run(last)).is_some());
}

#[test]
fn a_bad_or_late_publish_changes_nothing() {
    let (mut net, version) = fleet::started(2, 10, configs::spread::Spread::cascadia(), 4);
    net.append_publish(version, &files::dangling());
    net.append_publish(version::Version::NONE, &fleet::file(1));
    net.advance(SECOND * 3);
    assert!(net.all_run(version));
}

/// Bytes that a host may send a second for the distribution while nothing changes: a tenth of what
/// a node's control may send.
const MAX_IDLE_BYTES: u64 = 300;

#[rstest]
#[case::condor(configs::spread::Spread::condor(), 1.5)]
#[case::cascadia(configs::spread::Spread::cascadia(), 2.0)]
fn bytes_of_a_change_stay_near_the_delta(
    #[case] settings: configs::spread::Spread,
    #[case] bound: f64,
) {
    let (mut net, _) = fleet::started(4, 25, settings, 5);
    // What hosts send without a change is no part of its bytes.
    net.advance(SECOND * 10);
    let before = net.counts.bytes;
    net.advance(SECOND * 3);
    let idle_bytes = net.counts.bytes - before;
    assert!(idle_bytes <= 100 * 3 * MAX_IDLE_BYTES, "{idle_bytes} bytes in 3 s");
    let mut base = fleet::file(0);
    let (mut sent_bytes, mut min_bytes) = (0, 0);
    for tag in 1..20 {
        let next = fleet::file(tag);
        let before = net.counts.bytes;
        net.publish(&next);
        net.advance(SECOND * 3);
        sent_bytes += (net.counts.bytes - before).saturating_sub(idle_bytes);
        min_bytes += 100 * (delta::diff(Some(&base), &next).size() + version::DIGEST_BYTES);
        base = next;
    }
    let ratio = sent_bytes as f64 / min_bytes as f64;
    assert!(ratio <= bound, "{ratio}: {sent_bytes} bytes for {min_bytes}");
}
