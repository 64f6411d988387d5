//! Decides which calls of callers a node refuses while its own work is delayed. It handles more
//! requests than the CPU of the node can serve: it holds the standing delay near a threshold by
//! admitting only a share of the calls.

use std::cmp;
use std::collections;
use std::time;

use crate::clock;
use crate::mesh;
use crate::overload::delay;
use crate::overload::share;
use crate::overload::window;

/// Time between two changes of the share: that in which the standing delay is renewed.
const UPDATE_INTERVAL: time::Duration = delay::WINDOW;

/// A part of the threshold: from this delay on, calls are counted. Below it nothing is counted, as
/// that costs as much as a few percent of a call.
const COUNTED_PART: u32 = 4;

/// The decision on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The call may run.
    Admit,
    /// The call is refused because the node is overloaded.
    Refuse,
}

/// A change of what the controller does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// From now on calls are refused.
    Began,
    /// From now on all calls are admitted.
    Ended,
}

/// Admits a share of events, evenly spread.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    /// Sum of the shares of the events since the last admitted one.
    credit: f64,
}

impl Spread {
    fn next(&mut self, share: f64) -> Verdict {
        self.credit += share;
        if self.credit < 1.0 {
            return Verdict::Refuse;
        }
        self.credit -= 1.0;
        Verdict::Admit
    }
}

/// The priority at which the admitted share is used up.
#[derive(Clone, Debug)]
struct Cut {
    /// Calls of a higher priority are admitted, those of a lower one refused.
    priority: window::Priority,
    /// Share of the calls of `priority` that is admitted.
    share: f64,
    /// Equal share of a caller in the admitted calls of `priority`, as calls in a window. Callers
    /// with fewer calls are admitted completely.
    equal: f64,
}

impl Cut {
    /// The cut that admits `share` of the calls of `window`; `None` for a window without calls.
    fn new(window: &window::Window, share: f64) -> Option<Self> {
        let mut remaining = share * f64::from(window.total());
        let within = |(priority, calls): (window::Priority, u32)| {
            let calls = f64::from(calls);
            if calls <= remaining {
                remaining -= calls;
                return None;
            }
            Some((priority, calls, remaining))
        };
        let (priority, calls, admitted) = window.by_urgency().find_map(within)?;
        let mut callers: Vec<u32> = window.callers(priority).map(|(_, calls)| calls).collect();
        callers.sort_unstable();
        Some(Self { priority, share: admitted / calls, equal: equal_share(&callers, admitted) })
    }
}

/// The number of calls to which callers have to be limited so that `admitted` calls remain. `calls`
/// holds the calls of each caller, in ascending order.
fn equal_share(calls: &[u32], admitted: f64) -> f64 {
    let mut remaining = admitted;
    for (index, calls_of_one) in calls.iter().enumerate() {
        let equal = remaining / (calls.len() - index) as f64;
        if f64::from(*calls_of_one) > equal {
            return equal;
        }
        remaining -= f64::from(*calls_of_one);
    }
    f64::INFINITY
}

/// Decides which calls of callers are refused.
#[derive(Clone, Debug)]
pub struct Controller {
    /// Standing delay above which the share falls.
    threshold: time::Duration,
    /// Share of the calls that is admitted.
    share: share::Share,
    /// When the share was updated last.
    updated: clock::Instant,
    /// Calls of the current window.
    current: window::Window,
    /// Calls of the last complete window.
    last: window::Window,
    /// The cut for `share` and `last`. Without one, all calls are refused evenly.
    cut: Option<Cut>,
    /// For calls without a share of their own.
    even: Spread,
    /// For the calls of each caller at the priority of the cut; as many as `last` has there.
    spreads: collections::HashMap<window::Caller, Spread>,
}

impl Controller {
    /// A controller that holds the standing delay near `threshold`.
    pub fn new(threshold: time::Duration) -> Self {
        let threshold = threshold.max(time::Duration::from_millis(1));
        Self {
            threshold,
            share: share::Share::new(threshold),
            updated: clock::Instant::ZERO,
            current: window::Window::default(),
            last: window::Window::default(),
            cut: None,
            even: Spread::default(),
            spreads: collections::HashMap::new(),
        }
    }

    /// Share of the calls that is admitted.
    pub const fn share(&self) -> f64 {
        self.share.value()
    }

    /// The standing delay above which the share falls.
    pub const fn threshold(&self) -> time::Duration {
        self.threshold
    }

    /// Whether calls are refused.
    pub fn is_shedding(&self) -> bool {
        self.share.value() < 1.0
    }

    /// Whether [`Self::admit`] has to be called for each call. While the delay is far below the
    /// threshold, all calls are admitted and none is counted.
    pub fn is_watching(&self) -> bool {
        self.is_shedding() || self.share.delay() >= self.threshold / COUNTED_PART
    }

    /// Applies the standing delay at `now`.
    pub fn observe(&mut self, delay: time::Duration, now: clock::Instant) -> Option<Change> {
        // No more measurements may follow one that shows no delay.
        if now.since(self.updated) < UPDATE_INTERVAL && !delay.is_zero() {
            return None;
        }
        self.updated = now;
        let (was_watching, was_shedding) = (self.is_watching(), self.is_shedding());
        self.share.update(delay, now);
        if !self.is_watching() {
            self.cut = None;
            self.spreads.clear();
        } else if !was_watching {
            self.last = window::Window::default();
            self.current = window::Window::new(now);
        }
        self.update_cut();
        match (was_shedding, self.is_shedding()) {
            (false, true) => Some(Change::Began),
            (true, false) => Some(Change::Ended),
            _ => None,
        }
    }

    fn update_cut(&mut self) {
        self.cut = self.is_shedding().then(|| Cut::new(&self.last, self.share.value())).flatten();
    }

    /// Decides on a call of `organisation` that arrives at `now`.
    pub fn admit(
        &mut self,
        priority: window::Priority,
        organisation: Option<mesh::OrganisationKey>,
        now: clock::Instant,
    ) -> Verdict {
        if self.current.is_complete(now) {
            self.last = std::mem::replace(&mut self.current, window::Window::new(now));
            self.update_cut();
            let counted = |caller: &window::Caller| {
                self.cut.as_ref().is_some_and(|cut| self.last.of(cut.priority, *caller) > 0)
            };
            self.spreads.retain(|caller, _| counted(caller));
        }
        let (priority, caller) = self.current.count(priority, organisation.into());
        if !self.is_shedding() {
            return Verdict::Admit;
        }
        let Some(cut) = &self.cut else { return self.even.next(self.share.value()) };
        match priority.cmp(&cut.priority) {
            cmp::Ordering::Greater => Verdict::Admit,
            cmp::Ordering::Less => Verdict::Refuse,
            cmp::Ordering::Equal => {
                let share = match self.last.of(priority, caller) {
                    0 if f64::from(self.current.of(priority, caller)) <= cut.equal => {
                        return Verdict::Admit;
                    }
                    0 => return self.even.next(cut.share),
                    calls => (cut.equal / f64::from(calls)).min(1.0),
                };
                self.spreads.entry(caller).or_default().next(share)
            }
        }
    }
}
