//! Series of faults drawn from a seed.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::Serialize;

/// First fault, from the start of the calls, in milliseconds: connections are open by then.
const FIRST_MS: u64 = 500;

/// One series in this many has planned work only, and has to cut nothing.
const PLANNED: u64 = 4;

/// Longest that a fault lasts, in milliseconds: beyond the time in which a silent connection or host
/// is given up (3 s).
const LONGEST_MS: u64 = 4000;

/// Time between a planned stop and the next start, in milliseconds: more than a stop takes.
const STOP_MS: u64 = 4000;

/// Mean time between two faults, in milliseconds; with their length some overlap at any moment.
const GAP_MS: u64 = 700;

/// How large a round is.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Hosts, each with an upstream and a node.
    pub hosts: usize,
    /// Time over which faults begin, in milliseconds.
    pub length_ms: u64,
}

/// What goes wrong on the way to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Net {
    /// Connections are reset and refused, datagrams lost.
    Cut,
    /// Connections stay open and carry nothing.
    Silent,
    /// Datagrams from the host are lost, others arrive.
    OneWay,
    /// Delay, loss, repeats.
    Rough,
    /// Few bytes a second.
    Thin,
    /// Connections are reset after some answers.
    Short,
}

/// How the log service fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Log {
    /// Answers 503.
    Refuse,
    /// Closes connections.
    Close,
    /// Answers nothing.
    Hang,
    /// Answers late.
    Slow,
    /// Loses the answers to appends that took effect.
    Lose,
}

/// One fault, or the end of one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Kills a node.
    Kill(usize),
    /// Asks a node to stop as planned.
    Stop(usize),
    /// Starts a node, after killing what is left of the one before.
    Start(usize),
    /// Pauses a node.
    Pause(usize),
    /// Resumes it.
    Resume(usize),
    /// An upstream crashes and starts again.
    Crash(usize),
    /// An upstream announces its drain, ends and starts again.
    Drain(usize),
    /// An upstream turns slow by so many milliseconds a call; 0 ends it.
    Slow(usize, u64),
    /// An upstream sheds so many calls in a hundred; 0 ends it.
    Shed(usize, u8),
    /// An upstream cuts so many answers in a hundred; 0 ends it.
    Garble(usize, u8),
    /// A way fails.
    Break(usize, Net),
    /// It is well again.
    Mend(usize),
    /// The log service fails.
    Outage(Log),
    /// It is well again.
    Restore,
    /// The operator publishes a version.
    Publish,
}

/// An act and when it happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// From the start of the calls, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub act: Act,
}

/// A series of acts in the order of their times.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Series {
    /// What it was drawn from.
    pub seed: u64,
    /// Whether it has planned work only.
    pub planned: bool,
    /// The acts.
    pub steps: Vec<Step>,
}

impl Series {
    /// The series of `seed`; the same for the same seed and shape.
    pub fn draw(seed: u64, shape: Shape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let planned = seed.is_multiple_of(PLANNED);
        let mut steps = Vec::new();
        let mut at_ms = FIRST_MS;
        while at_ms < shape.length_ms {
            let host = rng.random_range(0..shape.hosts);
            let pair = if planned { plan(&mut rng, host) } else { fault(&mut rng, host) };
            steps.push(Step { at_ms, act: pair.0 });
            steps.extend(pair.1.map(|(after, act)| Step { at_ms: at_ms + after, act }));
            at_ms += rng.random_range(1..=2 * GAP_MS);
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, planned, steps }
    }

    /// When the last act happens, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.steps.last().map_or(0, |step| step.at_ms)
    }
}

/// An act, and the one that ends it after so many milliseconds.
type Pair = (Act, Option<(u64, Act)>);

fn plan(rng: &mut SmallRng, host: usize) -> Pair {
    match rng.random_range(0..3) {
        0 => (Act::Stop(host), Some((STOP_MS, Act::Start(host)))),
        1 => (Act::Drain(host), None),
        _ => (Act::Publish, None),
    }
}

fn fault(rng: &mut SmallRng, host: usize) -> Pair {
    let long = rng.random_range(100..LONGEST_MS);
    match rng.random_range(0..12) {
        0 => (Act::Kill(host), Some((long, Act::Start(host)))),
        1 => (Act::Stop(host), Some((STOP_MS, Act::Start(host)))),
        2 => (Act::Pause(host), Some((long, Act::Resume(host)))),
        3 => (Act::Crash(host), None),
        4 => (Act::Drain(host), None),
        5 => (Act::Slow(host, rng.random_range(50..800)), Some((long, Act::Slow(host, 0)))),
        6 => (Act::Shed(host, rng.random_range(10..90)), Some((long, Act::Shed(host, 0)))),
        7 => (Act::Garble(host, rng.random_range(5..50)), Some((long, Act::Garble(host, 0)))),
        8 | 9 => (Act::Break(host, net(rng)), Some((long, Act::Mend(host)))),
        10 => (Act::Outage(log(rng)), Some((long, Act::Restore))),
        _ => (Act::Publish, None),
    }
}

fn net(rng: &mut SmallRng) -> Net {
    const ALL: [Net; 6] = [Net::Cut, Net::Silent, Net::OneWay, Net::Rough, Net::Thin, Net::Short];
    ALL[rng.random_range(0..ALL.len())]
}

fn log(rng: &mut SmallRng) -> Log {
    const ALL: [Log; 5] = [Log::Refuse, Log::Close, Log::Hang, Log::Slow, Log::Lose];
    ALL[rng.random_range(0..ALL.len())]
}
