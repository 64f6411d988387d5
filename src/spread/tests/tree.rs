//! The push tree and the order of readers.

use std::collections;
use std::net;

use proptest::prelude::*;
use rstest::rstest;

use crate::host;
use crate::spread::tree;
use crate::version;

fn hosts(count: u16) -> Vec<host::HostId> {
    let ip = |n: u16| net::Ipv4Addr::new(127, 9, (n >> 8) as u8, (n & 255) as u8);
    (0..count).map(|n| host::HostId::new((ip(n), 7100).into())).collect()
}

/// The hosts that get a version which `first` learns of, and the number of pushes.
fn reached(
    zone: &[host::HostId],
    first: host::HostId,
    fanout: u8,
) -> (collections::HashSet<host::HostId>, usize) {
    let tree = tree::Tree::new(zone, version::Version::new(7), fanout);
    let mut seen = collections::HashSet::from([first]);
    let mut queue = vec![first];
    let mut pushes = 0;
    let mut push = |list: &[host::HostId], queue: &mut Vec<host::HostId>| {
        for &child in list.iter().filter(|&&h| h != first) {
            pushes += 1;
            if seen.insert(child) {
                queue.push(child);
            }
        }
    };
    push(tree.top(), &mut queue);
    while let Some(host) = queue.pop() {
        push(tree.children(host), &mut queue);
    }
    (seen, pushes)
}

#[rstest]
#[case(1, 4, 1)]
#[case(4, 4, 1)]
#[case(20, 4, 2)]
#[case(50, 4, 3)]
#[case(560, 4, 5)]
#[case(560, 2, 9)]
fn depth_grows_with_the_logarithm(#[case] count: u16, #[case] fanout: u8, #[case] depth: usize) {
    let zone = hosts(count);
    let tree = tree::Tree::new(&zone, version::Version::new(3), fanout);
    assert_eq!(tree.depth(), depth);
}

#[test]
fn a_host_outside_the_tree_forwards_to_nobody() {
    let zone = hosts(9);
    let tree = tree::Tree::new(&zone[..8], version::Version::new(3), 4);
    assert!(tree.children(zone[8]).is_empty());
}

#[test]
fn another_version_has_another_tree() {
    let zone = hosts(60);
    let of = |v| tree::Tree::new(&zone, version::Version::new(v), 4);
    assert_ne!(of(1).top(), of(2).top());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn every_host_is_pushed_to_exactly_once(
        count in 1u16..400,
        first in 0u16..400,
        fanout in 1u8..9,
    ) {
        let zone = hosts(count);
        let first = zone[usize::from(first % count)];
        let (seen, pushes) = reached(&zone, first, fanout);
        prop_assert_eq!(seen.len(), usize::from(count));
        prop_assert_eq!(pushes, usize::from(count) - 1);
    }

    #[test]
    fn order_of_the_view_does_not_matter(count in 1u16..100) {
        let zone = hosts(count);
        let mut other = zone.clone();
        other.reverse();
        prop_assert_eq!(tree::readers(&zone), tree::readers(&other));
    }

    #[test]
    fn a_lost_host_moves_no_other_among_the_readers(count in 2u16..100, lost in 0u16..100) {
        let zone = hosts(count);
        let lost = zone[usize::from(lost % count)];
        let rest: Vec<_> = zone.iter().copied().filter(|&h| h != lost).collect();
        let expected: Vec<_> = tree::readers(&zone).into_iter().filter(|&h| h != lost).collect();
        prop_assert_eq!(tree::readers(&rest), expected);
    }
}
