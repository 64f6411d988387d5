//! What is run against what.

use serde::Serialize;

/// A way to choose an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// [`crate::pick::RoundRobin`].
    RoundRobin,
    /// [`crate::pick::LeastOutstanding`].
    LeastOutstanding,
    /// [`crate::pick::PowerOfTwo`].
    PowerOfTwo,
    /// [`crate::pick::RemainingCapacity`].
    RemainingCapacity,
    /// [`crate::pick::Cheapest`] of two.
    Cheapest2,
    /// [`crate::pick::Cheapest`] of three.
    Cheapest3,
    /// [`crate::pick::Cheapest`] of all.
    CheapestAll,
}

impl Policy {
    const ALL: [Policy; 7] = [
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::PowerOfTwo,
        Policy::RemainingCapacity,
        Policy::Cheapest2,
        Policy::Cheapest3,
        Policy::CheapestAll,
    ];

    /// Its name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::PowerOfTwo => "power-of-two",
            Self::RemainingCapacity => "remaining-capacity",
            Self::Cheapest2 => "cheapest-2",
            Self::Cheapest3 => "cheapest-3",
            Self::CheapestAll => "cheapest-all",
        }
    }
}

/// A way to bound retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// One attempt.
    None,
    /// Three attempts without a budget.
    Free,
    /// Three attempts, a budget of a tenth of the calls that come in.
    Calls,
    /// Three attempts, a budget of a tenth of the calls served whole.
    Served,
}

impl Retry {
    const ALL: [Retry; 4] = [Retry::None, Retry::Free, Retry::Calls, Retry::Served];

    /// Its name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Free => "free",
            Self::Calls => "calls",
            Self::Served => "served",
        }
    }
}

/// What is wrong with the upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    None,
    /// One takes ten times as long.
    Slow,
    /// One refuses connections; the membership has not noticed.
    Dead,
    /// One has three slots and announces nine; it sheds above three.
    Lying,
    /// One has just started and takes five times as long at first.
    Cold,
    /// Half of the calls come in through the two entries of one availability zone.
    Skew,
    /// The calls come in through twenty times as many entries, each of which sees few of them.
    Many,
    /// All refuse connections; the membership has not noticed.
    Outage,
}

impl Fault {
    const ALL: [Fault; 8] = [
        Fault::None,
        Fault::Slow,
        Fault::Dead,
        Fault::Lying,
        Fault::Cold,
        Fault::Skew,
        Fault::Many,
        Fault::Outage,
    ];

    /// Its name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::Dead => "dead",
            Self::Lying => "lying",
            Self::Cold => "cold",
            Self::Skew => "skew",
            Self::Many => "many",
            Self::Outage => "outage",
        }
    }
}

/// Load levels, in percent of the capacity of the upstreams without a fault.
const PERCENTS: [u32; 4] = [50, 90, 150, 200];

/// One run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// Choice of the upstream.
    pub policy: Policy,
    /// Bound on retries.
    pub retry: Retry,
    /// What is wrong.
    pub fault: Fault,
    /// Offered load in percent of capacity.
    pub percent: u32,
}

/// Every run: all policies of choice with the retries in use, and all bounds on retries with the
/// policy in use.
pub fn all() -> impl Iterator<Item = Case> {
    let points = Fault::ALL.into_iter().flat_map(|f| PERCENTS.into_iter().map(move |p| (f, p)));
    points.flat_map(|(fault, percent)| {
        let retry = Retry::Served;
        let picks =
            Policy::ALL.into_iter().map(move |policy| Case { policy, retry, fault, percent });
        let policy = Policy::Cheapest3;
        let others = Retry::ALL.into_iter().filter(|r| *r != Retry::Served);
        picks.chain(others.map(move |retry| Case { policy, retry, fault, percent }))
    })
}
