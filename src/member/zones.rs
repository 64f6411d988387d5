//! Availability zones that can't be reached: one fact in place of many deaths.
//!
//! A host that does not answer is suspected only when its zone was heard from in the meantime.
//! Otherwise a few other hosts of the zone are checked first; when none of them answers either,
//! the zone is dark and its hosts keep their records. Any word from the zone lifts that.

use std::collections;
use std::time;

use smol_str::SmolStr;

use crate::clock;
use crate::host;

/// Rounds of probes sent to a silent zone before it counts as dark.
const ROUNDS: u8 = 2;

/// A zone under check.
#[derive(Clone, Debug)]
struct Check {
    /// Hosts to suspect once the zone is heard from.
    suspects: collections::BTreeSet<host::HostId>,
    /// Rounds of probes sent.
    rounds: u8,
    /// End of this round.
    deadline: clock::Instant,
}

#[derive(Clone, Debug, Default)]
struct Zone {
    heard: Option<clock::Instant>,
    dark: Option<clock::Instant>,
    check: Option<Check>,
}

/// What hearing from a zone ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Contact {
    /// The zone was dark.
    pub dark: bool,
    /// Hosts that did not answer although their zone does.
    pub suspects: Vec<host::HostId>,
}

/// What the end of a round of probes means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Probe some hosts of the zone again.
    Again,
    /// The zone is dark.
    Unreachable,
}

/// What is known of each availability zone.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    zones: collections::BTreeMap<SmolStr, Zone>,
}

impl Zones {
    /// Notes that a host of `zone` was heard from.
    pub fn record_contact(&mut self, zone: &SmolStr, now: clock::Instant) -> Contact {
        let zone = self.entry(zone);
        zone.heard = Some(now);
        let suspects = zone.check.take().map(|c| c.suspects.into_iter().collect());
        Contact { dark: zone.dark.take().is_some(), suspects: suspects.unwrap_or_default() }
    }

    /// Whether `zone` was heard from at `since` or later.
    pub fn contacted_since(&self, zone: &SmolStr, since: clock::Instant) -> bool {
        self.zones.get(zone).and_then(|z| z.heard).is_some_and(|heard| heard >= since)
    }

    /// Whether `zone` can't be reached.
    pub fn is_unreachable(&self, zone: &SmolStr) -> bool {
        self.zones.get(zone).is_some_and(|z| z.dark.is_some())
    }

    /// The dark zones, each with the instant since when it is dark.
    pub fn dark(&self) -> impl Iterator<Item = (&SmolStr, clock::Instant)> {
        self.zones.iter().filter_map(|(name, z)| Some((name, z.dark?)))
    }

    /// Begins a check of `zone`, on account of `suspect` if given; says whether it is a new one,
    /// whose first probes are to be sent.
    pub fn check(
        &mut self,
        zone: &SmolStr,
        suspect: Option<host::HostId>,
        deadline: clock::Instant,
    ) -> bool {
        let zone = self.entry(zone);
        if zone.dark.is_some() {
            return false;
        }
        let new = zone.check.is_none();
        let fresh = || Check { suspects: collections::BTreeSet::new(), rounds: 1, deadline };
        zone.check.get_or_insert_with(fresh).suspects.extend(suspect);
        new
    }

    /// Ends the rounds that are over at `now`; a further round takes `round`.
    pub fn expire(
        &mut self,
        round: time::Duration,
        now: clock::Instant,
    ) -> Vec<(SmolStr, Verdict)> {
        let mut ended = Vec::new();
        for (name, zone) in &mut self.zones {
            let Some(check) = zone.check.as_mut().filter(|c| c.deadline <= now) else { continue };
            if check.rounds < ROUNDS {
                check.rounds += 1;
                check.deadline = now + round;
                ended.push((name.clone(), Verdict::Again));
            } else {
                zone.check = None;
                zone.dark = Some(now);
                ended.push((name.clone(), Verdict::Unreachable));
            }
        }
        ended
    }

    /// When the next round ends.
    pub fn wake(&self) -> Option<clock::Instant> {
        self.zones.values().filter_map(|z| Some(z.check.as_ref()?.deadline)).min()
    }

    /// Gives up all checks, since this process was paused and can't blame the silence on others.
    pub fn forgive(&mut self) {
        self.zones.values_mut().for_each(|z| z.check = None);
    }

    fn entry(&mut self, zone: &SmolStr) -> &mut Zone {
        self.zones.entry(zone.clone()).or_default()
    }
}
