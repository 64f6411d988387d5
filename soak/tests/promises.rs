//! The judge finds each broken promise, and finds nothing where none is.

use std::net;
use std::time;

use dandelionspool::bench::load;
use dandelionspool::standin::upstream::record;
use dandelionspool_soak::judge;
use dandelionspool_soak::series;
use rstest::rstest;
use smol_str::SmolStr;

const SHAPE: series::Shape = series::Shape { hosts: 5, length_ms: 8000 };

fn told(id: &str, outcome: load::Outcome) -> load::TryResult {
    load::TryResult {
        id: SmolStr::new(id),
        key: None,
        outcome,
        status: 200,
        reason: SmolStr::default(),
        latency: time::Duration::ZERO,
        target: 0,
    }
}

fn record(runs: &[(&str, &str)]) -> record::Record {
    let mut record = record::Record::default();
    for (id, path) in runs {
        record.start(&SmolStr::new(id), None, path, 1000);
    }
    record
}

fn judged(
    seed: u64,
    outcomes: &[(&str, load::Outcome)],
    runs: &[(&str, &str)],
) -> Vec<judge::Breach> {
    let series = series::Series::draw(seed, SHAPE);
    let mut all: Vec<_> = outcomes.iter().map(|(id, outcome)| told(id, *outcome)).collect();
    all.push(told("fine", load::Outcome::Served));
    judge::judge(&series, &all, &[record(runs), record(&[("fine", "/browse")])])
}

#[test]
fn a_round_without_a_fault_breaks_no_promise() {
    let outcomes = [("a", load::Outcome::Served), ("b", load::Outcome::NotRun)];
    assert_eq!(judged(4, &outcomes, &[("a", "/orders")]), []);
}

#[rstest]
#[case::told_not_run(load::Outcome::NotRun)]
#[case::could_not_connect(load::Outcome::Connect)]
fn a_call_that_ran_and_was_told_not_to_is_a_lie(#[case] outcome: load::Outcome) {
    let breaches = judged(1, &[("a", outcome)], &[("a", "/orders")]);
    assert!(matches!(breaches[..], [judge::Breach::Lie { .. }]), "{breaches:?}");
}

#[test]
fn an_order_that_ran_twice_is_found_and_a_read_is_not() {
    let twice = [("a", "/orders"), ("a", "/orders"), ("b", "/browse"), ("b", "/browse")];
    let breaches = judged(1, &[("a", load::Outcome::Served)], &twice);
    assert!(matches!(&breaches[..], [judge::Breach::Twice { runs: 2, .. }]), "{breaches:?}");
}

#[test]
fn a_read_with_too_many_attempts_is_found() {
    let breaches = judged(1, &[], &[("b", "/browse"); 4]);
    assert!(matches!(&breaches[..], [judge::Breach::Attempts { runs: 4, .. }]), "{breaches:?}");
}

#[test]
fn an_answer_nobody_made_and_one_that_is_not_whole_are_found() {
    let outcomes = [("a", load::Outcome::Served), ("b", load::Outcome::Wrong)];
    let breaches = judged(1, &outcomes, &[]);
    let wanted =
        matches!(&breaches[..], [judge::Breach::Invented { .. }, judge::Breach::Wrong { .. }]);
    assert!(wanted, "{breaches:?}");
}

#[rstest]
#[case::planned(4, 1)]
#[case::with_faults(1, 0)]
fn planned_work_alone_may_cut_nothing(#[case] seed: u64, #[case] wanted: usize) {
    assert_eq!(series::Series::draw(seed, SHAPE).planned, wanted == 1);
    let ran = [("a", "/orders")];
    assert_eq!(judged(seed, &[("a", load::Outcome::Broken)], &ran).len(), wanted);
    assert_eq!(judged(seed, &[("a", load::Outcome::Unknown)], &[]).len(), wanted);
    let unread = judged(seed, &[("a", load::Outcome::Broken)], &[]);
    assert_eq!(unread, [], "it crossed the close of its connection");
}

#[test]
fn a_call_long_after_a_drain_is_found() {
    let mut record = record(&[("fine", "/browse")]);
    record.drain_unix_ms = Some(100);
    let series = series::Series::draw(1, SHAPE);
    let breaches = judge::judge(&series, &[told("fine", load::Outcome::Served)], &[record]);
    assert_eq!(breaches, [judge::Breach::Drained { after_ms: 900 }]);
}

#[test]
fn a_round_that_serves_nothing_shows_nothing() {
    let series = series::Series::draw(1, SHAPE);
    let breaches = judge::judge(&series, &[told("a", load::Outcome::NotRun)], &[]);
    assert_eq!(breaches, [judge::Breach::Unserved { served: 0, made: 1 }]);
}

#[test]
fn a_node_that_goes_back_within_one_life_is_found() {
    use dandelionspool_soak::watch;
    let node = net::SocketAddr::from(([127, 0, 0, 1], 7101));
    let mut watch = watch::Watch::default();
    let seen = |incarnation, version| watch::Seen { incarnation, version };
    watch.note(node, seen(1, 5));
    watch.note(node, seen(2, 3));
    assert_eq!(watch.breaches(), [], "a new life");
    watch.note(node, seen(2, 2));
    assert_eq!(watch.breaches(), [judge::Breach::Backwards { node, from: 3, to: 2 }]);
}

#[test]
fn a_seed_gives_the_same_series_again_and_faults_overlap() {
    let series = series::Series::draw(7, SHAPE);
    assert_eq!(series, series::Series::draw(7, SHAPE));
    assert_ne!(series.steps, series::Series::draw(8, SHAPE).steps);
    assert!(series.steps.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms));
    let kinds = (1..200).flat_map(|seed| series::Series::draw(seed, SHAPE).steps);
    let kinds: std::collections::BTreeSet<_> =
        kinds.map(|step| std::mem::discriminant(&step.act)).map(|d| format!("{d:?}")).collect();
    assert_eq!(kinds.len(), 15, "every act is drawn");
}
