//! Detection of unreachable availability zones, so that hosts of a cut-off zone are not declared
//! dead one by one.
//!
//! A host that does not answer is suspected only when another host of its zone made contact in the
//! meantime. Otherwise a few other hosts of the zone are probed first; when none of them answers
//! either, the zone is unreachable and its hosts keep their records. Contact by any host of the
//! zone ends this.

use std::collections;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::host;

/// Rounds of probes sent to a silent zone before it counts as unreachable.
const MAX_ROUNDS: u8 = 2;

/// A check of a silent zone.
#[derive(Clone, Debug)]
struct Check {
    /// Hosts to suspect once another host of the zone makes contact.
    suspects: collections::BTreeSet<host::HostId>,
    /// Rounds of probes sent.
    rounds: u8,
    /// End of the current round.
    deadline: clock::Instant,
}

#[derive(Clone, Debug, Default)]
struct Zone {
    /// When a host of the zone last made contact.
    contact: Option<clock::Instant>,
    /// Since when the zone is unreachable; `None` while it is not.
    unreachable: Option<clock::Instant>,
    check: Option<Check>,
}

/// What the contact of a host of a zone ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    /// Whether the zone was unreachable until now.
    pub was_unreachable: bool,
    /// Hosts that did not answer although their zone does.
    pub suspects: Vec<host::HostId>,
}

/// The outcome of a round of probes without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Some hosts of the zone are to be probed again.
    Again,
    /// The zone is unreachable.
    Unreachable,
}

/// The state of all availability zones.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    zones: collections::BTreeMap<SmolStr, Zone>,
}

impl Zones {
    /// Records contact by a host of `zone`.
    pub fn record_contact(&mut self, zone: &SmolStr, now: clock::Instant) -> Contact {
        let zone = self.entry(zone);
        zone.contact = Some(now);
        let suspects = zone.check.take().map(|c| c.suspects.into_iter().collect());
        Contact {
            was_unreachable: zone.unreachable.take().is_some(),
            suspects: suspects.unwrap_or_default(),
        }
    }

    /// Whether a host of `zone` made contact at `since` or later.
    pub fn contacted_since(&self, zone: &SmolStr, since: clock::Instant) -> bool {
        self.zones.get(zone).and_then(|z| z.contact).is_some_and(|contact| contact >= since)
    }

    /// Whether `zone` is unreachable.
    pub fn is_unreachable(&self, zone: &SmolStr) -> bool {
        self.zones.get(zone).is_some_and(|z| z.unreachable.is_some())
    }

    /// The unreachable zones, each with the time since when it is unreachable.
    pub fn unreachable(&self) -> impl Iterator<Item = (&SmolStr, clock::Instant)> {
        self.zones.iter().filter_map(|(name, z)| Some((name, z.unreachable?)))
    }

    /// Checks `zone` because `suspect`, if given, did not answer. Returns whether a check began,
    /// whose first probes are to be sent; `false` when one is under way or the zone is unreachable.
    pub fn check(
        &mut self,
        zone: &SmolStr,
        suspect: Option<host::HostId>,
        deadline: clock::Instant,
    ) -> bool {
        let zone = self.entry(zone);
        if zone.unreachable.is_some() {
            return false;
        }
        let new = zone.check.is_none();
        let fresh = || Check { suspects: collections::BTreeSet::new(), rounds: 1, deadline };
        zone.check.get_or_insert_with(fresh).suspects.extend(suspect);
        new
    }

    /// Ends the rounds whose deadline has passed at `now`; a further round lasts for `round`.
    pub fn expire(
        &mut self,
        round: time::Duration,
        now: clock::Instant,
    ) -> Vec<(SmolStr, Verdict)> {
        let mut ended = Vec::new();
        for (name, zone) in &mut self.zones {
            let Some(check) = zone.check.as_mut().filter(|c| c.deadline <= now) else { continue };
            if check.rounds < MAX_ROUNDS {
                check.rounds += 1;
                check.deadline = now + round;
                ended.push((name.clone(), Verdict::Again));
            } else {
                zone.check = None;
                zone.unreachable = Some(now);
                ended.push((name.clone(), Verdict::Unreachable));
            }
        }
        ended
    }

    /// When the next round ends; `None` without a check.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.zones.values().filter_map(|z| Some(z.check.as_ref()?.deadline)).min()
    }

    /// Cancels all checks. After a pause of this process missing answers prove nothing about
    /// others.
    pub fn cancel_checks(&mut self) {
        self.zones.values_mut().for_each(|z| z.check = None);
    }

    fn entry(&mut self, zone: &SmolStr) -> &mut Zone {
        self.zones.entry(zone.clone()).or_default()
    }
}
