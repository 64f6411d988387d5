//! The runs: policies, bounds on retries, faults and load levels.

use serde::Serialize;

/// A policy for the choice of the upstream.
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

/// A bound on retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Retry {
    /// One attempt.
    None,
    /// Three attempts without a budget.
    Free,
    /// Three attempts, with a budget of a tenth of the calls that arrive.
    Calls,
    /// Three attempts, with a budget of a tenth of the calls that are served.
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

/// A fault of the upstreams, or an unusual pattern of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    None,
    /// One is ten times as slow.
    Slow,
    /// One refuses connections, which the membership has not detected.
    Dead,
    /// One has three slots and announces nine; it sheds above three.
    Lying,
    /// One has just started and is five times as slow at first.
    Cold,
    /// Half of the calls arrive at two entry nodes of one availability zone.
    Skew,
    /// The calls arrive at twenty times as many entry nodes, each of which gets few of them.
    Many,
    /// One names a limit of a quarter of what it could run. The calls arrive at as many entry nodes as
    /// the largest mesh has.
    Limited,
    /// All refuse connections, which the membership has not detected.
    Outage,
}

impl Fault {
    const ALL: [Fault; 9] = [
        Fault::None,
        Fault::Slow,
        Fault::Dead,
        Fault::Lying,
        Fault::Cold,
        Fault::Skew,
        Fault::Many,
        Fault::Limited,
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
            Self::Limited => "limited",
            Self::Outage => "outage",
        }
    }
}

/// Load levels, in percent of the capacity of the upstreams without a fault.
const PERCENTS: [u32; 4] = [50, 90, 150, 200];

/// One run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// Policy for the choice of the upstream.
    pub policy: Policy,
    /// Bound on retries.
    pub retry: Retry,
    /// The fault.
    pub fault: Fault,
    /// Offered load in percent of capacity.
    pub percent: u32,
}

/// Every run: all policies with the bound on retries that the product uses, and all bounds on
/// retries with the policy that it uses.
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
