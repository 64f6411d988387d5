use rstest::rstest;

use crate::bench::quotas;
use crate::bench::quotas::case;

fn lent(load: case::Load, nodes: usize, rate: u32) -> quotas::tally::Figures {
    let case = case::Case { way: case::Way::Lent, load, nodes, rate };
    quotas::measure(case, 1).figures
}

/// A limit holds in every span, whatever callers and nodes do: a hot organisation, hosts that are
/// cut off or killed at once while it presses, and a lossy network.
#[rstest]
fn a_limit_holds_in_every_span(
    #[values(
        case::Load::Usual,
        case::Load::Hot,
        case::Load::Shift,
        case::Load::Cut,
        case::Load::Halved,
        case::Load::Restarted,
        case::Load::Lowered,
        case::Load::Lossy
    )]
    load: case::Load,
    #[values(4, 40, 600)] rate: u32,
) {
    let figures = lent(load, 60, rate);
    assert!(figures.overrun <= 1.0, "{figures:?}");
}

/// Calls below the limit are not refused, at organisations of any size and after their callers have
/// moved to other hosts.
#[rstest]
fn calls_below_the_limit_are_allowed(
    #[values(case::Load::Usual, case::Load::Shift)] load: case::Load,
    #[values(40, 600)] rate: u32,
) {
    let figures = lent(load, 60, rate);
    assert!(figures.refused_share < 0.01, "{figures:?}");
}

/// Below its limit, a small organisation's calls come in bursts beyond the burst that it has: what a
/// single bucket for the whole mesh would refuse is refused, too.
#[test]
fn a_small_organisation_gets_what_a_single_bucket_would_allow() {
    let figures = lent(case::Load::Usual, 60, 4);
    assert!(figures.refused_share < 0.05, "{figures:?}");
}
