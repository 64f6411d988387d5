//! Rounds with the real programs: a short one, and every seed that ever broke a promise.

use dandelionspool_soak::round;
use dandelionspool_soak::series;
use rstest::rstest;

/// Small and short, so that every run of the tests has some.
const SHAPE: series::Shape = series::Shape { hosts: 4, length_ms: 4000 };

#[rstest]
#[case::planned_work(4)]
#[case::faults(3)]
#[tokio::test]
async fn a_short_round_breaks_no_promise(#[case] seed: u64) {
    let report = round::play(seed, SHAPE).await.expect("the round is played");
    println!("{} of {} calls served", report.served, report.calls);
    assert!(report.breaches.is_empty(), "{report:#?}");
}
