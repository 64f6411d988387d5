//! Requests that the upstream beside this node has answered of late.

use std::time;

use crate::clock;
use crate::quarantine;

/// Places. At a hundred answers a second all of the last ten seconds find one; each takes 16 bytes.
const PLACES: usize = 1024;

/// How long an answer speaks for its request. One that turns bad is believed after that time.
const FRESH: time::Duration = time::Duration::from_secs(10);

/// The latest answers, each in the place that its request's fingerprint names.
#[derive(Debug, Default)]
pub struct RecentAnswers {
    /// Empty until the first answer.
    places: Vec<(quarantine::Fingerprint, clock::Instant)>,
}

impl RecentAnswers {
    /// An upstream answered `print` at `now` and lived on.
    pub fn record(&mut self, print: quarantine::Fingerprint, now: clock::Instant) {
        if self.places.is_empty() {
            self.places = vec![(quarantine::Fingerprint(0), clock::Instant::ZERO); PLACES];
        }
        self.places[place(print)] = (print, now);
    }

    /// Whether `print` was answered a short time before `now`.
    pub fn contains(&self, print: quarantine::Fingerprint, now: clock::Instant) -> bool {
        let found = self.places.get(place(print)).filter(|(known, _)| *known == print);
        found.is_some_and(|(_, at)| *at > clock::Instant::ZERO && now.since(*at) <= FRESH)
    }
}

fn place(print: quarantine::Fingerprint) -> usize {
    usize::try_from(print.0 % PLACES as u64).unwrap_or_default()
}
