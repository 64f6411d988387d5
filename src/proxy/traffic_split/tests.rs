use rstest::rstest;

use crate::mesh;
use crate::proxy::traffic_split;

fn route(weights: &[u32]) -> mesh::Route {
    let part = |(i, &weight): (u16, &u32)| mesh::Part { service: mesh::ServiceKey(i), weight };
    mesh::Route {
        name: "split".into(),
        host: None,
        path: "/split/".into(),
        methods: Vec::new(),
        service: mesh::ServiceKey(0),
        kind: mesh::KindKey(0),
        timeout: None,
        latency: None,
        attempts: None,
        class: None,
        public: false,
        split: (0..).zip(weights).map(part).collect(),
    }
}

/// Number of `calls` that each part of a route with these weights gets.
fn shares(weights: &[u32], calls: usize) -> Vec<usize> {
    let (route, mut traffic_split) = (route(weights), traffic_split::TrafficSplit::default());
    let mut counts = vec![0; weights.len()];
    for _ in 0..calls {
        counts[usize::from(traffic_split.next(&route).0)] += 1;
    }
    counts
}

#[rstest]
#[case::uneven(&[90, 10], 30, &[27, 3])]
#[case::even(&[1, 1, 1], 9, &[3, 3, 3])]
#[case::none_for_a_part(&[5, 0], 7, &[7, 0])]
#[case::first_weightless(&[0, 5], 7, &[0, 7])]
#[case::three_parts(&[50, 30, 20], 10, &[5, 3, 2])]
fn each_part_gets_its_share(
    #[case] weights: &[u32],
    #[case] calls: usize,
    #[case] wanted: &[usize],
) {
    assert_eq!(shares(weights, calls), wanted);
}

#[test]
fn a_route_that_is_not_split_keeps_its_service() {
    let (route, mut traffic_split) = (route(&[]), traffic_split::TrafficSplit::default());
    assert_eq!(traffic_split.next(&route), mesh::ServiceKey(0));
}

#[test]
fn new_weights_reset_the_shares() {
    let mut traffic_split = traffic_split::TrafficSplit::default();
    traffic_split.next(&route(&[90, 10]));
    let changed = route(&[10, 90]);
    let first: Vec<u16> = (0..10).map(|_| traffic_split.next(&changed).0).collect();
    assert_eq!(first.iter().filter(|&&s| s == 1).count(), 9);
}
