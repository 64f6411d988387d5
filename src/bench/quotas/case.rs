//! What is run: ways, loads and sizes.

use serde::Serialize;

/// How the limit is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Each node has an equal share of the rate and of the burst.
    Fixed,
    /// Nodes tell each other their counts, and each allows what the sum leaves.
    Gossip,
    /// A holder lends credits: [`crate::quota`].
    Lent,
}

impl Way {
    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Way::Fixed => "fixed",
            Way::Gossip => "gossip",
            Way::Lent => "lent",
        }
    }
}

/// The load, and what happens to the nodes meanwhile.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Load {
    /// Calls at five eighths of the limit.
    Usual,
    /// Calls at almost five times the limit, for a while.
    Hot,
    /// Half of the callers move to a third of the nodes.
    Shift,
    /// A tenth of the nodes is cut off, each on its own, while callers press everywhere.
    Cut,
    /// Half of the nodes are killed at once and start again, while callers press everywhere.
    Halved,
    /// All nodes are killed at once and start again.
    Restarted,
    /// The limit is lowered to a fifth.
    Lowered,
    /// A third of the datagrams is lost.
    Lossy,
}

impl Load {
    const ALL: [Load; 8] = [
        Load::Usual,
        Load::Hot,
        Load::Shift,
        Load::Cut,
        Load::Halved,
        Load::Restarted,
        Load::Lowered,
        Load::Lossy,
    ];

    /// Name in tables and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Load::Usual => "usual",
            Load::Hot => "hot",
            Load::Shift => "shift",
            Load::Cut => "cut",
            Load::Halved => "halved",
            Load::Restarted => "restarted",
            Load::Lowered => "lowered",
            Load::Lossy => "lossy",
        }
    }

    /// Calls per second at `second`, as a multiple of the limit.
    pub fn demand(self, second: f64) -> f64 {
        const USUAL: f64 = 0.625;
        const HOT: f64 = 4.7;
        let pressed = (8.0..16.0).contains(&second);
        match self {
            Load::Usual | Load::Shift | Load::Restarted | Load::Lossy | Load::Lowered => USUAL,
            Load::Hot | Load::Cut | Load::Halved if pressed => HOT,
            Load::Hot | Load::Cut | Load::Halved => USUAL,
        }
    }
}

/// One run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// How the limit is held.
    pub way: Way,
    /// The load.
    pub load: Load,
    /// Number of nodes.
    pub nodes: usize,
    /// Rate of the organisation's limit, in calls per second; the burst is that of one second.
    pub rate: u32,
}

/// All runs with `nodes` nodes.
pub fn all(nodes: usize) -> impl Iterator<Item = Case> {
    /// Rates of a small, a middling and a large organisation, in calls per second.
    const RATES: [u32; 3] = [4, 40, 600];
    let ways = [Way::Fixed, Way::Gossip, Way::Lent];
    Load::ALL.into_iter().flat_map(move |load| {
        RATES
            .into_iter()
            .flat_map(move |rate| ways.into_iter().map(move |way| Case { way, load, nodes, rate }))
    })
}
