//! Rounds with the real programs: short ones, and every seed that ever broke a promise.

use dandelionspool_soak::round;
use dandelionspool_soak::series;
use rstest::rstest;

/// Small and short, so that every run of the tests has some.
const SHORT: series::Shape = series::Shape { hosts: 4, length_ms: 4000 };

/// What the command plays without further arguments.
const WHOLE: series::Shape = series::Shape { hosts: 5, length_ms: 8000 };

#[rstest]
#[case::planned_work(4, SHORT)]
#[case::faults(3, SHORT)]
// The end of a stop killed a node that had been started again since, with calls under way: the
// soak's own fault.
#[case::a_start_after_another_start(8, WHOLE)]
// A read whose first attempt had run was told not to have run, since its second attempt had not.
#[case::a_doubt_that_was_forgotten(23, WHOLE)]
#[tokio::test]
async fn a_round_breaks_no_promise(#[case] seed: u64, #[case] shape: series::Shape) {
    let report = round::play(seed, shape).await.expect("the round is played");
    println!("{} of {} calls served", report.served, report.calls);
    assert!(report.breaches.is_empty(), "{report:#?}");
}
