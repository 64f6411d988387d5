//! Series of faults, drawn pseudo-randomly from a seed.

use dandelionspool::standin::upstream::repeat;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Time from the start of the calls to the first fault: callers have open connections by then.
const FIRST_FAULT_MS: u64 = 500;

/// One series in this many has planned work only, during which no call may be cut.
const PLANNED_ONE_IN: u64 = 4;

/// Longest duration of a fault: more than the 3 s after which a node closes a silent connection or
/// considers a silent host failed.
const MAX_FAULT_MS: u64 = 4000;

/// Time between a planned stop of a node and its next start: longer than a stop takes.
const STOP_TO_START_MS: u64 = 4000;

/// Mean time between the starts of two faults: shorter than most faults, so that some overlap.
const MEAN_GAP_MS: u64 = 700;

/// How long a limit is named, or an upstream leaves: long enough for a whole span over which its
/// calls are counted.
const MIN_NOTICE_MS: u64 = 1000;
const MAX_NOTICE_MS: u64 = 8000;

/// Mean time between two notices of upstreams.
const MEAN_NOTICE_GAP_MS: u64 = 1500;

/// Mean time between two acts, or storms, of repeated answers.
const MEAN_REPEAT_GAP_MS: u64 = 2000;

/// Duration of a storm: long enough to use up the retry budgets, and for overlapping acts.
const MIN_STORM_MS: u64 = 1500;
const MAX_STORM_MS: u64 = 4000;

/// One of this many draws of repeated answers is a storm.
const STORM_ONE_IN: u32 = 2;

/// Mean time between two withdrawals.
const MEAN_WITHDRAWAL_GAP_MS: u64 = 3000;

/// Longest time from a withdrawal to the next start of the node.
const MAX_AWAY_MS: u64 = 1500;

/// Longest time from that start to the late heartbeat.
const MAX_HEARTBEAT_MS: u64 = 1500;

/// Time from the late heartbeat to the end of the upstream: calls that the heartbeat attracts are
/// still seen after the time in which they are allowed.
const WITHDRAWN_MS: u64 = 3500;

/// Tells the generator of withdrawals from that of the other acts of a seed.
const WITHDRAWAL_STREAM: u64 = 0x5eed_0002 << 32;

/// Mean time between two publications with many routes.
const MEAN_ROUTES_GAP_MS: u64 = 3000;

/// Tells the generator of these publications from that of the other acts of a seed.
const ROUTES_STREAM: u64 = 0x5eed_0003 << 32;

/// Tells the generator of repeated answers from that of the other acts of a seed.
const REPEAT_STREAM: u64 = 0x5eed_0001 << 32;

/// Size of the fleet and length of a round.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Hosts, each with an upstream and a node.
    pub hosts: usize,
    /// Time during which faults start, in milliseconds.
    pub length_ms: u64,
    /// Whether upstreams name limits, and say that they leave, in their answers.
    pub notices: bool,
    /// Whether the parts for hard load are switched on.
    pub overload: bool,
    /// Whether upstreams send answers once more.
    pub repeats: bool,
    /// Whether upstreams withdraw and their nodes are killed then.
    pub withdrawals: bool,
    /// Whether configurations with many routes are published.
    pub routes: bool,
}

/// Which answers an upstream sends once more, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Copies {
    /// When the copies are sent.
    pub how: repeat::How,
    /// Which answers are repeated.
    pub of: repeat::Of,
}

/// A network fault between a host and the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NetworkFault {
    /// Connections to the host are reset and refused, datagrams lost.
    Cut,
    /// Connections between nodes to the host stay open but transfer no data.
    Silent,
    /// Datagrams from the host are lost; those to it arrive.
    OneWay,
    /// Delay with jitter, loss and duplication.
    Rough,
    /// Bandwidth is low.
    Thin,
    /// Connections are reset after a number of bytes.
    Short,
}

/// A fault of the log service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFault {
    /// Answers 503.
    Refuse,
    /// Closes connections.
    Close,
    /// Does not answer.
    Hang,
    /// Answers with a delay.
    Slow,
    /// Loses the answers to some appends, though the appends took effect.
    Lose,
}

/// A step's action: a fault, the end of one, or planned work. The `usize` is the host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Act {
    /// Kills a node.
    Kill(usize),
    /// Asks a node to stop gracefully.
    Stop(usize),
    /// Starts a node that was killed or stopped; kills its former process if that still runs.
    Start(usize),
    /// Pauses a node.
    Pause(usize),
    /// Resumes a paused node.
    Resume(usize),
    /// An upstream crashes and starts again.
    Crash(usize),
    /// An upstream announces its drain, ends and starts again.
    Drain(usize),
    /// Slows down an upstream by a number of milliseconds a call; 0 ends this.
    Slow(usize, u64),
    /// An upstream refuses a percentage of its calls; 0 ends this.
    Shed(usize, u8),
    /// An upstream truncates a percentage of its answers; 0 ends this.
    #[serde(rename = "garble")]
    Truncate(usize, u8),
    /// An upstream names a limit, in calls a second, in its answers; 0 ends this.
    Limit(usize, u64),
    /// An upstream refuses a percentage of arriving calls, each anew; 0 ends this.
    Reject(usize, u8),
    /// An upstream withdraws; its node is killed once that is acknowledged.
    Withdraw(usize),
    /// A heartbeat from before arrives, if the upstream has withdrawn.
    LateHeartbeat(usize),
    /// An upstream sends a percentage of its answers once more; 0 ends this.
    Repeat(usize, Copies, u8),
    /// An upstream says in its answers that it leaves, and announces nothing.
    Leave(usize),
    /// Starts a network fault.
    Break(usize, NetworkFault),
    /// Ends the network fault of a host.
    #[serde(rename = "mend")]
    Repair(usize),
    /// Starts a fault of the log service.
    Outage(LogFault),
    /// Ends the faults of the log service.
    Restore,
    /// The operator publishes a new version of the configuration.
    Publish,
    /// The same, with many routes that each have a timeout of their own.
    PublishRoutes,
}

/// An act and the time at which it is carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Time since the start of the calls, in milliseconds.
    pub at_ms: u64,
    /// The action to carry out.
    pub act: Act,
}

/// Acts of one round, sorted by time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Series {
    /// Seed that the series was drawn from.
    pub seed: u64,
    /// Whether the series has only planned work: graceful stops, drains and publications.
    pub planned: bool,
    /// The acts with their times.
    pub steps: Vec<Step>,
}

impl Series {
    /// Draws the series of `seed`. The same seed and shape give the same series.
    pub fn draw(seed: u64, shape: Shape) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let planned = seed.is_multiple_of(PLANNED_ONE_IN);
        let mut steps = Vec::new();
        let mut at_ms = FIRST_FAULT_MS;
        while at_ms < shape.length_ms {
            let host = rng.random_range(0..shape.hosts);
            let pair =
                if planned { draw_planned(&mut rng, host) } else { draw_fault(&mut rng, host) };
            steps.push(Step { at_ms, act: pair.0 });
            steps.extend(pair.1.map(|(after, act)| Step { at_ms: at_ms + after, act }));
            at_ms += rng.random_range(1..=2 * MEAN_GAP_MS);
        }
        if shape.notices && !planned {
            steps.extend(draw_notices(seed, shape));
        }
        if shape.repeats && !planned {
            steps.extend(draw_repeats(seed, shape));
        }
        if shape.withdrawals && !planned {
            steps.extend(draw_withdrawals(seed, shape));
        }
        if shape.routes {
            steps.extend(draw_routes(seed, shape));
            // The last version is in force everywhere at the end of a round.
            let at_ms = steps.iter().map(|step| step.at_ms).max().unwrap_or_default();
            steps.push(Step { at_ms, act: Act::PublishRoutes });
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, planned, steps }
    }

    /// Time of the last act since the start of the calls, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.steps.last().map_or(0, |step| step.at_ms)
    }
}

/// An act, and the act that ends it with its delay in milliseconds, if the first one lasts.
type Pair = (Act, Option<(u64, Act)>);

fn draw_planned(rng: &mut SmallRng, host: usize) -> Pair {
    match rng.random_range(0..3) {
        0 => (Act::Stop(host), Some((STOP_TO_START_MS, Act::Start(host)))),
        1 => (Act::Drain(host), None),
        _ => (Act::Publish, None),
    }
}

fn draw_fault(rng: &mut SmallRng, host: usize) -> Pair {
    let duration_ms = rng.random_range(100..MAX_FAULT_MS);
    match rng.random_range(0..12) {
        0 => (Act::Kill(host), Some((duration_ms, Act::Start(host)))),
        1 => (Act::Stop(host), Some((STOP_TO_START_MS, Act::Start(host)))),
        2 => (Act::Pause(host), Some((duration_ms, Act::Resume(host)))),
        3 => (Act::Crash(host), None),
        4 => (Act::Drain(host), None),
        5 => (Act::Slow(host, rng.random_range(50..800)), Some((duration_ms, Act::Slow(host, 0)))),
        6 => (Act::Shed(host, rng.random_range(10..90)), Some((duration_ms, Act::Shed(host, 0)))),
        7 => (
            Act::Truncate(host, rng.random_range(5..50)),
            Some((duration_ms, Act::Truncate(host, 0))),
        ),
        8 | 9 => {
            (Act::Break(host, draw_network_fault(rng)), Some((duration_ms, Act::Repair(host))))
        }
        10 => (Act::Outage(draw_log_fault(rng)), Some((duration_ms, Act::Restore))),
        _ => (Act::Publish, None),
    }
}

/// Upstreams that name a limit and change their mind, or leave without an announcement and end some
/// time later. Drawn apart from the other acts, which are the same without these.
fn draw_notices(seed: u64, shape: Shape) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < shape.length_ms {
        let host = rng.random_range(0..shape.hosts);
        let later_ms = at_ms + rng.random_range(MIN_NOTICE_MS..MAX_NOTICE_MS);
        let acts = match rng.random_range(0..4) {
            0 => (Act::Leave(host), Act::Crash(host)),
            1 => (Act::Limit(host, draw_rate(&mut rng)), Act::Limit(host, draw_rate(&mut rng))),
            _ => (Act::Limit(host, draw_rate(&mut rng)), Act::Limit(host, 0)),
        };
        steps.push(Step { at_ms, act: acts.0 });
        steps.push(Step { at_ms: later_ms, act: acts.1 });
        at_ms += rng.random_range(1..=2 * MEAN_NOTICE_GAP_MS);
    }
    steps
}

/// Upstreams that send answers once more, one alone or several at once, which also refuse calls.
/// Drawn apart from the other acts, which are the same without these.
fn draw_repeats(seed: u64, shape: Shape) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ REPEAT_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < shape.length_ms {
        if rng.random_range(0..STORM_ONE_IN) == 0 {
            draw_storm(&mut rng, shape, at_ms, &mut steps);
        } else {
            let host = rng.random_range(0..shape.hosts);
            let end_ms = at_ms + rng.random_range(500..MAX_FAULT_MS);
            let copies = draw_copies(&mut rng);
            let percent = rng.random_range(20..=100);
            steps.push(Step { at_ms, act: Act::Repeat(host, copies, percent) });
            steps.push(Step { at_ms: end_ms, act: Act::Repeat(host, copies, 0) });
            if copies.of != repeat::Of::Successes {
                let percent = rng.random_range(10..60);
                steps.push(Step { at_ms, act: Act::Reject(host, percent) });
                steps.push(Step { at_ms: end_ms, act: Act::Reject(host, 0) });
            }
        }
        at_ms += rng.random_range(1..=2 * MEAN_REPEAT_GAP_MS);
    }
    steps
}

/// Upstreams that withdraw, with the end of their node right after the acknowledgement and a late
/// heartbeat at its next process. Drawn apart from the other acts, which are the same without these.
fn draw_withdrawals(seed: u64, shape: Shape) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ WITHDRAWAL_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < shape.length_ms {
        let host = rng.random_range(0..shape.hosts);
        let start_ms = at_ms + rng.random_range(100..MAX_AWAY_MS);
        let heartbeat_ms = start_ms + rng.random_range(0..MAX_HEARTBEAT_MS);
        steps.push(Step { at_ms, act: Act::Withdraw(host) });
        steps.push(Step { at_ms: start_ms, act: Act::Start(host) });
        steps.push(Step { at_ms: heartbeat_ms, act: Act::LateHeartbeat(host) });
        steps.push(Step { at_ms: heartbeat_ms + WITHDRAWN_MS, act: Act::Crash(host) });
        at_ms += rng.random_range(1..=2 * MEAN_WITHDRAWAL_GAP_MS);
    }
    steps
}

/// Publications with many routes. Drawn apart from the other acts, which are the same without these.
fn draw_routes(seed: u64, shape: Shape) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ ROUTES_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < shape.length_ms {
        steps.push(Step { at_ms, act: Act::PublishRoutes });
        at_ms += rng.random_range(1..=2 * MEAN_ROUTES_GAP_MS);
    }
    steps
}

/// Several upstreams refuse calls and repeat answers at the same time, so that the retry budgets run
/// out, while nodes are killed, stopped, paused and started again.
fn draw_storm(rng: &mut SmallRng, shape: Shape, at_ms: u64, steps: &mut Vec<Step>) {
    let end_ms = at_ms + rng.random_range(MIN_STORM_MS..MAX_STORM_MS);
    let all = rng.random_range(0..2) == 0;
    for host in 0..shape.hosts {
        if !all && rng.random_range(0..3) == 0 {
            continue;
        }
        let copies = draw_copies(rng);
        let repeated = rng.random_range(50..=100);
        let rejected = rng.random_range(30..80);
        steps.push(Step { at_ms, act: Act::Repeat(host, copies, repeated) });
        steps.push(Step { at_ms, act: Act::Reject(host, rejected) });
        steps.push(Step { at_ms: end_ms, act: Act::Repeat(host, copies, 0) });
        steps.push(Step { at_ms: end_ms, act: Act::Reject(host, 0) });
    }
    for _ in 0..rng.random_range(1..=2) {
        let host = rng.random_range(0..shape.hosts);
        let begin_ms = rng.random_range(at_ms..end_ms);
        let later_ms = begin_ms + rng.random_range(100..MAX_FAULT_MS);
        let (act, end, later_ms) = match rng.random_range(0..3) {
            0 => (Act::Kill(host), Act::Start(host), later_ms),
            1 => (Act::Pause(host), Act::Resume(host), later_ms),
            _ => (Act::Stop(host), Act::Start(host), begin_ms + STOP_TO_START_MS),
        };
        steps.push(Step { at_ms: begin_ms, act });
        steps.push(Step { at_ms: later_ms, act: end });
    }
}

fn draw_copies(rng: &mut SmallRng) -> Copies {
    // The late copy of a rejection, the most harmful one, is drawn more often.
    const HOWS: [repeat::How; 6] = [
        repeat::How::Late,
        repeat::How::Late,
        repeat::How::AtOnce,
        repeat::How::Delayed,
        repeat::How::Twice,
        repeat::How::Behind,
    ];
    const OFS: [repeat::Of; 4] =
        [repeat::Of::All, repeat::Of::Rejections, repeat::Of::Rejections, repeat::Of::Successes];
    let how = HOWS[rng.random_range(0..HOWS.len())];
    Copies { how, of: OFS[rng.random_range(0..OFS.len())] }
}

/// A limit well below the share of an upstream in the calls of a round.
fn draw_rate(rng: &mut SmallRng) -> u64 {
    rng.random_range(1..=5)
}

fn draw_network_fault(rng: &mut SmallRng) -> NetworkFault {
    const ALL: [NetworkFault; 6] = [
        NetworkFault::Cut,
        NetworkFault::Silent,
        NetworkFault::OneWay,
        NetworkFault::Rough,
        NetworkFault::Thin,
        NetworkFault::Short,
    ];
    ALL[rng.random_range(0..ALL.len())]
}

fn draw_log_fault(rng: &mut SmallRng) -> LogFault {
    const ALL: [LogFault; 5] =
        [LogFault::Refuse, LogFault::Close, LogFault::Hang, LogFault::Slow, LogFault::Lose];
    ALL[rng.random_range(0..ALL.len())]
}
