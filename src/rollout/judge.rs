//! Whether a version is bad, by Wald's sequential probability ratio test (Wald, Sequential Tests of
//! Statistical Hypotheses, 1945) on its answers against those of the old version at the same time.
//!
//! The share of bad answers of the old version holds whatever ails both alike: overload, slow or starting
//! upstreams, a release. What is tested is a share beyond it.

use crate::rollout::counts;

/// Share of bad answers that a sound version may have beyond what the old one has: its upstreams are
/// few and differ in speed.
const MARGIN: f64 = 0.04;

/// Share beyond that which a bad version has; one with less is found later or not at all.
const HARM: f64 = 0.12;

/// Answers of the old version that the prior counts for, with a twentieth of them bad: what is known
/// before any has come.
const PRIOR: f64 = 40.0;

/// Share of bad answers that is expected of a version before any is seen.
const EXPECTED: f64 = 0.05;

/// Logarithm of the ratio from which on a version is bad: less than one sound version in 10,000 reaches
/// it, as by Wald's bound the chance is at most the inverse of the ratio.
const CONDEMNED: f64 = 9.21;

/// Standard errors of the old version's share that are added to it. The share is itself an estimate.
const ERRORS: f64 = 3.0;

/// Largest share taken for that of a sound version.
const MOST: f64 = 0.8;

/// Whether `new` is bad beside `old`.
pub fn is_bad(new: counts::AnswerCounts, old: counts::AnswerCounts) -> bool {
    ratio(new, old) > CONDEMNED
}

/// Logarithm of how much likelier `new` is for a bad version than for a sound one.
fn ratio(new: counts::AnswerCounts, old: counts::AnswerCounts) -> f64 {
    let sound = sound(old);
    let harmful = sound + HARM;
    let bad = f64::from(new.bad);
    let good = f64::from(new.answers.saturating_sub(new.bad));
    bad * (harmful / sound).ln() + good * ((1.0 - harmful) / (1.0 - sound)).ln()
}

/// The share of bad answers that a sound version may have.
fn sound(old: counts::AnswerCounts) -> f64 {
    let answers = f64::from(old.answers) + PRIOR;
    let share = (f64::from(old.bad) + PRIOR * EXPECTED) / answers;
    let error = (share * (1.0 - share) / answers).sqrt();
    (share + ERRORS * error + MARGIN).min(MOST)
}
