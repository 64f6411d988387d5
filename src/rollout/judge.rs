//! Decides whether a version is bad, by Wald's sequential probability ratio test (Wald, Sequential
//! Tests of Statistical Hypotheses, 1945) on its answers, compared with those of the old version at
//! the same time.
//!
//! The share of bad answers of the old version includes everything that affects both versions:
//! overload, slow or starting upstreams, a release elsewhere. The test looks for a share beyond it.

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

/// Whether `new` shows a bad version, compared with `old`.
pub fn is_bad(new: counts::AnswerCounts, old: counts::AnswerCounts) -> bool {
    log_ratio(new, old) > MAX_LOG_RATIO
}

/// Logarithm of how much likelier `new` is for a bad version than for a sound one.
fn log_ratio(new: counts::AnswerCounts, old: counts::AnswerCounts) -> f64 {
    let sound = sound_share(old);
    let bad_share = sound + EXCESS_SHARE;
    let bad = f64::from(new.bad);
    let good = f64::from(new.answers.saturating_sub(new.bad));
    bad * (bad_share / sound).ln() + good * ((1.0 - bad_share) / (1.0 - sound)).ln()
}

/// The share of bad answers that a sound version may have.
fn sound_share(old: counts::AnswerCounts) -> f64 {
    let answers = f64::from(old.answers) + PRIOR_ANSWERS;
    let share = (f64::from(old.bad) + PRIOR_ANSWERS * PRIOR_BAD_SHARE) / answers;
    let error = (share * (1.0 - share) / answers).sqrt();
    (share + STANDARD_ERRORS * error + MARGIN).min(MAX_SOUND_SHARE)
}
