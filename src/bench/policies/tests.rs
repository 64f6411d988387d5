//! Bounds on what the decisions reach together, in virtual time.

use rstest::rstest;

use crate::bench::policies;
use crate::bench::policies::case;

const SECONDS: u64 = 3;

fn run(fault: case::Fault, percent: u32) -> policies::tally::Figures {
    let (policy, retry) = (case::Policy::Cheapest3, case::Retry::Served);
    policies::measure(case::Case { policy, retry, fault, percent }, SECONDS, 1).figures
}

#[rstest]
#[case::full(90)]
#[case::overloaded(200)]
fn the_same_seed_gives_the_same_figures(#[case] percent: u32) {
    let figures = || format!("{:?}", run(case::Fault::Slow, percent));
    assert_eq!(figures(), figures());
}
