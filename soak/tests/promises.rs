//! The check finds each kind of broken promise, and reports nothing where none is broken.

use std::net;
use std::time;

use dandelionspool::bench::load;
use dandelionspool::standin::upstream::record;
use dandelionspool_soak::check;
use dandelionspool_soak::series;
use rstest::rstest;
use smol_str::SmolStr;

const SHAPE: series::Shape = series::Shape {
    hosts: 5,
    length_ms: 8000,
    notices: false,
    overload: false,
    repeats: false,
    withdrawals: false,
    routes: false,
};

fn result(id: &str, outcome: load::Outcome) -> load::TryResult {
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

fn breaches_of(
    seed: u64,
    outcomes: &[(&str, load::Outcome)],
    runs: &[(&str, &str)],
) -> Vec<check::Breach> {
    let series = series::Series::draw(seed, SHAPE);
    let mut all: Vec<_> = outcomes.iter().map(|(id, outcome)| result(id, *outcome)).collect();
    all.push(result("fine", load::Outcome::Served));
    check::check(&series, &all, &[record(runs), record(&[("fine", "/browse")])])
}

#[test]
fn a_round_without_a_fault_breaks_no_promise() {
    let outcomes = [("a", load::Outcome::Served), ("b", load::Outcome::NotRun)];
    assert_eq!(breaches_of(4, &outcomes, &[("a", "/orders")]), []);
}

#[rstest]
#[case::not_run(load::Outcome::NotRun)]
#[case::could_not_connect(load::Outcome::Connect)]
fn a_call_that_ran_with_an_outcome_of_not_run_is_found(#[case] outcome: load::Outcome) {
    let breaches = breaches_of(1, &[("a", outcome)], &[("a", "/orders")]);
    assert!(matches!(breaches[..], [check::Breach::FalseNotRun { .. }]), "{breaches:?}");
}

#[test]
fn an_order_that_ran_twice_is_found_and_a_read_is_not() {
    let twice = [("a", "/orders"), ("a", "/orders"), ("b", "/browse"), ("b", "/browse")];
    let breaches = breaches_of(1, &[("a", load::Outcome::Served)], &twice);
    assert!(matches!(&breaches[..], [check::Breach::RanTwice { runs: 2, .. }]), "{breaches:?}");
}

#[test]
fn a_read_with_too_many_attempts_is_found() {
    let breaches = breaches_of(1, &[], &[("b", "/browse"); 4]);
    assert!(
        matches!(&breaches[..], [check::Breach::TooManyAttempts { runs: 4, .. }]),
        "{breaches:?}"
    );
}

#[test]
fn an_answer_to_a_call_that_never_ran_and_a_wrong_answer_are_found() {
    let outcomes = [("a", load::Outcome::Served), ("b", load::Outcome::Wrong)];
    let breaches = breaches_of(1, &outcomes, &[]);
    let expected = matches!(
        &breaches[..],
        [check::Breach::NeverRan { .. }, check::Breach::WrongAnswer { .. }]
    );
    assert!(expected, "{breaches:?}");
}

#[rstest]
#[case::planned(4, 1)]
#[case::with_faults(1, 0)]
fn planned_work_alone_may_cut_off_no_call(#[case] seed: u64, #[case] expected: usize) {
    assert_eq!(series::Series::draw(seed, SHAPE).planned, expected == 1);
    let ran = [("a", "/orders")];
    assert_eq!(breaches_of(seed, &[("a", load::Outcome::Broken)], &ran).len(), expected);
    assert_eq!(breaches_of(seed, &[("a", load::Outcome::Unknown)], &[]).len(), expected);
    let unread = breaches_of(seed, &[("a", load::Outcome::Broken)], &[]);
    assert_eq!(unread, [], "it was sent while its idle connection was closed");
}

#[test]
fn a_call_that_starts_long_after_a_drain_is_found() {
    let mut record = record(&[("fine", "/browse")]);
    record.drain_unix_ms = Some(100);
    let series = series::Series::draw(1, SHAPE);
    let breaches = check::check(&series, &[result("fine", load::Outcome::Served)], &[record]);
    assert_eq!(breaches, [check::Breach::StartAfterDrain { after_ms: 900 }]);
}

#[test]
fn a_round_that_serves_no_call_is_reported() {
    let series = series::Series::draw(1, SHAPE);
    let breaches = check::check(&series, &[result("a", load::Outcome::NotRun)], &[]);
    assert_eq!(breaches, [check::Breach::TooFewServed { served: 0, made: 1 }]);
}

#[test]
fn a_node_that_goes_back_to_an_older_version_without_a_restart_is_found() {
    use dandelionspool_soak::watch;
    let node = net::SocketAddr::from(([127, 0, 0, 1], 7101));
    let mut watch = watch::Watch::default();
    let status = |incarnation, version| watch::Status { incarnation, version };
    watch.record(node, status(1, 5));
    watch.record(node, status(2, 3));
    assert_eq!(watch.breaches(), [], "a new incarnation may start with an older version");
    watch.record(node, status(2, 2));
    assert_eq!(watch.breaches(), [check::Breach::VersionRegressed { node, from: 3, to: 2 }]);
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

/// Seeds that found something have to give the same acts again.
#[test]
fn repeated_answers_change_no_other_act_of_a_seed() {
    let is_own =
        |act: &series::Act| matches!(act, series::Act::Repeat(..) | series::Act::Reject(..));
    for seed in 1..200 {
        let shape = series::Shape { notices: true, ..SHAPE };
        let before = series::Series::draw(seed, shape);
        let after = series::Series::draw(seed, series::Shape { repeats: true, ..shape });
        let mut rest = after.steps.iter();
        let kept = before.steps.iter().all(|step| rest.any(|other| other == step));
        assert!(kept, "seed {seed} lost an act");
        assert_eq!(after.planned, before.planned);
        assert_eq!(after.steps.iter().any(|step| is_own(&step.act)), !after.planned);
    }
}

/// A storm that goes on would leave the end of the round without served calls.
#[test]
fn every_repetition_ends_and_storms_overlap_the_end_of_nodes() {
    let shape = series::Shape { repeats: true, ..SHAPE };
    let series = (1..200).map(|seed| series::Series::draw(seed, shape)).filter(|s| !s.planned);
    let mut storms = 0;
    for series in series {
        let mut open = std::collections::BTreeMap::new();
        for step in &series.steps {
            match step.act {
                series::Act::Repeat(host, _, percent) => open.insert((host, true), percent),
                series::Act::Reject(host, percent) => open.insert((host, false), percent),
                _ => None,
            };
            let hosts = open.iter().filter(|((_, repeat), percent)| *repeat && **percent > 0);
            let ends = matches!(step.act, series::Act::Kill(_) | series::Act::Pause(_));
            storms += usize::from(ends && hosts.count() >= 2);
        }
        assert!(open.values().all(|percent| *percent == 0), "seed {}", series.seed);
    }
    assert!(storms >= 100, "{storms} kills and pauses while several upstreams repeat answers");
}

/// A record of an upstream whose calls start every `gap_ms`.
fn record_of_calls(gap_ms: u64) -> record::Record {
    let mut record = record::Record::default();
    for number in 0..6000 / gap_ms {
        let id = SmolStr::new(format!("call-{number}"));
        record.start(&id, None, "/browse", 1000 + number * gap_ms);
    }
    record
}

fn breaches_of_record(record: record::Record) -> Vec<check::Breach> {
    let series = series::Series { seed: 1, planned: false, steps: Vec::new() };
    let results: Vec<_> = record.runs.keys().map(|id| result(id, load::Outcome::Served)).collect();
    check::check(&series, &results, &[record])
}

#[rstest]
#[case::within_the_limit(200, true)]
#[case::three_times_the_limit(66, false)]
fn calls_beyond_a_named_limit_are_found(#[case] gap_ms: u64, #[case] kept: bool) {
    let mut record = record_of_calls(gap_ms);
    record.say(5.0, false, 1000);
    let breaches = breaches_of_record(record);
    let over = matches!(breaches[..], [check::Breach::OverLimit { allowed: 35, .. }]);
    assert_eq!((breaches.is_empty(), over), (kept, !kept), "{breaches:?}");
}

#[rstest]
#[case::not_named_any_longer(0.0)]
#[case::raised(50.0)]
fn calls_are_counted_while_a_limit_is_named(#[case] next: f64) {
    let mut record = record_of_calls(50);
    record.say(1.0, false, 1000);
    record.say(next, false, 1400);
    assert_eq!(breaches_of_record(record), []);
}

#[test]
fn a_call_at_an_upstream_that_has_said_that_it_leaves_is_found() {
    let mut record = record_of_calls(100);
    record.say(0.0, true, 6700);
    assert_eq!(breaches_of_record(record.clone()), []);
    record.leaving_unix_ms = Some(2000);
    let breaches = breaches_of_record(record);
    assert!(matches!(breaches[..], [check::Breach::StartAfterLeave { .. }]), "{breaches:?}");
}

/// Calls may still start for two seconds after the node is back, or after the acknowledgement.
#[rstest]
#[case::node_away(None, 4000, None)]
#[case::node_away_and_late(None, 3900, Some(100))]
#[case::node_back(Some(4000), 2000, None)]
#[case::node_back_and_late(Some(3500), 2000, Some(500))]
fn a_call_long_after_a_withdrawal_is_found(
    #[case] back_unix_ms: Option<u64>,
    #[case] acknowledged_unix_ms: u64,
    #[case] beyond_ms: Option<u64>,
) {
    let mut record = record_of_calls(100);
    record.runs.retain(|_, run| run.unix_ms <= 6000);
    record.withdrawn_unix_ms = Some(acknowledged_unix_ms);
    let withdrawal = check::Withdrawal { host: 2, acknowledged_unix_ms, back_unix_ms };
    let breaches: Vec<_> = check::check_withdrawals(&[withdrawal], &[record]).collect();
    let after_ms = beyond_ms.map(|beyond| beyond + 2000);
    let found = breaches.first().map(|breach| match breach {
        check::Breach::StartAfterWithdrawal { host: 2, after_ms, .. } => *after_ms,
        other => panic!("{other:?}"),
    });
    assert_eq!(found, after_ms);
}

/// The order of the acts is the trouble: a heartbeat before the node is back would be lost, and an
/// upstream that ends too early gets no call that breaks the promise.
#[test]
fn a_withdrawn_upstream_outlives_its_late_heartbeat() {
    let shape = series::Shape { withdrawals: true, ..SHAPE };
    for seed in (1..200).filter(|seed| seed % 4 != 0) {
        let series = series::Series::draw(seed, shape);
        let before = series::Series::draw(seed, SHAPE);
        assert!(before.steps.iter().all(|step| series.steps.contains(step)), "seed {seed}");
        let find = |act| series.steps.iter().filter(move |step| step.act == act);
        for withdrawal in &series.steps {
            let series::Act::Withdraw(host) = withdrawal.act else { continue };
            // Another withdrawal of the same host may have its own acts between these.
            let whole = find(series::Act::LateHeartbeat(host)).any(|late| {
                let between = withdrawal.at_ms + 1..=late.at_ms;
                find(series::Act::Start(host)).any(|step| between.contains(&step.at_ms))
                    && find(series::Act::Crash(host)).any(|step| step.at_ms == late.at_ms + 3500)
            });
            assert!(whole, "seed {seed}: {withdrawal:?}");
        }
    }
}

/// Only the last version is compared at the end of a round, so that one with many routes has to be it.
#[test]
fn a_series_ends_with_a_publication_of_many_routes() {
    let shape = series::Shape { routes: true, ..SHAPE };
    for seed in 1..200 {
        let series = series::Series::draw(seed, shape);
        let before = series::Series::draw(seed, SHAPE);
        assert!(before.steps.iter().all(|step| series.steps.contains(step)), "seed {seed}");
        assert_eq!(series.steps.last().map(|step| step.act), Some(series::Act::PublishRoutes));
    }
}
