//! Tests of roll-outs in virtual time.

use std::collections;
use std::time;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

use crate::clock;
use crate::host;
use crate::logs;
use crate::mesh;
use crate::rollout;
use crate::rollout::judge;
use crate::rollout::plan;
use crate::rollout::status;
use crate::view;

mod routes;

/// Entry nodes of the modelled mesh.
const ENTRIES: usize = 90;

/// Calls a second for the service.
const CALLS_PER_SECOND: u64 = 1_900;

/// Time within which the move has to end.
const WITHIN: time::Duration = time::Duration::from_secs(12);

/// Time until all nodes know what one node reports: a second and a half of gossip.
const GOSSIP_MS: u64 = 1_500;

/// Time between two updates of the plans.
const STEP_MS: u64 = 20;

/// Share of the calls, and calls beyond it, that the users allow a bad version.
const MAX_SHARE: f64 = 0.1;
const EXTRA_CALLS: f64 = 50.0;

/// Behaviour of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Good,
    /// As the old version, but slow in its first seconds, like every upstream that has just
    /// started.
    Cold,
    /// A share of bad answers from a moment on, in milliseconds.
    Bad {
        share: f64,
        from: u64,
    },
    /// A share of bad answers on one route of four.
    Route {
        share: f64,
    },
    /// A share of bad answers at upstreams that run as many calls as the old ones.
    Load {
        share: f64,
    },
}

/// Result of a run of the model.
#[derive(Debug)]
struct Result {
    /// The stage of the first node that ended the move.
    stage: rollout::Stage,
    /// When that was, in milliseconds.
    at: u64,
    /// Calls that the new version got.
    new: u64,
    /// Calls of both versions.
    all: u64,
    /// Calls to the new version later than five seconds after its 50th bad answer.
    late: u64,
}

/// An entry node in the model.
struct Entry {
    plan: Option<rollout::Plan>,
    /// When it learns of the order, in milliseconds; `None` if it never does.
    learns: Option<u64>,
    old: rollout::AnswerCounts,
    calls: u32,
}

pub(super) fn at(millis: u64) -> clock::Instant {
    clock::Instant::from_millis(millis)
}

/// Runs an order on a mesh of which `uninformed` entry nodes in a hundred never learn of it; `old`
/// is the share of bad answers of the old version.
fn run(kind: Kind, old: f64, uninformed: usize, seed: u64) -> Result {
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let learns = |i: usize, rng: &mut rngs::SmallRng| {
        (i * 100 / ENTRIES >= uninformed).then(|| rng.random_range(0..2_000))
    };
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|i| Entry {
            plan: None,
            learns: learns(i, &mut rng),
            old: rollout::AnswerCounts::default(),
            calls: 0,
        })
        .collect();
    let mut seen = rollout::AnswerCounts::default();
    // The nodes know the counts as they were one gossip delay ago.
    let mut history = collections::VecDeque::new();
    let mut result = Result { stage: rollout::Stage::Trial, at: 0, new: 0, all: 0, late: 0 };
    let mut fiftieth = None;
    // Nodes beside new upstreams report the answers of the old version; here these are the last
    // three.
    let mut shared = collections::VecDeque::new();
    let mut rejected = None;
    let end = u64::try_from(WITHIN.as_millis()).expect("some seconds");
    for now in (0..end).step_by(usize::try_from(STEP_MS).expect("small")) {
        history.push_back((now, seen));
        while history.len() > 1 && history[1].0 + GOSSIP_MS <= now {
            history.pop_front();
        }
        let known = if history[0].0 + GOSSIP_MS <= now {
            history[0].1
        } else {
            rollout::AnswerCounts::default()
        };
        let reports = entries.iter().rev().take(3).map(|entry| entry.old);
        shared.push_back((
            now,
            reports.fold(rollout::AnswerCounts::default(), rollout::AnswerCounts::plus),
        ));
        while shared.len() > 1 && shared[1].0 + GOSSIP_MS <= now {
            shared.pop_front();
        }
        let control = if shared[0].0 + GOSSIP_MS <= now {
            shared[0].1
        } else {
            rollout::AnswerCounts::default()
        };
        let rejection_known = rejected.is_some_and(|when| when + GOSSIP_MS <= now);
        for entry in &mut entries {
            update(entry, (known, control), rejection_known, now);
        }
        if entries.iter().any(|e| e.plan.is_some_and(|plan| plan.has_rejected())) {
            rejected.get_or_insert(now);
        }
        let mut ended = entries.iter().filter_map(|e| e.plan.map(|plan| plan.stage()));
        let ended = ended.find(|s| status::State::from(*s).is_final());
        if let (Some(stage), 0) = (ended, result.at) {
            (result.stage, result.at) = (stage, now);
        }
        for _ in 0..CALLS_PER_SECOND * STEP_MS / 1000 {
            let entry = &mut entries[rng.random_range(0..ENTRIES)];
            entry.calls = (entry.calls + 617) % 1000;
            let share = entry.plan.map_or(0, |plan| plan.share(at(now)));
            result.all += 1;
            if entry.calls >= share {
                entry.old.record(rng.random_bool(old));
                continue;
            }
            result.new += 1;
            if fiftieth.is_some_and(|when| now > when + 5_000) {
                result.late += 1;
            }
            let chance = chance(kind, old, now, share, &mut rng);
            seen.record(rng.random_bool(chance));
            if seen.bad >= 50 {
                fiftieth.get_or_insert(now);
            }
        }
    }
    result
}

/// Updates the plan of an entry node.
fn update(
    entry: &mut Entry,
    (new, old): (rollout::AnswerCounts, rollout::AnswerCounts),
    rejected: bool,
    now: u64,
) {
    if entry.learns.is_none_or(|when| when > now) {
        return;
    }
    let plan = entry.plan.get_or_insert_with(|| rollout::Plan::new(WITHIN, at(now)));
    let old = entry.old.plus(old);
    let known =
        plan::Observations { new, old, rejected, ready: 288, serving: 288, ..Default::default() };
    plan.update(&known, at(now));
}

/// The chance that an answer of the new version is bad.
fn chance(kind: Kind, old: f64, now: u64, share: u32, rng: &mut rngs::SmallRng) -> f64 {
    let extra = match kind {
        Kind::Good | Kind::Cold => 0.0,
        Kind::Bad { share, from } if now >= from => share,
        Kind::Bad { .. } => 0.0,
        Kind::Route { share } => {
            if rng.random_ratio(1, 4) {
                share
            } else {
                0.0
            }
        }
        // The few upstreams of the trial run as many calls as the old ones.
        Kind::Load { share: bad } => {
            if share > 0 {
                bad
            } else {
                0.0
            }
        }
    };
    (old + extra).min(1.0)
}

#[rstest]
#[case::failures(Kind::Bad { share: 0.3, from: 0 }, 0.05)]
#[case::many_failures(Kind::Bad { share: 0.9, from: 0 }, 0.05)]
#[case::late(Kind::Bad { share: 0.5, from: 4_000 }, 0.05)]
#[case::one_route(Kind::Route { share: 0.8 }, 0.05)]
#[case::under_load(Kind::Load { share: 0.4 }, 0.05)]
#[case::beside_a_fault(Kind::Bad { share: 0.4, from: 0 }, 0.25)]
fn a_bad_version_is_rolled_back_before_it_gets_more_than_its_share(
    #[case] kind: Kind,
    #[case] old: f64,
) {
    for seed in 0..20 {
        for uninformed in [0, 33] {
            let result = run(kind, old, uninformed, seed);
            assert_eq!(result.stage, rollout::Stage::RolledBack, "seed {seed}: {result:?}");
            let max = result.all as f64 * MAX_SHARE + EXTRA_CALLS;
            assert!((result.new as f64) <= max, "seed {seed}: {result:?}");
            assert_eq!(result.late, 0, "seed {seed}: {result:?}");
        }
    }
}

#[rstest]
#[case::sound(Kind::Good, 0.02)]
#[case::cold(Kind::Cold, 0.05)]
#[case::in_an_overload(Kind::Good, 0.3)]
fn a_good_version_is_completed_in_time(#[case] kind: Kind, #[case] old: f64) {
    for seed in 0..50 {
        let result = run(kind, old, 0, seed);
        assert_eq!(result.stage, rollout::Stage::Completed, "seed {seed}: {result:?}");
        assert!(time::Duration::from_millis(result.at) < WITHIN, "seed {seed}: {result:?}");
    }
}

#[test]
fn of_a_thousand_good_versions_none_is_rejected() {
    let rejected = (0..1_000).filter(|&seed| {
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        let (mut new, mut old) =
            (rollout::AnswerCounts::default(), rollout::AnswerCounts::default());
        (0..1_000).any(|_| {
            new.record(rng.random_bool(0.06));
            old.record(rng.random_bool(0.06));
            judge::is_bad(new, old)
        })
    });
    assert_eq!(rejected.count(), 0);
}

#[test]
fn an_order_without_new_upstreams_is_rolled_back_before_its_time_is_over() {
    let mut plan = rollout::Plan::new(WITHIN, at(0));
    let (new, old) = (rollout::AnswerCounts::default(), rollout::AnswerCounts::default());
    for now in (0..12_000).step_by(100) {
        let known = plan::Observations {
            new,
            old,
            rejected: false,
            ready: 0,
            serving: 40,
            ..Default::default()
        };
        plan.update(&known, at(now));
    }
    assert_eq!(plan.stage(), rollout::Stage::RolledBack);
}

#[test]
fn the_old_version_gets_no_call_for_a_while_before_its_end() {
    let mut plan = rollout::Plan::new(WITHIN, at(0));
    let new = rollout::AnswerCounts { answers: 400, bad: 4 };
    let old = rollout::AnswerCounts { answers: 150, bad: 2 };
    let mut since = None;
    for now in (0..12_000).step_by(100) {
        let known = plan::Observations {
            new,
            old,
            rejected: false,
            ready: 40,
            serving: 40,
            ..Default::default()
        };
        plan.update(&known, at(now));
        if plan.share(at(now)) == 1000 {
            since.get_or_insert(now);
        }
        if plan.stage() == rollout::Stage::Completed {
            assert!(since.is_some_and(|since| now - since >= 1_000), "{since:?} {now}");
            return;
        }
    }
    panic!("not completed: {plan:?}");
}

proptest! {
    #[test]
    fn a_final_stage_stays(
        updates in prop::collection::vec(
            (0u32..500, 0u32..500, any::<bool>(), 0u32..80, 0u32..80),
            1..60,
        ),
    ) {
        let mut plan = rollout::Plan::new(WITHIN, at(0));
        let mut end = None;
        for (now, (answers, bad, rejected, ready, serving)) in (0..).step_by(200).zip(updates) {
            let new = rollout::AnswerCounts { answers, bad: bad.min(answers) };
            let old = rollout::AnswerCounts { answers: 100, bad: 3 };
            let known = plan::Observations { new, old, rejected, ready, serving, ..Default::default() };
            plan.update(&known, at(now));
            let stage = plan.stage();
            prop_assert!(end.is_none_or(|end| end == stage));
            if status::State::from(stage).is_final() {
                end = Some(stage);
            }
            prop_assert!(plan.share(at(now)) <= 1000);
        }
    }

    #[test]
    fn counts_hold_no_more_bad_answers_than_answers(
        results in prop::collection::vec(any::<bool>(), 0..200),
    ) {
        let mut seen = rollout::AnswerCounts::default();
        for bad in results {
            seen.record(bad);
            prop_assert!(seen.bad <= seen.answers);
            prop_assert!(seen.halved().bad <= seen.halved().answers);
        }
    }
}

fn progress(version: &str, stage: rollout::Stage) -> rollout::table::Progress {
    let order = rollout::Order { number: 3, version: version.into(), within: WITHIN };
    rollout::table::Progress { service: "shop".into(), order, stage }
}

#[rstest]
#[case::nothing_yet(None, rollout::Stage::Trial, Some(status::State::Serving))]
#[case::published(Some(("v2", status::State::Serving)), rollout::Stage::Trial, None)]
#[case::completed(
    Some(("v2", status::State::Serving)), rollout::Stage::Completed, Some(status::State::Completed)
)]
#[case::another_order(
    Some(("v1", status::State::RolledBack)), rollout::Stage::Trial, Some(status::State::Serving)
)]
#[case::the_same_version_ordered_again(
    Some(("v2 before", status::State::RolledBack)), rollout::Stage::Trial, Some(status::State::Serving)
)]
#[case::another_final_state(
    Some(("v2", status::State::RolledBack)), rollout::Stage::Completed, None
)]
#[case::behind_the_published_state(
    Some(("v2", status::State::Completed)), rollout::Stage::Trial, None
)]
fn the_first_final_state_that_is_published_stays(
    #[case] published: Option<(&str, status::State)>,
    #[case] stage: rollout::Stage,
    #[case] expected: Option<status::State>,
) {
    let list = published.into_iter().map(|(version, state)| status::Status {
        service: "shop".into(),
        version: version.into(),
        order: if version == "v2" { 3 } else { 2 },
        state,
    });
    let published = status::StatusList { list: list.collect(), position: 7 };
    let next = status::unpublished(&progress("v2", stage), &published);
    assert_eq!(next.map(|status| status.state), expected);
}

pub(super) fn host(n: u8, version: &str) -> view::Host {
    let listen = std::net::SocketAddr::from(([10, 0, 0, n], 7000));
    let locality = view::Locality { region: "r".into(), zone: "z".into() };
    let upstream = view::Upstream {
        service: "shop".into(),
        class: "shop".into(),
        phase: view::Phase::Serving,
        slots: 4,
        connections: 100,
        incarnation: 1,
        version: version.into(),
        trial: rollout::TrialReport::default(),
    };
    view::Host {
        id: host::HostId::new(listen),
        locality: locality.into(),
        incarnation: 1,
        health: view::Health::Alive,
        upstream: Some(upstream.into()),
    }
}

/// The groups to which `table` assigns upstreams of `versions`, in the order of their hosts.
fn groups(table: &rollout::Table, versions: &[&str], now: u64) -> Vec<Option<plan::VersionGroup>> {
    let mut classifier = table.classifier("shop", at(now));
    versions.iter().map(|version| classifier.group_of(version, true)).collect()
}

/// Updates `table` with upstreams of `versions`.
fn announce(table: &mut rollout::Table, mesh: &mesh::Mesh, versions: &[&str], now: u64) {
    let hosts = (1..).zip(versions).map(|(n, version)| host(n, version));
    table.update(mesh, &view::View::new(hosts.collect()), at(now));
}

#[test]
fn a_version_without_an_order_gets_no_calls_at_first_beside_another_one() {
    let (mut table, mesh) = (rollout::Table::default(), mesh::Mesh::default());
    announce(&mut table, &mesh, &["v1", "v1"], 1_000);
    let both = ["v1", "v1", "v2"];
    announce(&mut table, &mesh, &both, 2_000);
    let any = Some(plan::VersionGroup::Any);
    assert_eq!(groups(&table, &both, 2_000), [any, any, None]);
    assert!(!table.is_idle(at(11_000)), "the groups still change");
    assert_eq!(groups(&table, &both, 12_000), [any, any, any]);
    assert!(table.is_idle(at(13_100)));
}

#[test]
fn a_version_without_an_order_serves_if_there_is_no_other() {
    let (mut table, mesh) = (rollout::Table::default(), mesh::Mesh::default());
    announce(&mut table, &mesh, &["v1"], 1_000);
    announce(&mut table, &mesh, &["v2", "v2"], 2_000);
    assert_eq!(groups(&table, &["v2", "v2"], 2_000), [Some(plan::VersionGroup::Any); 2]);
}

#[test]
fn an_unproven_version_gets_calls_at_few_upstreams() {
    let (mut table, mut mesh) = (rollout::Table::default(), mesh::Mesh::default());
    let order = rollout::Order { number: 3, version: "v2".into(), within: WITHIN };
    mesh.rollouts.push(mesh::Rollout { service: "shop".into(), order });
    let versions = ["v1", "v2", "v2", "v2", "v2", "v2"];
    announce(&mut table, &mesh, &versions, 1_000);
    let (old, new) = (Some(plan::VersionGroup::Old), Some(plan::VersionGroup::New));
    assert_eq!(groups(&table, &versions, 1_000), [old, new, new, new, None, None]);
    let tried = (0..1_000).filter(|_| {
        table.next_group("shop", rollout::RouteId::of("r"), at(1_000)) == plan::VersionGroup::New
    });
    assert_eq!(tried.count(), 50);
    table.settle("shop", 3, rollout::Stage::RolledBack);
    assert!((0..1_000).all(|_| table.next_group("shop", rollout::RouteId::of("r"), at(1_000))
        == plan::VersionGroup::Old));
    assert_eq!(
        table.fallback("shop", plan::VersionGroup::Old),
        None,
        "not even if there is no other upstream"
    );
}

#[test]
fn the_published_final_stage_replaces_the_own_one() {
    let mut plan = rollout::Plan::new(WITHIN, at(0));
    let (new, old) = (rollout::AnswerCounts::default(), rollout::AnswerCounts::default());
    let known = plan::Observations {
        new,
        old,
        rejected: false,
        ready: 0,
        serving: 40,
        ..Default::default()
    };
    plan.update(&known, at(11_000));
    assert_eq!(plan.stage(), rollout::Stage::RolledBack, "this node learned of the order late");
    plan.settle(rollout::Stage::Completed);
    plan.update(&known, at(11_100));
    assert_eq!(plan.stage(), rollout::Stage::Completed);
    assert_eq!(plan.share(at(11_100)), 1000);
}

#[test]
fn a_new_upstream_that_takes_no_calls_does_not_count_towards_the_trial() {
    let (mut table, mut mesh) = (rollout::Table::default(), mesh::Mesh::default());
    let order = rollout::Order { number: 3, version: "v2".into(), within: WITHIN };
    mesh.rollouts.push(mesh::Rollout { service: "shop".into(), order });
    let versions = ["v2", "v2", "v2", "v2", "v2"];
    announce(&mut table, &mesh, &versions, 1_000);
    let mut classifier = table.classifier("shop", at(1_000));
    let tried = (0..5).filter(|&n| classifier.group_of("v2", n != 0).is_some());
    assert_eq!(tried.collect::<Vec<_>>(), [0, 1, 2, 3]);
}

/// A configuration with one order, read from the record `number`.
fn ordered(number: u64, version: &str) -> mesh::Mesh {
    let mut mesh = mesh::Mesh::default();
    let order = rollout::Order { number, version: version.into(), within: WITHIN };
    mesh.rollouts.push(mesh::Rollout { service: "shop".into(), order });
    mesh
}

/// Guards against a second trial of a version that was rolled back: after the log was restored from
/// an older copy, its order has another number.
#[test]
fn an_order_that_is_read_again_from_a_restored_log_keeps_its_stage() {
    let mut table = rollout::Table::default();
    let versions = ["v1", "v2"];
    announce(&mut table, &ordered(logs::ordinal(0, 8), "v2"), &versions, 1_000);
    table.settle("shop", logs::ordinal(0, 8), rollout::Stage::RolledBack);
    for (epoch, offset) in [(1, 5), (2, 8), (5, 0)] {
        let number = logs::ordinal(epoch, offset);
        announce(&mut table, &ordered(number, "v2"), &versions, 2_000);
        let progress = table.progress();
        assert_eq!(
            (progress[0].order.number, progress[0].stage),
            (number, plan::Stage::RolledBack)
        );
        assert!((0..1_000).all(|_| table.next_group("shop", rollout::RouteId::of("r"), at(2_000))
            == plan::VersionGroup::Old));
    }
    announce(&mut table, &ordered(logs::ordinal(5, 9), "v2"), &versions, 3_000);
    assert_eq!(table.progress()[0].stage, plan::Stage::Trial, "the version was ordered again");
    announce(&mut table, &ordered(logs::ordinal(6, 2), "v3"), &versions, 4_000);
    assert_eq!(table.progress()[0].order.version, "v3", "an order with another goal is a new one");
}

/// Guards against a final state that is not published, because the log lost the record of its
/// status.
#[test]
fn a_status_is_published_again_once_its_order_is_read_again() {
    let mut table = rollout::Table::default();
    let number = logs::ordinal(0, 8);
    announce(&mut table, &ordered(number, "v2"), &["v1", "v2"], 1_000);
    table.settle("shop", number, rollout::Stage::Completed);
    let status = status::Status {
        service: "shop".into(),
        version: "v2".into(),
        order: number,
        state: status::State::Serving,
    };
    let published = status::StatusList { list: vec![status], position: 3 };
    let again = logs::ordinal(1, 5);
    announce(&mut table, &ordered(again, "v2"), &["v1", "v2"], 2_000);
    let next = status::unpublished(&table.progress()[0], &published).expect("a status to publish");
    assert_eq!((next.order, next.state), (again, status::State::Completed));
}
