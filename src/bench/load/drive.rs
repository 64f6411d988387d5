//! Runs a plan: starts each call when it is due and counts the results.

use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc;
use tokio::task;

use crate::bench::load::arrivals;
use crate::bench::load::call;
use crate::bench::load::client;
use crate::bench::load::plan;
use crate::bench::load::tally;

/// Why a plan can't be run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan is not valid.
    #[error(transparent)]
    Plan(#[from] plan::PlanError),
    /// A thread or runtime can't be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// A thread of the load panicked.
    #[error("a thread of the load ended early")]
    Ended,
    /// A histogram can't be made.
    #[error("can't make a histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Runs `plan` in threads of its own and waits until they are done.
pub fn run_blocking(plan: &plan::Plan) -> Result<tally::Tally, Error> {
    plan.check()?;
    let mut all = tally::Tally::new(plan)?;
    thread::scope(|scope| {
        let threads = 0..plan.threads;
        let threads: Vec<_> =
            threads.map(|number| scope.spawn(move || run_thread(plan, number))).collect();
        for thread in threads {
            all.add(thread.join().map_err(|_| Error::Ended)??);
        }
        Ok(all)
    })
}

/// Runs `plan` without blocking the calling task.
pub async fn drive(plan: plan::Plan) -> Result<tally::Tally, Error> {
    let done = task::spawn_blocking(move || run_blocking(&plan)).await;
    done.unwrap_or(Err(Error::Ended))
}

fn run_thread(plan: &plan::Plan, number: usize) -> Result<tally::Tally, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = task::LocalSet::new();
    let (sender, receiver) = mpsc::unbounded_channel();
    let origin = time::Instant::now();
    let arrivals = arrivals::Arrivals::new(plan, number);
    let pacer = thread::Builder::new().name("pacer".into());
    thread::scope(|scope| {
        pacer.spawn_scoped(scope, move || pace(arrivals, origin, &sender))?;
        local.block_on(&runtime, generate(plan, number, origin, receiver))
    })
}

/// Sends each arrival when it is due. This runs in a thread of its own, whose sleep is more precise
/// than the runtime's timer: ticks of a millisecond would count as latency.
fn pace(
    arrivals: arrivals::Arrivals,
    origin: time::Instant,
    sender: &mpsc::UnboundedSender<arrivals::Arrival>,
) {
    for arrival in arrivals {
        thread::sleep((origin + arrival.at).saturating_duration_since(time::Instant::now()));
        if sender.send(arrival).is_err() {
            return;
        }
    }
}

/// State that the calls of one thread share.
struct Shared {
    plan: plan::Plan,
    thread: usize,
    client: client::Client,
    tally: RefCell<tally::Tally>,
    rng: RefCell<SmallRng>,
}

async fn generate(
    plan: &plan::Plan,
    thread: usize,
    origin: time::Instant,
    mut receiver: mpsc::UnboundedReceiver<arrivals::Arrival>,
) -> Result<tally::Tally, Error> {
    let warmup = time::Duration::try_from_secs_f64(plan.warmup).unwrap_or_default();
    let seed = plan.seed.wrapping_add(thread as u64) ^ u64::MAX;
    let shared = Rc::new(Shared {
        plan: plan.clone(),
        thread,
        client: client::Client::new(&plan.targets),
        tally: RefCell::new(tally::Tally::new(plan)?),
        rng: RefCell::new(SmallRng::seed_from_u64(seed)),
    });
    let mut calls = task::JoinSet::new();
    while let Some(arrival) = receiver.recv().await {
        while calls.try_join_next().is_some() {}
        if calls.len() >= plan.max_in_flight {
            shared.tally.borrow_mut().dropped(arrival.flow);
            continue;
        }
        let counted = arrival.at >= warmup;
        calls.spawn_local(run_call(Rc::clone(&shared), arrival, origin + arrival.at, counted));
    }
    while calls.join_next().await.is_some() {}
    let tally = shared.tally.borrow().clone();
    Ok(tally)
}

/// Makes one call, which the flow may ask to send twice at the same time.
async fn run_call(
    shared: Rc<Shared>,
    arrival: arrivals::Arrival,
    since: time::Instant,
    counted: bool,
) {
    let flow = &shared.plan.flows[arrival.flow];
    let key = shared.key(flow, arrival.number);
    let twice = flow.keyed && shared.chance(flow.twice);
    let first = run_tries(&shared, flow, &key, 1, since);
    let ended = if twice {
        let second = run_tries(&shared, flow, &key, flow.tries + 1, since);
        let (first, second) = tokio::join!(first, second);
        vec![first, second]
    } else {
        vec![first.await]
    };
    if !counted {
        return;
    }
    let mut tally = shared.tally.borrow_mut();
    for (results, latency) in ended {
        tally.call(arrival.flow, results, latency);
    }
}

/// Makes the tries of a call, numbered from `number`, until one is final. Returns their results and
/// the time since `since`.
async fn run_tries(
    shared: &Shared,
    flow: &plan::Flow,
    key: &SmolStr,
    number: u32,
    since: time::Instant,
) -> (Vec<call::TryResult>, time::Duration) {
    let mut results = Vec::new();
    for turn in 0..flow.tries.max(1) {
        if turn > 0 {
            tokio::time::sleep(time::Duration::from_millis(flow.pause_ms)).await;
        }
        let attempt = call::Try {
            flow,
            id: format_smolstr!("{key}.{}", number + turn),
            key: flow.keyed.then(|| key.clone()),
            target: shared.target(),
            since: if turn == 0 { since } else { time::Instant::now() },
        };
        let last = attempt.make(&shared.client).await;
        let again = call::retries(last.outcome, flow.keyed);
        results.push(last);
        if !again {
            break;
        }
    }
    (results, since.elapsed())
}

impl Shared {
    /// A name for the call that is unique, also across plans with other seeds and flows.
    fn key(&self, flow: &plan::Flow, number: u64) -> SmolStr {
        format_smolstr!("{}-{:x}-{}-{number}", flow.name, self.plan.seed, self.thread)
    }

    fn chance(&self, share: f64) -> bool {
        self.rng.borrow_mut().random_bool(share.clamp(0.0, 1.0))
    }

    fn target(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.plan.targets.len().max(1))
    }
}
