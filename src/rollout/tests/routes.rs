//! Roll-outs of versions that are bad in one part, in virtual time: hosts that send calls on
//! several routes, count the answers and tell one another what they have counted.

use std::collections;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs;
use rstest::rstest;

use crate::clock;
use crate::mesh;
use crate::proxy::rollouts;
use crate::rollout;
use crate::rollout::judge;
use crate::rollout::tests;
use crate::view;

/// Mean run time of all calls.
const RUN_TIME: time::Duration = time::Duration::from_millis(100);

/// Time until all hosts know what one host reports.
const GOSSIP_MS: u64 = 1_500;

/// Time between two updates of the hosts.
const STEP_MS: u64 = 100;

/// Share of the calls, and calls beyond it, that the users allow a bad version.
const MAX_SHARE: f64 = 0.1;
const EXTRA_CALLS: f64 = 50.0;

/// Bad answers of a version after which callers must soon meet none of it.
const BAD_ANSWERS: u32 = 50;

/// Time after which they must not.
const ROLLBACK_MS: u64 = 5_000;

/// How the new version answers on the last route; on the others it is as the old one.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// A share of failures from a moment on, in milliseconds.
    Fails(f64, u64),
    /// Run times so many times as long.
    Slow(f64),
}

/// A mesh, its load and the two versions.
#[derive(Clone, Debug)]
struct Case {
    /// Hosts of each version.
    hosts: u8,
    /// Calls a second for the service.
    rate: u64,
    /// Share of the calls that each route has.
    shares: Vec<f64>,
    fault: Fault,
    /// Share of failures of both versions.
    failing: f64,
    /// Share of the hosts that never learn of the order.
    uninformed: f64,
    within: time::Duration,
}

#[derive(Debug, Default)]
struct Outcome {
    stage: Option<rollout::Stage>,
    new: u64,
    all: u64,
    /// Calls to the new version that came too late after its fiftieth bad answer.
    late: u64,
}

fn even(count: usize) -> Vec<f64> {
    vec![1.0 / count as f64; count]
}

/// Two routes, the last of which has `share` of the calls.
fn rare(share: f64) -> Vec<f64> {
    vec![1.0 - share, share]
}

struct Model {
    case: Case,
    mesh: mesh::Mesh,
    hosts: Vec<view::Host>,
    nodes: Vec<rollouts::Rollouts>,
    rng: rngs::SmallRng,
    bad: u32,
    fiftieth: Option<u64>,
    outcome: Outcome,
}

impl Model {
    fn new(case: Case, seed: u64) -> Self {
        let version = |n: u8| if n <= case.hosts { "v1" } else { "v2" };
        let hosts: Vec<view::Host> =
            (1..=2 * case.hosts).map(|n| tests::host(n, version(n))).collect();
        let mut mesh = mesh::Mesh::default();
        let order = rollout::Order { number: 3, version: "v2".into(), within: case.within };
        mesh.rollouts.push(mesh::Rollout { service: "shop".into(), order });
        Self {
            nodes: hosts.iter().map(|_| rollouts::Rollouts::default()).collect(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            case,
            mesh,
            hosts,
            bad: 0,
            fiftieth: None,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let end = u64::try_from(self.case.within.as_millis()).expect("a short time");
        let mut gossip = collections::VecDeque::new();
        for now in (0..end).step_by(usize::try_from(STEP_MS).expect("small")) {
            gossip.push_back(self.hosts.clone());
            if gossip.len() as u64 > GOSSIP_MS / STEP_MS {
                gossip.pop_front();
            }
            let view = view::View::new(gossip[0].clone());
            self.update(&view, now);
            for _ in 0..self.case.rate * STEP_MS / 1000 {
                self.call(now);
            }
        }
        self.outcome
    }

    fn update(&mut self, view: &view::View, now: u64) {
        let informed = (self.nodes.len() as f64 * (1.0 - self.case.uninformed)) as usize;
        for (node, host) in self.nodes.iter().zip(&mut self.hosts).take(informed) {
            node.update(&self.mesh, view, tests::at(now));
            let mut upstream = (**host.upstream.as_ref().expect("an upstream")).clone();
            node.update_trial(Some(&upstream));
            upstream.trial = node.trial();
            host.upstream = Some(upstream.into());
        }
        let stages = self.nodes.iter().flat_map(rollouts::Rollouts::progress);
        let is_end = |s: &rollout::Stage| {
            matches!(s, rollout::Stage::Completed | rollout::Stage::RolledBack)
        };
        let end = stages.map(|progress| progress.stage).find(is_end);
        self.outcome.stage = self.outcome.stage.or(end);
    }

    fn call(&mut self, now: u64) {
        let entry = self.rng.random_range(0..self.nodes.len());
        let mut part = self.rng.random_range(0.0..1.0);
        let position = self.case.shares.iter().position(|share| {
            part -= share;
            part < 0.0
        });
        let last = self.case.shares.len() - 1;
        let position = position.unwrap_or(last);
        let route = format!("route {position}");
        let group = self.nodes[entry].next_group("shop", &route, tests::at(now));
        self.outcome.all += 1;
        let is_new = group == rollout::VersionGroup::New;
        let observation = self.answer(is_new && position == last, now);
        if !is_new {
            self.nodes[entry].record_old("shop", &route, observation);
            return;
        }
        self.outcome.new += 1;
        self.outcome.late +=
            u64::from(self.fiftieth.is_some_and(|fiftieth| now > fiftieth + ROLLBACK_MS));
        let owner = usize::from(self.case.hosts) + self.rng.random_range(0..self.open_hosts());
        let upstream = self.hosts[owner].upstream.clone().expect("an upstream");
        self.nodes[owner].record_local(&upstream, &route, observation);
    }

    /// New upstreams that get calls.
    fn open_hosts(&self) -> usize {
        usize::from(self.case.hosts).min(3)
    }

    fn answer(&mut self, is_faulty: bool, now: u64) -> rollouts::Observation {
        let (share, factor) = match self.case.fault {
            Fault::Fails(share, from) if is_faulty && now >= from => (share, 1.0),
            Fault::Slow(factor) if is_faulty => (0.0, factor),
            _ => (0.0, 1.0),
        };
        // Log-normal run times, about a twentieth of them three times the mean or more.
        let normal: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        let ran = RUN_TIME.mul_f64((0.8 * normal - 0.32).exp() * factor);
        let failed = self.rng.random_bool((share + self.case.failing).min(1.0));
        if failed || factor > 1.0 {
            self.bad += u32::from(is_faulty);
            if self.bad >= BAD_ANSWERS {
                self.fiftieth.get_or_insert(now);
            }
        }
        let verdict = if failed { rollout::Verdict::Failed } else { rollout::Verdict::Good };
        rollouts::Observation { verdict, times: Some((ran, RUN_TIME)) }
    }
}

fn case(shares: Vec<f64>, fault: Fault) -> Case {
    Case {
        hosts: 6,
        rate: 330,
        shares,
        fault,
        failing: 0.0,
        uninformed: 0.0,
        within: time::Duration::from_secs(20),
    }
}

/// Guards against a version that fails one route of several and is completed, since its failures
/// are few among all answers.
#[rstest]
#[case::a_twelfth(case(rare(1.0 / 12.0), Fault::Fails(0.75, 0)))]
#[case::always(case(rare(1.0 / 12.0), Fault::Fails(1.0, 0)))]
#[case::a_thirtieth(case(rare(1.0 / 30.0), Fault::Fails(0.75, 0)))]
#[case::a_hundredth_of_many(Case { rate: 1000, ..case(rare(0.01), Fault::Fails(0.75, 0)) })]
#[case::after_some_seconds(case(rare(1.0 / 12.0), Fault::Fails(0.75, 5_000)))]
#[case::one_in_ten_everywhere(Case { rate: 1000, ..case(even(1), Fault::Fails(0.1, 0)) })]
#[case::one_in_ten_of_a_twelfth(Case { rate: 3000, ..case(rare(1.0 / 12.0), Fault::Fails(0.1, 0)) })]
#[case::slow(case(rare(1.0 / 12.0), Fault::Slow(4.0)))]
#[case::three_times_as_slow(case(rare(1.0 / 12.0), Fault::Slow(3.0)))]
#[case::one_of_thirty(Case { rate: 1000, ..case(even(30), Fault::Fails(0.75, 0)) })]
#[case::beside_a_fault(Case { failing: 0.1, ..case(rare(1.0 / 12.0), Fault::Fails(0.75, 0)) })]
#[case::a_third_uninformed(Case { uninformed: 0.33, ..case(rare(1.0 / 12.0), Fault::Fails(0.75, 0)) })]
#[case::many_hosts(Case { hosts: 60, rate: 2000, ..case(rare(1.0 / 12.0), Fault::Fails(0.75, 0)) })]
fn a_version_that_is_bad_on_one_route_is_rolled_back(#[case] case: Case) {
    for seed in 0..10 {
        let outcome = Model::new(case.clone(), seed).run();
        assert_eq!(outcome.stage, Some(rollout::Stage::RolledBack), "seed {seed}: {outcome:?}");
        let max = outcome.all as f64 * MAX_SHARE + EXTRA_CALLS;
        assert!(outcome.new as f64 <= max, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.late, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against good versions that are rolled back since one of many routes looks bad by chance,
/// or since a fault fails both versions.
#[rstest]
#[case::one_route(case(even(1), Fault::None))]
#[case::a_rare_one(case(rare(1.0 / 30.0), Fault::None))]
#[case::some_failures(Case { failing: 0.02, ..case(even(4), Fault::None) })]
#[case::thirty(Case { failing: 0.02, ..case(even(30), Fault::None) })]
#[case::eight_hundred(Case { failing: 0.02, rate: 1000, ..case(even(800), Fault::None) })]
#[case::beside_a_fault(Case { failing: 0.3, ..case(rare(1.0 / 12.0), Fault::None) })]
#[case::few_calls(Case { rate: 30, ..case(rare(1.0 / 12.0), Fault::None) })]
fn a_good_version_is_completed(#[case] case: Case) {
    for seed in 0..10 {
        let outcome = Model::new(case.clone(), seed).run();
        assert_eq!(outcome.stage, Some(rollout::Stage::Completed), "seed {seed}: {outcome:?}");
    }
}

/// Guards against good versions that are found bad by the number of tests that are made of them.
#[rstest]
#[case::one(1)]
#[case::thirty(30)]
#[case::eight_hundred(800)]
fn of_a_thousand_good_versions_none_fails_its_routes(#[case] routes: u32) {
    let mut rng = rngs::SmallRng::seed_from_u64(u64::from(routes));
    let found = (0..1_000).filter(|_| {
        let mut counts = rollout::counts::Routes::default();
        (0..40).any(|_| {
            for _ in 0..50 {
                let route = rollout::RouteId::of(&format!("r{}", rng.random_range(0..routes)));
                let verdict = |rng: &mut rngs::SmallRng| match rng.random_range(0..100) {
                    0..4 => rollout::Verdict::Poor,
                    4..6 => rollout::Verdict::Failed,
                    _ => rollout::Verdict::Good,
                };
                counts.record_new(route, verdict(&mut rng));
                counts.record_old(route, verdict(&mut rng));
            }
            judge::examine(&counts) == judge::Finding::Bad
        })
    });
    assert_eq!(found.count(), 0);
}

/// The share of a trial must not grow with the number of routes.
#[rstest]
#[case::two(rare(1.0 / 12.0))]
#[case::thirty(even(30))]
#[case::eight_hundred(even(800))]
fn a_trial_gets_no_more_than_its_share(#[case] shares: Vec<f64>) {
    let mut turns = rollout::table::Turns::default();
    let plan = rollout::Plan::new(time::Duration::from_secs(60), clock::Instant::ZERO);
    let mut rng = rngs::SmallRng::seed_from_u64(7);
    let calls = 100_000;
    let new = (0..calls).filter(|_| {
        let mut part = rng.random_range(0.0..1.0);
        let position = shares.iter().position(|share| {
            part -= share;
            part < 0.0
        });
        let route = rollout::RouteId::of(&format!("r{}", position.unwrap_or_default()));
        turns.next_is_new(&plan, route, clock::Instant::ZERO)
    });
    let permille = new.count() * 1000 / calls;
    assert!((35..=55).contains(&permille), "{permille}");
}

/// Guards against a report that another program made up: it must not make a node hold more than a
/// node may send.
#[test]
fn a_report_on_too_many_routes_is_not_decoded() {
    let one = rollout::counts::RouteReport {
        route: rollout::RouteId::of("r"),
        new: rollout::counts::RouteCounts { answers: 3, bad: 2, failed: 1 },
        ..rollout::counts::RouteReport::default()
    };
    for count in [0, 1, rollout::counts::REPORTED_ROUTES] {
        let bytes = postcard::to_allocvec(&vec![one; count]).expect("encodes");
        let reports: rollout::counts::RouteReports = postcard::from_bytes(&bytes).expect("decodes");
        assert_eq!(reports.iter().count(), count);
        assert_eq!(postcard::to_allocvec(&reports).expect("encodes"), bytes);
    }
    let many = vec![one; rollout::counts::REPORTED_ROUTES + 1];
    let bytes = postcard::to_allocvec(&many).expect("encodes");
    assert!(postcard::from_bytes::<rollout::counts::RouteReports>(&bytes).is_err());
}

/// Whether the version of `case` is rolled back within the bounds.
fn is_stopped(case: Case, seed: u64) -> bool {
    let outcome = Model::new(case, seed).run();
    let max = outcome.all as f64 * MAX_SHARE + EXTRA_CALLS;
    let rolled_back = outcome.stage == Some(rollout::Stage::RolledBack);
    rolled_back && outcome.new as f64 <= max && outcome.late == 0
}

/// Guards against a slow version that is moved on, since its route had few answers that looked good by
/// chance, and is found bad only when it has most calls.
#[rstest]
#[case::at_first(116)]
#[case::again(168)]
fn a_slow_version_is_not_moved_on_for_a_few_good_answers(#[case] seed: u64) {
    assert!(is_stopped(case(rare(1.0 / 12.0), Fault::Slow(4.0)), seed));
}

/// Guards against the same of a version whose answers are slow just above the limit.
#[rstest]
#[case::completed(49)]
#[case::late(55)]
#[case::more_than_its_share(120)]
fn a_version_three_times_as_slow_is_not_moved_on(#[case] seed: u64) {
    assert!(is_stopped(case(rare(1.0 / 12.0), Fault::Slow(3.0)), seed));
}

/// Guards against a stored profile that another build reads differently: what follows its upstream,
/// the leavings, would be lost.
#[test]
fn counts_by_route_are_no_part_of_a_stored_upstream() {
    let one = rollout::counts::RouteReport {
        route: rollout::RouteId::of("r"),
        new: rollout::counts::RouteCounts { answers: 3, bad: 2, failed: 1 },
        ..rollout::counts::RouteReport::default()
    };
    let plain = rollout::TrialReport { order: 3, ..rollout::TrialReport::default() };
    let report = rollout::TrialReport { routes: [one].into_iter().collect(), ..plain };
    let bytes = postcard::to_allocvec(&report).expect("encodes");
    assert_eq!(bytes, postcard::to_allocvec(&plain).expect("encodes"));
    assert_eq!(bytes, [3, 0, 0, 0, 0, 0]);
}
