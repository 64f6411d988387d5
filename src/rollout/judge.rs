//! Decides whether a version is bad, by Wald's sequential probability ratio test (Wald, Sequential
//! Tests of Statistical Hypotheses, 1945) on its answers, compared with those of the old version at
//! the same time.
//!
//! The share of bad answers of the old version includes everything that affects both versions:
//! overload, slow or starting upstreams, a release elsewhere. The test looks for a share beyond it.
//!
//! A version may be bad on one route only, whose answers are few among all. So each route is tested
//! by itself, too: by its bad answers, and by its failures alone, which a sound version has hardly
//! more of than the old one. The test of a route averages over several sizes of the excess, which
//! keeps Wald's bound, and the limit of the ratio grows with the number of tests.

use crate::rollout::counts;

/// Share of bad answers that a sound version may have beyond that of the old one: its upstreams are
/// few and differ in speed.
const MARGIN: f64 = 0.04;

/// Share beyond the margin that the test assumes of a bad version; one with less is found later or
/// not at all.
const EXCESS_SHARE: f64 = 0.12;

/// Answers of the old version for which the prior counts, so that there is an estimate before any
/// answer has come.
const PRIOR_ANSWERS: f64 = 40.0;

/// Share of bad answers in the prior.
const PRIOR_BAD_SHARE: f64 = 0.05;

/// Logarithm of the likelihood ratio above which a version is bad. Less than one sound version in
/// 10,000 reaches it: by Wald's bound the chance is at most the inverse of the ratio.
const MAX_LOG_RATIO: f64 = 9.21;

/// Standard errors that are added to the old version's share, which is itself an estimate.
const STANDARD_ERRORS: f64 = 3.0;

/// Largest share of bad answers that is assumed of a sound version.
const MAX_SOUND_SHARE: f64 = 0.8;

/// Largest share of bad answers that is assumed of a bad version.
const MAX_BAD_SHARE: f64 = 0.99;

/// The same for a single route, of which each node knows less than of all: each judges by itself.
const ROUTE_STANDARD_ERRORS: f64 = 4.0;

/// Tests made of each route.
const TESTS_PER_ROUTE: f64 = 2.0;

/// What is assumed of the answers that one kind of test looks at.
struct Assumptions {
    /// Share that a sound version may have beyond that of the old one.
    margin: f64,
    /// Share in the prior.
    prior: f64,
    /// Standard errors that are added to the old version's share.
    errors: f64,
    /// Shares beyond the margin of a bad version, any of which is as likely.
    excess: [f64; 3],
}

/// Bad answers of one route, which depend on the speed of few upstreams.
const BAD: Assumptions = Assumptions {
    margin: MARGIN,
    prior: PRIOR_BAD_SHARE,
    errors: ROUTE_STANDARD_ERRORS,
    excess: [EXCESS_SHARE, 0.4, 0.75],
};

/// Failures that upstreams have answered, which don't depend on it.
const FAILURES: Assumptions = Assumptions {
    margin: 0.01,
    prior: 0.01,
    errors: ROUTE_STANDARD_ERRORS,
    excess: [0.05, 0.2, 0.6],
};

/// Share of bad answers beyond the sound share that is ruled out before a route counts as clear, where
/// the sound share is 0. It grows with that by [`CLEAR_SLOPE`]: beside a fault of both versions
/// more answers are needed to tell them apart than a trial brings.
const CLEAR_EXCESS: f64 = 0.2;

/// Growth of that share with the sound share.
const CLEAR_SLOPE: f64 = 0.5;

/// Logarithm of the likelihood ratio below which that is ruled out, as unlikely as the other error.
const CLEAR_LOG_RATIO: f64 = -MAX_LOG_RATIO;

/// Logarithm of the likelihood ratio above which a route is under suspicion: 10 to 1.
const SUSPECT_LOG_RATIO: f64 = 2.3;

/// Logarithm of the likelihood ratio below which a route is likelier sound than not. One above it is
/// under suspicion, unless it has few answers.
const LIKELY_LOG_RATIO: f64 = -1.0;

/// Answers of the new version on a route with which sound ones are below that.
const FEW_ANSWERS: u32 = 40;

/// Answers of the old version on a route from which on the route has to be clear, too: with fewer,
/// the trial can't bring enough answers either.
const MIN_OLD_ANSWERS: u32 = 16;

/// Whether `new` shows a bad version, compared with `old`.
pub fn is_bad(new: counts::AnswerCounts, old: counts::AnswerCounts) -> bool {
    log_ratio(new, old) > MAX_LOG_RATIO
}

/// What is known of the routes of a service.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Finding {
    /// Nothing speaks against any route, and those with many answers are clear.
    #[default]
    Clear,
    /// Some route has too few answers for its traffic.
    Open,
    /// Some route is likelier bad than sound, or has many answers and is not likely to be clear.
    Suspect,
    /// Some route is bad.
    Bad,
}

/// Judges the version by the answers on each route, and on all of them together.
pub fn examine(routes: &counts::Routes) -> Finding {
    let mut all = counts::RouteReport::default();
    for report in routes.iter() {
        all.new = all.new.plus(report.new);
        all.old = all.old.plus(report.old);
    }
    let groups = routes.iter().count() + 1;
    let penalty = (TESTS_PER_ROUTE * groups as f64).ln();
    routes
        .iter()
        .chain([&all])
        .map(|report| examine_route(report, penalty))
        .max()
        .unwrap_or_default()
}

/// Judges one route; `penalty` is the logarithm of the number of tests.
fn examine_route(report: &counts::RouteReport, penalty: f64) -> Finding {
    let counts::RouteReport { new, old, .. } = report;
    let (answers, old_answers) = (f64::from(new.answers), f64::from(old.answers));
    let bad_sound = sound(&BAD, f64::from(old.bad), old_answers);
    let failures_sound = sound(&FAILURES, f64::from(old.failed), old_answers);
    let bad = mean_ratio(&BAD, bad_sound, f64::from(new.bad), answers);
    let failures = mean_ratio(&FAILURES, failures_sound, f64::from(new.failed), answers);
    let ratio = bad.max(failures) - penalty;
    let excess = CLEAR_EXCESS + CLEAR_SLOPE * bad_sound;
    let clear = ratio_of(bad_sound, excess, f64::from(new.bad), answers);
    let is_unlikely = clear > LIKELY_LOG_RATIO && new.answers >= FEW_ANSWERS;
    if ratio > MAX_LOG_RATIO {
        Finding::Bad
    } else if ratio > SUSPECT_LOG_RATIO || is_unlikely {
        Finding::Suspect
    } else if clear > CLEAR_LOG_RATIO && old.answers >= MIN_OLD_ANSWERS {
        Finding::Open
    } else {
        Finding::Clear
    }
}

/// Logarithm of the mean likelihood ratio over the excess shares that are assumed.
fn mean_ratio(assumed: &Assumptions, sound: f64, bad: f64, answers: f64) -> f64 {
    let ratios = assumed.excess.map(|excess| ratio_of(sound, excess, bad, answers));
    // The largest is taken out, so that the exponentials don't overflow.
    let max = ratios.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = ratios.iter().map(|ratio| (ratio - max).exp()).sum();
    max + (sum / ratios.len() as f64).ln()
}

/// Logarithm of how much likelier `bad` of `answers` are with `excess` beyond the `sound` share
/// than with that share.
fn ratio_of(sound: f64, excess: f64, bad: f64, answers: f64) -> f64 {
    let share = (sound + excess).min(MAX_BAD_SHARE);
    bad * (share / sound).ln() + (answers - bad) * ((1.0 - share) / (1.0 - sound)).ln()
}

/// The share that a sound version may have where the old one has `bad` of `answers`.
fn sound(assumed: &Assumptions, bad: f64, answers: f64) -> f64 {
    let answers = answers + PRIOR_ANSWERS;
    let share = (bad + PRIOR_ANSWERS * assumed.prior) / answers;
    let error = (share * (1.0 - share) / answers).sqrt();
    (share + assumed.errors * error + assumed.margin).min(MAX_SOUND_SHARE)
}

/// Logarithm of how much likelier `new` is for a bad version than for a sound one.
fn log_ratio(new: counts::AnswerCounts, old: counts::AnswerCounts) -> f64 {
    let assumed = Assumptions { errors: STANDARD_ERRORS, ..BAD };
    let sound = sound(&assumed, f64::from(old.bad), f64::from(old.answers));
    ratio_of(sound, EXCESS_SHARE, f64::from(new.bad), f64::from(new.answers))
}
