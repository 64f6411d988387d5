//! Rounds with the real programs: short ones, and the seeds that have broken a promise.

use dandelionspool_soak::round;
use dandelionspool_soak::series;
use rstest::rstest;

/// Small and short, so that every run of the tests can include it.
const SHORT: series::Shape = series::Shape {
    hosts: 4,
    length_ms: 4000,
    notices: false,
    overload: false,
    repeats: false,
    withdrawals: false,
    routes: false,
};

/// Default shape of the command line.
const DEFAULT: series::Shape = series::Shape {
    hosts: 5,
    length_ms: 8000,
    notices: false,
    overload: false,
    repeats: false,
    withdrawals: false,
    routes: false,
};

/// The same with upstreams that name limits and leave in their answers.
const NOTICES: series::Shape = series::Shape { notices: true, ..DEFAULT };

/// The same with the parts for hard load switched on.
const OVERLOAD: series::Shape = series::Shape { overload: true, ..NOTICES };

/// Short, with upstreams that refuse calls and send answers once more.
const REPEATS: series::Shape = series::Shape { repeats: true, ..SHORT };

/// Short, with upstreams that withdraw and configurations with many routes.
const WITHDRAWALS: series::Shape = series::Shape { withdrawals: true, routes: true, ..SHORT };

#[rstest]
// A copy of a rejection of another call was believed: orders ran twice, and others were answered
// "not run" and had run.
#[case::repeated_answers(6, REPEATS)]
// A node that was killed forgot an acknowledged leaving, and a late heartbeat of the upstream brought
// calls to it again.
#[case::withdrawals(3, WITHDRAWALS)]
#[case::notices(1, NOTICES)]
#[case::overload(5, OVERLOAD)]
#[case::planned_work(4, SHORT)]
#[case::faults(3, SHORT)]
// The soak itself was at fault: at the end of a stop it killed a node that had been started again
// meanwhile, with calls in flight.
#[case::a_start_after_another_start(8, DEFAULT)]
// The first attempt of a read ran and its second did not; the caller received the outcome of the
// second alone, that the call did not run.
#[case::outcome_of_the_last_attempt_alone(23, DEFAULT)]
// The soak itself was at fault: the first answer that said that the upstream leaves was broken off,
// and no node received it.
#[case::a_start_just_after_a_leave(2007, NOTICES)]
#[tokio::test]
async fn a_round_breaks_no_promise(#[case] seed: u64, #[case] shape: series::Shape) {
    let report = round::play(seed, shape).await.expect("the round is played");
    println!("{} of {} calls served", report.served, report.calls);
    assert!(report.breaches.is_empty(), "{report:#?}");
}
