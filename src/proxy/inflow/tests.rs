use rstest::rstest;

use crate::configs;
use crate::proxy::inflow;

#[rstest]
#[case::thin(5.0, 2048, 8)]
#[case::middling(100.0, 31_250, 8)]
#[case::wide(1000.0, 262_144, 9)]
fn a_link_is_shared_by_what_it_carries_in_a_moment(
    #[case] mbps: f64,
    #[case] window: u32,
    #[case] turns: usize,
) {
    let settings = configs::proxy::Proxy { link_mbps: mbps, ..configs::proxy::Proxy::default() };
    assert_eq!(inflow::Plan::new(&settings), inflow::Plan { window, turns });
}

#[test]
fn a_link_of_unknown_rate_is_left_alone() {
    let settings = configs::proxy::Proxy::default();
    let plan = inflow::Plan::new(&settings);
    assert_eq!(plan.window, settings.stream_bytes);
    assert!(plan.turns > usize::from(u16::MAX));
}

#[test]
fn bodies_on_their_way_are_counted_until_they_are_there_or_given_up() {
    let inflow = inflow::Inflow::new(inflow::Plan { window: 4096, turns: 4 });
    let mut first = inflow.turn(60_000);
    let second = inflow.turn(40_000);
    assert_eq!(inflow.ahead(), 100_000);
    first.note(50_000);
    assert_eq!(inflow.ahead(), 50_000);
    first.note(50_000);
    assert_eq!(inflow.ahead(), 40_000, "more than was announced");
    drop(second);
    drop(first);
    assert_eq!(inflow.ahead(), 0);
}
